"""A small world over loopback sockets: scripted servers and discovery, and a client that sends raw bytes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from helpers import settings
from sidecar_balancer.addresses import Address
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.discovery.endpoint_list import parse_list
from sidecar_balancer.policy.actions import Action
from sidecar_balancer.policy.events import Event
from sidecar_balancer.sidecar.sidecar import Sidecar

WAIT_TIMEOUT_S = 20.0  # for what must come; no test takes it as proof of anything

Headers = dict[str, str]


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test, which may not hang."""

    async def bounded() -> None:
        async with asyncio.timeout(60.0):
            await scenario

    asyncio.run(bounded())


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait for something to become true."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110  # no event stands for an arbitrary condition
            await asyncio.sleep(0.005)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Read a request or an answer: first line, headers, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def http_response(status: int = 200, body: bytes = b"done", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Break a connection as a process that dies does."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class LoopbackServer:
    """What listens on a port that the kernel picks."""

    address: Address = ("127.0.0.1", 0)
    _server: asyncio.Server | None = None
    _serving: set[asyncio.Task[Any]]

    async def start(self) -> None:
        self._serving = set()
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            await self._serve(reader, writer)
        finally:
            self._serving.discard(task)
            if not task.get_loop().is_closed():
                writer.close()

    async def end(self) -> None:
        """Stop, with nothing left behind."""
        self.stop()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class FakeServer(LoopbackServer):
    """A server that answers as `script` says; None is silence, b"" a reset."""

    def __init__(self, name: str, script: Callable[[str, Headers, bytes], bytes | None]) -> None:
        self.name = name
        self.script = script
        self.requests: list[tuple[str, Headers, bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0  # connections that the other side ended

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
        """Die: no new connections, and those that are open break."""
        super().stop()
        for writer in self.writers:
            reset_connection(writer)

    def entry(self, **changes: Any) -> dict[str, Any]:
        address = f"{self.address[0]}:{self.address[1]}"
        entry = {"name": self.name, "address": address, "zone": "east", "type": "m", "group": 1}
        return entry | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


class FakeDiscovery(LoopbackServer):
    """Answers each call with the next of `responses`; without one it lets the call wait."""

    def __init__(self) -> None:
        self.request_targets: list[str] = []
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.called_at: list[float] = []  # on the event loop's clock
        self.called_after_s: list[float] = []  # from each answer to the next call
        self._answered_at: float | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            first, _, _ = await read_message(reader)
            if self._answered_at is not None:
                self.called_after_s.append(loop.time() - self._answered_at)
            self.request_targets.append(first.split(" ")[1])
            self.called_at.append(loop.time())
            getting, leaving = (
                asyncio.ensure_future(self.responses.get()),
                asyncio.ensure_future(reader.read()),
            )
            try:
                await asyncio.wait((getting, leaving), return_when=asyncio.FIRST_COMPLETED)
                if getting.done():  # else the caller has left: the answer is for another
                    writer.write(getting.result())
                    await writer.drain()
                    self._answered_at = loop.time()
            finally:
                getting.cancel()
                leaving.cancel()
        writer.close()

    def publish(self, index: int, entries: list[Any], snapshot: bool = False) -> None:
        told = {"index": index, "snapshot": snapshot, "endpoints": entries}
        self.responses.put_nowait(http_response(200, json.dumps(told).encode()))


class SidecarEnvironment:
    """A sidecar in this process, with its servers and discovery."""

    def __init__(self, config: SidecarConfig, servers: list[FakeServer], discovery: FakeDiscovery) -> None:
        self.config = config
        self.sidecar = Sidecar(config)
        self.servers = servers
        self.discovery = discovery
        self.stop = asyncio.Event()

    def sent(self) -> list[tuple[str, Headers, bytes]]:
        """All requests that reached servers, by server."""
        return [request for server in self.servers for request in server.requests]

    def record_events(self) -> list[Event]:
        """From now on, the events that the balancer is given."""
        heard: list[Event] = []
        real = self.sidecar.engine.balancer.handle

        def handle(now: int, event: Event) -> list[Action]:
            heard.append(event)
            return real(now, event)

        self.sidecar.engine.balancer.handle = handle  # type: ignore[method-assign]
        return heard

    def move_discovery(self, address: Address) -> None:
        """What SIGHUP does, with a configuration that names another discovery."""
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
    """A sidecar with a server for each script; `graceful_shutdown`: it ends by a drain, nothing pending."""
    servers = [FakeServer(f"s-{number}", script) for number, script in enumerate(scripts)]
    discovery = FakeDiscovery()
    for server in servers:
        await server.start()
    await discovery.start()
    given = settings(**{"limits": LIMITS, **changes})
    known = parse_list({"index": 41, "snapshot": True, "endpoints": [each.entry() for each in servers]})
    config = SidecarConfig(("127.0.0.1", 0), discovery.address, 7, sockets, given, known)
    if overrides_folder is not None:
        config = replace(config, overrides_folder=overrides_folder, admin_address=("127.0.0.1", 0))
    made = SidecarEnvironment(config, servers, discovery)
    running = asyncio.create_task(made.sidecar.run(made.stop))
    await wait_until(lambda: made.sidecar.engine.balancer.is_started)
    try:
        yield made
        if graceful_shutdown:
            made.stop.set()
            await running
            assert_nothing_pending(made.sidecar)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        for each in (*servers, discovery):
            await each.end()


def assert_nothing_pending(sidecar: Sidecar) -> None:
    """Module, driver and sockets agree that all is over."""
    balancer, upstream = sidecar.engine.balancer, sidecar.endpoint_pool
    assert not sidecar.proxy.in_flight
    assert not sidecar.proxy.by_client_request
    assert not balancer.open_requests
    assert balancer.pending_attempts == 0
    assert balancer.components.load.pending_at_ejected == 0
    assert [each.in_flight for each in balancer.servers.values() if each.in_flight] == []
    assert upstream.open_count == 0
    assert sidecar.frontend.is_empty()
    assert (sidecar.frontend.body_memory.active_streams, sidecar.frontend.body_memory.buffered_bytes) == (
        0,
        0,
    )


def request(
    service_class: str = "look",
    path: str = "/api/7f3a9c21e0b4d655",
    body: bytes = b"",
    budget: str = "5.0",
    method: str | None = None,
    **headers: str | None,
) -> bytes:
    """The bytes of a request; a header given as None is left out."""
    given: dict[str, str | None] = {
        "Host": "app.svc",
        "X-Call-Id": "9b1f03aa5c7e2d41",
        "X-Call-Class": service_class,
        "X-Budget": budget,
        "Idempotency-Key": "5c0f6e1a" if service_class == "amend" else None,
        "Content-Length": str(len(body)),
    }
    given |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in given.items() if value is not None]
    verb = method or ("GET" if service_class == "look" else "POST")
    return "\r\n".join([f"{verb} {path} HTTP/1.1", *lines, "", ""]).encode() + body


async def send_request(address: Address, data: bytes) -> tuple[int, Headers, bytes]:
    """Send raw bytes on a connection of their own; give status, headers and body of the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes]:
    first, headers, body = await asyncio.wait_for(read_message(reader), WAIT_TIMEOUT_S)
    return int(first.split(" ")[1]), headers, body


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Wait for the other side to end the connection."""
    try:
        return await asyncio.wait_for(reader.read(1), WAIT_TIMEOUT_S) == b""
    except ConnectionError:
        return True


@contextlib.contextmanager
def unresponsive_listener() -> Iterator[Address]:
    """A listener whose queue is full: connections to it never come up."""
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
