"""Stub servers and a stub discovery service for a tier, in the test's own process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections import Counter, deque
from typing import Any, NamedTuple

from harness import format_address
from sidecar_balancer.addresses import Address

WARM_UP_S = 4.0  # time from a restart until a server works at full speed
INITIAL_SPEED_RATIO = 0.2
OVERLOAD_WINDOW_S = 2.0
OVERLOAD_MULTIPLE = 3.0
WATCH_TIMEOUT_S = 20.0
GUARANTEES = {  # the servers' guarantees, as stated in the sidecars' settings
    "coldFrom": INITIAL_SPEED_RATIO,
    "coldUs": int(WARM_UP_S * 1e6),
    "fallMultiple": OVERLOAD_MULTIPLE,
    "fallUs": int(OVERLOAD_WINDOW_S * 1e6),
    "drainGraceUs": 500_000,
}
_BACKLOG = 256


class HttpMessage(NamedTuple):
    """Request or response: its first line, its headers by lower-case name, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one request or response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(first_line, headers, body)


def http_response(status: int, body: bytes = b"done") -> bytes:
    """Return the bytes of a response."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as when its process is killed."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class StubServer:
    """Server that works on `slots` requests at a time, each for `work_s` divided by its speed.

    It is up, crashed (open connections are reset, new ones refused) or unresponsive (it accepts every
    connection and request and sends no response).
    """

    def __init__(self, name: str, zone: str, work_s: float = 0.02, slots: int = 4) -> None:
        self.name = name
        self.zone = zone
        self.address: Address = ("127.0.0.1", 0)
        self.unresponsive = False
        self.failing_classes: set[str] = set()  # service classes whose requests get a 500
        self.started_ms = 0  # Unix time of its last restart; 0: long ago
        self.response_count = 0
        self.attempts_by_sidecar: Counter[int] = Counter()
        self.executions: Counter[str] = Counter()  # executions of non-idempotent requests, by call id
        self.peak_overload_ratio = 0.0  # highest ratio of arrivals to the overload limit while warming up
        self._work_s = work_s
        self._slots = slots
        self._arrivals_s: deque[float] = deque()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slot_semaphore = asyncio.Semaphore(slots)

    async def start(self) -> None:
        """Listen, at the same address again after a crash."""
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=_BACKLOG)
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """Stop listening and reset every connection."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            reset_connection(writer)

    async def restart(self) -> None:
        """Start again, warming up."""
        self.started_ms = time.time_ns() // 1_000_000
        self._slot_semaphore = asyncio.Semaphore(self._slots)
        await self.start()

    def endpoint_entry(self) -> dict[str, Any]:
        """Return the server's entry in the endpoint list."""
        return {
            "name": self.name,
            "address": format_address(self.address),
            "zone": self.zone,
            "type": "m",
            "group": 1,
            "status": "active",
            "weight": 1.0,
            "since_ms": self.started_ms,
        }

    def _speed_ratio(self) -> float:
        age_s = time.time() - self.started_ms / 1000
        return min(1.0, INITIAL_SPEED_RATIO + (1.0 - INITIAL_SPEED_RATIO) * age_s / WARM_UP_S)

    def _note_arrival(self) -> None:
        """Record an arrival; compare the last window's arrivals with the number that overloads the server."""
        now_s, speed_ratio = time.time(), self._speed_ratio()
        self._arrivals_s.append(now_s)
        while self._arrivals_s[0] < now_s - OVERLOAD_WINDOW_S:
            self._arrivals_s.popleft()
        if speed_ratio < 1.0:
            rate = OVERLOAD_MULTIPLE * speed_ratio * self._slots / self._work_s
            limit = rate * OVERLOAD_WINDOW_S
            overload_ratio = len(self._arrivals_s) / (limit + 3 * limit**0.5 + 3)
            self.peak_overload_ratio = max(self.peak_overload_ratio, overload_ratio)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if "/health/live" in request.first_line:
                    if not self.unresponsive:
                        writer.write(http_response(200))
                    continue
                self._note_request(request)
                if self.unresponsive:
                    await reader.read()  # returns when the client closes
                    return
                async with self._slot_semaphore:
                    await asyncio.sleep(self._work_s / self._speed_ratio())
                fails = request.headers.get("x-call-class") in self.failing_classes
                writer.write(http_response(500 if fails else 200, self.name.encode()))
                self.response_count += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _note_request(self, request: HttpMessage) -> None:
        self._note_arrival()
        self.attempts_by_sidecar[int(request.headers.get("x-call-id", "0")[:2], 16)] += 1
        if request.headers.get("x-call-class") == "pay":
            self.executions[request.headers.get("x-call-id", "")] += 1


class StubDiscovery:
    """Discovery service that sends the complete list, and lets watches wait for a new version."""

    def __init__(self, servers: list[StubServer]) -> None:
        self.address: Address = ("127.0.0.1", 0)
        self._servers = servers
        self._version = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=_BACKLOG)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def notify_watches(self) -> None:
        """Answer all waiting watches with the current list under a new version."""
        self._version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def endpoint_list(self) -> dict[str, Any]:
        """Return the complete list."""
        endpoints = [server.endpoint_entry() for server in self._servers]
        return {"index": self._version, "snapshot": True, "endpoints": endpoints}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                if f"after={self._version}" in request.first_line:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), WATCH_TIMEOUT_S)
                writer.write(http_response(200, json.dumps(self.endpoint_list()).encode()))
        writer.close()
