"""A sidecar in this process with scripted servers and discovery on loopback sockets, and a raw client."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from policy_settings import settings
from sidecar_balancer.addresses import Address
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.discovery.endpoint_list import parse_list
from sidecar_balancer.policy.actions import Action
from sidecar_balancer.policy.events import Event
from sidecar_balancer.sidecar.sidecar import Sidecar

WAIT_TIMEOUT_S = 20.0  # timeout of conditions that must come true; no test relies on its length

Headers = dict[str, str]


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(60.0):
            await scenario

    asyncio.run(bounded())


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110  # an arbitrary condition has no event to wait for
            await asyncio.sleep(0.005)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Read a request or a response: first line, headers, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first_line, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def http_response(status: int = 200, body: bytes = b"done", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as when its process is killed."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class LoopbackServer:
    """Base of the servers that listen on a loopback port chosen by the kernel."""

    address: Address = ("127.0.0.1", 0)
    _server: asyncio.Server | None = None
    _connection_tasks: set[asyncio.Task[Any]]

    async def start(self) -> None:
        self._connection_tasks = set()
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        try:
            await self._serve(reader, writer)
        finally:
            self._connection_tasks.discard(task)
            if not task.get_loop().is_closed():
                writer.close()

    async def end(self) -> None:
        """Stop listening, then cancel the tasks of open connections and wait for them."""
        self.stop()
        for task in self._connection_tasks:
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class FakeServer(LoopbackServer):
    """Server whose responses come from `script`: None sends nothing, b"" resets the connection."""

    def __init__(self, name: str, script: Callable[[str, Headers, bytes], bytes | None]) -> None:
        self.name = name
        self.script = script
        self.requests: list[tuple[str, Headers, bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0  # connections that the peer closed

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                reply = self.script(*request)
                if reply == b"":
                    reset_connection(writer)
                elif reply is not None:
                    writer.write(reply)
                    if b"Connection: close" in reply:
                        return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        except asyncio.CancelledError:
            pass  # the test is over
        finally:
            writer.close()

    def stop(self) -> None:
        """Stop as a killed process does: refuse new connections and reset the open ones."""
        super().stop()
        for writer in self.writers:
            reset_connection(writer)

    def entry(self, **changes: Any) -> dict[str, Any]:
        address = f"{self.address[0]}:{self.address[1]}"
        entry = {"name": self.name, "address": address, "zone": "east", "type": "m", "group": 1}
        return entry | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


class FakeDiscovery(LoopbackServer):
    """Discovery service that answers each call with the next of `responses`, once there is one."""

    def __init__(self) -> None:
        self.request_targets: list[str] = []
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.called_at: list[float] = []  # times of the calls, on the event loop's clock
        self.called_after_s: list[float] = []  # seconds from each response to the next call
        self._responded_at: float | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            request_line, _, _ = await read_message(reader)
            if self._responded_at is not None:
                self.called_after_s.append(loop.time() - self._responded_at)
            self.request_targets.append(request_line.split(" ")[1])
            self.called_at.append(loop.time())
            response_task, disconnect_task = (
                asyncio.ensure_future(self.responses.get()),
                asyncio.ensure_future(reader.read()),
            )
            try:
                await asyncio.wait((response_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
                if response_task.done():  # else the client has disconnected: the next call gets the response
                    writer.write(response_task.result())
                    await writer.drain()
                    self._responded_at = loop.time()
            finally:
                response_task.cancel()
                disconnect_task.cancel()
        writer.close()

    def publish(self, index: int, entries: list[Any], snapshot: bool = False) -> None:
        endpoint_list = {"index": index, "snapshot": snapshot, "endpoints": entries}
        self.responses.put_nowait(http_response(200, json.dumps(endpoint_list).encode()))


class SidecarEnvironment:
    """A sidecar in this process, with its servers and discovery."""

    def __init__(self, config: SidecarConfig, servers: list[FakeServer], discovery: FakeDiscovery) -> None:
        self.config = config
        self.sidecar = Sidecar(config)
        self.servers = servers
        self.discovery = discovery
        self.stop = asyncio.Event()

    def sent(self) -> list[tuple[str, Headers, bytes]]:
        """Return all requests that reached the servers, grouped by server."""
        return [request for server in self.servers for request in server.requests]

    def record_events(self) -> list[Event]:
        """Return a list that receives every event the balancer handles from now on."""
        events: list[Event] = []
        original_handle = self.sidecar.engine.balancer.handle

        def handle(now: int, event: Event) -> list[Action]:
            events.append(event)
            return original_handle(now, event)

        self.sidecar.engine.balancer.handle = handle  # type: ignore[method-assign]
        return events

    def move_discovery(self, address: Address) -> None:
        """Reload the configuration as SIGHUP does, with another discovery address."""
        self.sidecar.reload(replace(self.config, discovery=address))

    async def send_request(self, **changes: Any) -> tuple[int, Headers, bytes]:
        return await send_request(self.sidecar.frontend.address, request(**changes))


LIMITS = {"max_attempts": 3, "may_hedge": False, "may_cancel": True}


@contextlib.asynccontextmanager
async def running_sidecar(
    *scripts: Callable[[str, Headers, bytes], bytes | None],
    sockets: int = 256,
    overrides_folder: Path | None = None,
    graceful_shutdown: bool = False,
    **changes: Any,
) -> AsyncIterator[SidecarEnvironment]:
    """Run a sidecar with one server per script.

    With `graceful_shutdown`, it is shut down gracefully on exit, and then nothing may be in flight.
    """
    servers = [FakeServer(f"s-{number}", script) for number, script in enumerate(scripts)]
    discovery = FakeDiscovery()
    for server in servers:
        await server.start()
    await discovery.start()
    sidecar_settings = settings(**{"limits": LIMITS, **changes})
    endpoint_list = parse_list(
        {"index": 41, "snapshot": True, "endpoints": [each.entry() for each in servers]}
    )
    config = SidecarConfig(("127.0.0.1", 0), discovery.address, 7, sockets, sidecar_settings, endpoint_list)
    if overrides_folder is not None:
        config = replace(config, overrides_folder=overrides_folder, admin_address=("127.0.0.1", 0))
    environment = SidecarEnvironment(config, servers, discovery)
    sidecar_task = asyncio.create_task(environment.sidecar.run(environment.stop))
    await wait_until(lambda: environment.sidecar.engine.balancer.is_started)
    try:
        yield environment
        if graceful_shutdown:
            environment.stop.set()
            await sidecar_task
            assert_nothing_pending(environment.sidecar)
    finally:
        sidecar_task.cancel()
        await asyncio.gather(sidecar_task, return_exceptions=True)
        for each in (*servers, discovery):
            await each.end()


def assert_nothing_pending(sidecar: Sidecar) -> None:
    """Assert that the balancer, the proxy and the connections agree that nothing is in flight."""
    balancer, endpoint_pool = sidecar.engine.balancer, sidecar.endpoint_pool
    assert not sidecar.proxy.in_flight
    assert not sidecar.proxy.by_client_request
    assert not balancer.open_requests
    assert balancer.pending_attempts == 0
    assert balancer.components.load.pending_at_ejected == 0
    assert balancer.components.load.awaiting_body == 0
    assert [each.in_flight for each in balancer.servers.values() if each.in_flight] == []
    assert endpoint_pool.open_count == 0
    assert sidecar.frontend.is_empty()
    assert (sidecar.frontend.memory_budget.active_streams, sidecar.frontend.memory_budget.used_bytes) == (
        0,
        0,
    )


_request_numbers = itertools.count(0x9B1F03AA5C7E2D41)


def new_request_id() -> str:
    """Return an id that no other request has, as clients send them."""
    return f"{next(_request_numbers):016x}"


def with_new_id(data: bytes) -> bytes:
    """Return the bytes of a request with an id that no other request has."""
    return re.sub(rb"(X-Call-Id: )\w+", rb"\g<1>" + new_request_id().encode(), data, count=1)


def request(
    service_class: str = "look",
    path: str = "/api/7f3a9c21e0b4d655",
    body: bytes = b"",
    budget: str = "5.0",
    method: str | None = None,
    **headers: str | None,
) -> bytes:
    """Return the bytes of a request; a header given as None is left out."""
    values: dict[str, str | None] = {
        "Host": "app.svc",
        "X-Call-Id": new_request_id(),
        "X-Call-Class": service_class,
        "X-Budget": budget,
        "Idempotency-Key": "5c0f6e1a" if service_class == "amend" else None,
        "Content-Length": str(len(body)),
    }
    values |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in values.items() if value is not None]
    http_method = method or ("GET" if service_class == "look" else "POST")
    return "\r\n".join([f"{http_method} {path} HTTP/1.1", *lines, "", ""]).encode() + body


async def send_request(address: Address, data: bytes) -> tuple[int, Headers, bytes]:
    """Send raw bytes on a new connection; return status, headers and body of the response."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes]:
    status_line, headers, body = await asyncio.wait_for(read_message(reader), WAIT_TIMEOUT_S)
    return int(status_line.split(" ")[1]), headers, body


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the peer ends the connection before it sends anything more."""
    try:
        return await asyncio.wait_for(reader.read(1), WAIT_TIMEOUT_S) == b""
    except ConnectionError:
        return True


@contextlib.contextmanager
def unresponsive_listener() -> Iterator[Address]:
    """Provide a listener whose backlog is full, so that connections to it are never established."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(8)]
    for each in fillers:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    try:
        yield listener.getsockname()[:2]
    finally:
        for each in (*fillers, listener):
            each.close()
