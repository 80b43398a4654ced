"""Stand-ins for the catalogue servers, discovery and the clients of a tier, in the test's own process.

A `Catalogue` server works on `slots` requests at a time, each for `work_s` divided by its warmth; it may be
up, dead (connections reset, new ones refused) or silent (it takes everything and answers nothing).
`Registry` speaks PROTOCOL's discovery, with watches.  `Load` is a closed loop of clients: each asks again as
soon as it is answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from collections import Counter, deque
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harness import Address, Tier, text

LANES = [
    {"name": "look", "giveUpUs": 2_000_000, "promiseUs": 1_000_000, "repeat": "read_like", "worth": 3.0},
    {
        "name": "pay",
        "giveUpUs": 3_000_000,
        "promiseUs": 1_500_000,
        "repeat": "non_idempotent",
        "worth": 10.0,
    },
]
BOUNDS = {"sendCap": 4, "mayCancel": True, "secondCopies": True, "probing": True, "dialTimeoutUs": 250_000}
COLD_S = 4.0  # how long a server that started is cold
COLD_FROM = 0.2
FALL_S = 2.0
FALL_MULTIPLE = 3.0
GUARANTEES = {
    "coldFrom": COLD_FROM,
    "coldUs": int(COLD_S * 1e6),
    "fallMultiple": FALL_MULTIPLE,
    "fallUs": int(FALL_S * 1e6),
    "drainGraceUs": 500_000,
}


def settings(number: int, size: int, zone: str = "a", **changes: Any) -> dict[str, Any]:
    given = {"lanes": LANES, "bounds": BOUNDS, "guarantees": GUARANTEES, "me": number, "groupSize": size}
    return given | {"zone": zone, "zones": ["a", "b"], "discovery": "on_request"} | changes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def said(status: int, body: bytes = b"done", close: bool = False) -> bytes:
    end = "Connection: close\r\n" if close else ""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{end}\r\n".encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection as a process that dies does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class Catalogue:
    """One server.  `over`: the largest part, of what would push it over while cold, that it was ever sent."""

    def __init__(self, name: str, zone: str, work_s: float = 0.02, slots: int = 4) -> None:
        self.name, self.zone, self.work_s = name, zone, work_s
        self.slots = slots
        self.address: Address = ("127.0.0.1", 0)
        self.silent = False
        self.fails: set[str] = set()  # classes that it answers with 500
        self.since_ms = 0  # Unix time of its last start; 0: long ago
        self.answered = self.probes = 0
        self.met: Counter[int] = Counter()  # attempts that came, whatever became of them, by sidecar
        self.runs: Counter[str] = Counter()  # of what may not run twice, by call id
        self.over = 0.0
        self._arrived: deque[float] = deque()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._free = asyncio.Semaphore(slots)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=256)
        self.address = self._server.sockets[0].getsockname()[:2]

    def die(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def restart(self) -> None:
        """Come back cold, at the same address."""
        self.since_ms = time.time_ns() // 1_000_000
        self._free = asyncio.Semaphore(self.slots)
        await self.start()

    def warmth(self) -> float:
        age = time.time() - self.since_ms / 1000
        return min(1.0, COLD_FROM + (1.0 - COLD_FROM) * age / COLD_S)

    def _take(self) -> None:
        """Reckon what was sent in the last FALL_S against what the server bears in that time."""
        now, warmth = time.time(), self.warmth()
        self._arrived.append(now)
        while self._arrived[0] < now - FALL_S:
            self._arrived.popleft()
        if warmth < 1.0:
            bears = FALL_MULTIPLE * warmth * self.slots / self.work_s * FALL_S
            self.over = max(self.over, len(self._arrived) / (bears + 3 * bears**0.5 + 3))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_head(reader)
                if "/health/live" in first:
                    self.probes += 1
                    if not self.silent:
                        writer.write(said(200))
                    continue
                self._take()
                self.met[int(headers.get("x-call-id", "0")[:2], 16)] += 1
                if headers.get("x-call-class") == "pay":
                    self.runs[headers.get("x-call-id", "")] += 1
                if self.silent:
                    await reader.read()  # until the other side gives up
                    return
                async with self._free:
                    await asyncio.sleep(self.work_s / self.warmth())
                fails = headers.get("x-call-class") in self.fails
                writer.write(said(500 if fails else 200, self.name.encode()))
                self.answered += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def line(self, status: str = "active") -> dict[str, Any]:
        entry = {"name": self.name, "address": text(self.address), "zone": self.zone, "type": "m", "group": 1}
        return entry | {"status": status, "weight": 1.0, "since_ms": self.since_ms}


class Registry:
    """Discovery: the whole list, and watches that wait for changes."""

    def __init__(self, servers: list[Catalogue]) -> None:
        self.servers, self.index, self.calls = servers, 1, 0
        self.address: Address = ("127.0.0.1", 0)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def change(self) -> None:
        """Tell all watches the list as it is now."""
        self.index += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def told(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": [each.line() for each in self.servers]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                first, _, _ = await read_head(reader)
                self.calls += 1
                if f"after={self.index}" in first:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), 20.0)
                writer.write(said(200, json.dumps(self.told()).encode()))
        writer.close()


@dataclass
class Answer:
    at: float  # of the loop's clock
    took_s: float
    status: int  # 0: the connection broke
    server: str
    sidecar: int


@dataclass
class Load:
    """`clients` a sidecar, each asking again once answered; one request in `pay_every` may not run twice."""

    tier: Tier
    clients: int = 4
    pay_every: int = 6
    seed: int = 1
    answers: list[Answer] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _stop: bool = False

    def start(self, sidecars: Iterator[int] | list[int] | None = None) -> None:
        for sidecar in self.tier.processes if sidecars is None else sidecars:
            for client in range(self.clients):
                rng = random.Random(f"{self.seed}/{sidecar}/{client}")
                self._tasks.append(asyncio.create_task(self._ask(sidecar, rng)))

    async def stop(self) -> None:
        """Let each client hear its last answer."""
        self._stop = True
        await asyncio.gather(*self._tasks)

    async def answered(self, count: int) -> None:
        """Wait until so many more answers have come."""
        most = len(self.answers) + count
        while len(self.answers) < most:
            await asyncio.sleep(0.01)

    def since(self, at: float) -> list[Answer]:
        return [each for each in self.answers if each.at >= at]

    async def _ask(self, sidecar: int, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self._stop:
            pay, ident = rng.randrange(self.pay_every) == 0, f"{sidecar:02x}{rng.getrandbits(56):014x}"
            began, status, server = loop.time(), 0, ""
            try:
                if streams is None:
                    streams = await asyncio.open_connection(*self.tier.clients[sidecar])
                reader, writer = streams
                name, method = ("pay", "POST") if pay else ("look", "GET")
                head = (
                    f"{method} /api HTTP/1.1\r\nHost: app\r\nX-Call-Id: {ident}\r\nX-Call-Class: {name}\r\n"
                )
                writer.write((head + "X-Budget: 2.0\r\nContent-Length: 0\r\n\r\n").encode())
                first, headers, body = await asyncio.wait_for(read_head(reader), 10.0)
                status, server = int(first.split(" ")[1]), body.decode("latin-1")
                if headers.get("connection") == "close":
                    writer.close()
                    streams = None
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                if streams is not None:
                    streams[1].close()
                streams = None
            self.answers.append(Answer(loop.time(), loop.time() - began, status, server, sidecar))
            if status != 200:
                await asyncio.sleep(0.01)  # the application's own pause
        if streams is not None:
            streams[1].close()


@dataclass
class World:
    tier: Tier
    servers: list[Catalogue]
    registry: Registry
    load: Load

    def zone(self, name: str) -> list[Catalogue]:
        return [each for each in self.servers if each.zone == name]

    def ran_twice(self) -> set[str]:
        """Call ids of requests that may not run twice and did, over all servers."""
        runs: Counter[str] = Counter()
        for each in self.servers:
            runs.update(each.runs)
        return {ident for ident, count in runs.items() if count > 1}

    async def kill_zone(self, name: str) -> None:
        for each in self.zone(name):
            each.die()

    async def return_zone(self, name: str, tell: bool = True) -> None:
        for each in self.zone(name):
            await each.restart()
        if tell:
            self.registry.change()

    async def zones(self, number: int) -> dict[str, Any]:
        """What sidecar `number`'s door tells of its zones; empty while it does not answer."""
        status, body = await self.tier.call(number, "GET", "/api/zones")
        told: dict[str, Any] = json.loads(body) if status == 200 else {}
        return told

    async def left(self, zone: str, sidecars: list[int] | None = None) -> bool:
        """Whether every sidecar has left the zone."""
        for number in self.tier.processes if sidecars is None else sidecars:
            told = (await self.zones(number)).get("zones", {}).get(zone)
            if told is None or told["left_for_ms"] is None:
                return False
        return True

    async def all_in(self, zone: str) -> bool:
        for number in self.tier.processes:
            told = (await self.zones(number)).get("zones", {}).get(zone)
            if told is None or told["left_for_ms"] is not None:
                return False
        return True


@contextlib.asynccontextmanager
async def world(
    folder: Path,
    size: int,
    servers: list[Catalogue],
    zones: str = "aabb",
    seed: int = 7,
    plane: dict[str, Any] | None = None,
    clients: int = 4,
    changes: dict[str, Any] | None = None,
    setting: dict[str, Any] | None = None,
    program: Path | None = None,
) -> AsyncIterator[World]:
    """A tier of `size` sidecars (sidecar i in zone `zones[i]`) before these servers, all serving on entry."""
    registry = Registry(servers)
    for each in servers:
        await each.start()
    await registry.start()
    tier = Tier(size, folder, seed)
    tier.program = program or tier.program

    def given(number: int) -> dict[str, Any]:
        asked = settings(number, size, zones[number % len(zones)], **(setting or {}))
        told = {"discovery": text(registry.address), "known": registry.told(), "settings": asked}
        return told | {"peer_plane": plane if plane is not None else {"on": False}} | (changes or {})

    tier.changes = given
    await tier.open()
    made = World(tier, servers, registry, Load(tier, clients, seed=seed))
    try:
        for number in range(size):
            await tier.start(number)
        await tier.until(tier.all_ready)
        yield made
    finally:
        await made.load.stop()
        await tier.close()
        registry.stop()
        for each in servers:
            each.die()
