"""Helpers for scenarios on a virtual clock: raw clients, a server that does not read, waits and scripts."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any

from loopback import (
    FakeServer,
    SidecarEnvironment,
    http_response,
    running_sidecar,
    wait_until,
)

DISCONNECT_GRACE_S = 0.1  # no attempt begins later than this after its client disconnected
DISCONNECT_KINDS = ["close", "half-close", "reset"]
PIPELINED_INPUT = bytes(300_000)  # sent after a request: more than is read before its response


@contextlib.contextmanager
def collect_loop_exceptions() -> Iterator[list[BaseException | None]]:
    """Collect what event loop callbacks raise meanwhile, which would otherwise fail the scenario."""
    loop, exceptions = asyncio.get_running_loop(), list[BaseException | None]()
    previous_handler = loop.get_exception_handler()
    loop.set_exception_handler(lambda _, context: exceptions.append(context.get("exception")))
    try:
        yield exceptions
    finally:
        loop.set_exception_handler(previous_handler)


def served(*_: object) -> bytes:
    return http_response(200, b"served")


def hung(*_: object) -> None:
    return None


async def fail_discovery_calls(environment: SidecarEnvironment, calls: int) -> None:
    """Answer this many discovery calls in a row with an error."""
    await wait_until(lambda: environment.discovery.request_targets)
    for _ in range(calls):
        seen = len(environment.discovery.request_targets)
        environment.discovery.responses.put_nowait(http_response(503, b""))
        await wait_until(lambda seen=seen: len(environment.discovery.request_targets) > seen)  # type: ignore[misc]


class UnreadingServer(FakeServer):
    """Server that reads nothing until `resume_reading` is set, and keeps the data it receives."""

    def __init__(self) -> None:
        super().__init__("s-9", hung)
        self.resume_reading = asyncio.Event()
        self.received: list[bytes] = []
        self.ended = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await self.resume_reading.wait()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100_000):
                self.received.append(data)
        self.ended = True


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    return body


class RawClient:
    """Client whose system calls are made at once, between two iterations of the event loop."""

    def __init__(self, environment: SidecarEnvironment) -> None:
        self.sock = socket.create_connection(environment.sidecar.frontend.address)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def send_without_blocking(self, data: bytes) -> None:
        """Send as much as the kernel accepts."""
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while data:
                data = data[self.sock.send(data) :]

    def disconnect(self, how: str) -> None:
        if how == "half-close":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def nothing_in_flight(environment: SidecarEnvironment) -> Callable[[], bool]:
    return lambda: (
        not environment.sidecar.proxy.in_flight and not environment.sidecar.engine.balancer.open_requests
    )


async def wait_until_nothing_in_flight(environment: SidecarEnvironment) -> None:
    """Wait until a disconnected client's requests are over, within less than `DISCONNECT_GRACE_S`."""
    started_at = asyncio.get_running_loop().time()
    await wait_until(nothing_in_flight(environment))
    assert asyncio.get_running_loop().time() - started_at < DISCONNECT_GRACE_S


@contextlib.asynccontextmanager
async def sidecar_with_unreading_server(
    **changes: Any,
) -> AsyncIterator[tuple[SidecarEnvironment, UnreadingServer]]:
    """Run a sidecar with one server, which reads nothing until told to."""
    server = UnreadingServer()
    await server.start()
    async with running_sidecar(graceful_shutdown=True, **changes) as environment:
        environment.discovery.publish(42, [server.entry()])
        await wait_until(lambda: environment.sidecar.engine.balancer.ready_servers)
        yield environment, server
    await server.end()
