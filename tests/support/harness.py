"""A tier of sidecars as separate OS processes on loopback, with a UDP fault proxy between them.

Each sidecar `i` listens for peers at its own address R_i; the tier's `peers` list names the proxy's socket
Q_i for each.  A datagram that comes to Q_i from R_j goes on to R_i from Q_j, so each sidecar sees its peers
at the addresses its configuration names, and the proxy may drop, duplicate, delay, corrupt or cut it.
Faults are drawn from a fixed seed; processes are ended by their own id when the tier closes.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shlex
import signal
import socket
import sys
import tomllib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, cast

ROOT = Path(__file__).parent.parent.parent
PATIENCE_S = 30.0  # for what must come; no test takes it as proof of anything
LANES = [{"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"}]
PLANE = {"on": True, "period_ms": 100, "probe_timeout_ms": 40}
SERVER = {"name": "s-1", "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1, "status": "active"}

Address = tuple[str, int]


_hosts = itertools.count(1)


def new_host() -> str:
    """A loopback address that nothing else of this machine's tests listens on or connects from."""
    number = next(_hosts)
    return f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.{1 + number % 254}"


def free_ports(host: str, count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[Address]:
    """Ports that are free on `host`, all picked before any is given back, so that they differ."""
    with contextlib.ExitStack() as held:
        found = []
        for _ in range(count):
            sock = held.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            found.append((host, int(sock.getsockname()[1])))
        return found


def program_command(root: Path) -> list[str]:
    """The command of the `run` line in deploy/balancer.toml of the version in `root`, with this interpreter.

    Earlier versions' package had another name.
    """
    with (root / "deploy" / "balancer.toml").open("rb") as file:
        words = shlex.split(tomllib.load(file)["run"])
    return [sys.executable if word == ".venv/bin/python" else word for word in words if word != "exec"]


def text(address: Address) -> str:
    return "{}:{}".format(*address)


@dataclass
class Faults:
    """What the proxy does to each datagram; `cut` holds pairs of members that do not hear each other."""

    loss: float = 0.0
    duplicate: float = 0.0
    corrupt: float = 0.0
    delay_ms: tuple[int, int] = (0, 0)
    cut: set[frozenset[int]] = field(default_factory=set)


class Proxy(asyncio.DatagramProtocol):
    """The socket Q_i of member `i`."""

    def __init__(self, me: int, tier: Tier) -> None:
        self.me, self.tier = me, tier
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, int]) -> None:
        sender = self.tier.by_listen.get((addr[0], addr[1]))
        if sender is not None:
            self.tier.carry(sender, self.me, data)


def _same(proxy: Proxy) -> Proxy:
    return proxy


class Tier:
    """N sidecar processes, their fault proxy, and their doors."""

    def __init__(self, size: int, folder: Path, seed: int = 7) -> None:
        self.size, self.folder = size, folder
        self.faults = Faults()
        host = new_host()
        tcp = free_ports(host, 2 * size)
        self.listens = free_ports(host, size, socket.SOCK_DGRAM)
        self.doors, self.clients = tcp[:size], tcp[size:]  # where operators and clients connect
        self.program = ROOT  # where the program lies: an earlier version's folder in benchmarks
        self.changes: Callable[[int], dict[str, Any]] = lambda _: {}  # of a sidecar's configuration
        self.by_listen = {address: number for number, address in enumerate(self.listens)}
        self.proxies: list[Proxy] = []
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.carried = 0
        self._random = random.Random(seed)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for number in range(self.size):
            proxy = Proxy(number, self)
            await loop.create_datagram_endpoint(partial(_same, proxy), local_addr=("127.0.0.1", 0))
            self.proxies.append(proxy)

    def peers(self) -> list[str]:
        out = []
        for proxy in self.proxies:
            assert proxy.transport is not None
            out.append(text(proxy.transport.get_extra_info("sockname")[:2]))
        return out

    def carry(self, sender: int, target: int, data: bytes) -> None:
        faults = self.faults
        if frozenset((sender, target)) in faults.cut or self._random.random() < faults.loss:
            return
        if self._random.random() < faults.corrupt and data:
            at = self._random.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ 0xFF]) + data[at + 1 :]
        copies = 2 if self._random.random() < faults.duplicate else 1
        for _ in range(copies):
            delay = self._random.randint(*faults.delay_ms) / 1000
            asyncio.get_running_loop().call_later(delay, self._deliver, sender, target, data)

    def _deliver(self, sender: int, target: int, data: bytes) -> None:
        transport = self.proxies[sender].transport
        if transport is not None and not transport.is_closing():
            self.carried += 1
            transport.sendto(data, self.listens[target])

    def config(self, number: int, plane: dict[str, Any] | None = None) -> dict[str, Any]:
        settings = {"lanes": LANES, "me": number, "groupSize": self.size, "zone": "a"}
        return {
            "name": f"n{number}",
            "listen": text(self.clients[number]),
            "discovery": "127.0.0.1:1",
            "seed": f"{1000 + number:x}",
            "known": {"index": 1, "snapshot": True, "endpoints": [SERVER]},
            "settings": settings,
            "mgmt": text(self.doors[number]),
            "peer_listen": text(self.listens[number]),
            "peers": self.peers(),
            "peer_plane": PLANE if plane is None else plane,
        } | self.changes(number)

    async def start(self, number: int, plane: dict[str, Any] | None = None) -> None:
        folder = self.folder / f"n{number}"
        folder.mkdir(exist_ok=True)
        path = folder / "config.json"
        path.write_text(json.dumps(self.config(number, plane)), encoding="utf-8")
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        log = open(folder / "log", "ab")
        self.processes[number] = await asyncio.create_subprocess_exec(
            *program_command(self.program),
            cwd=self.program,
            env=environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(folder)},
            stderr=log,
        )
        log.close()

    def signal(self, number: int, which: signal.Signals) -> None:
        self.processes[number].send_signal(which)

    async def kill(self, number: int) -> None:
        process = self.processes.pop(number)
        with contextlib.suppress(ProcessLookupError):  # it ended by itself: what waits for it says so
            process.kill()
        await process.wait()

    async def close(self) -> None:
        for number in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                self.signal(number, signal.SIGCONT)
            await self.kill(number)
        for proxy in self.proxies:
            if proxy.transport is not None:
                proxy.transport.close()

    async def call(self, number: int, method: str, path: str) -> tuple[int, bytes]:
        """Call sidecar `number`'s door; status 0 where it does not answer within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.doors[number])
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode())
                data = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0, b""
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]) if head.startswith(b"HTTP/1.1 ") else 0, body

    async def members(self, number: int) -> dict[str, Any] | None:
        """What sidecar `number`'s door tells of the plane; None while it does not answer."""
        status, body = await self.call(number, "GET", "/api/members")
        if status != 200:
            return None
        told: dict[str, Any] = json.loads(body)
        return told

    async def all_ready(self) -> bool:
        for number in self.processes:
            if (await self.call(number, "GET", "/api/ready"))[0] != 200:
                return False
        return True

    async def until(self, condition: Any, patience_s: float = PATIENCE_S) -> float:
        """Wait until the coroutine function `condition` is true; give the seconds it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not await condition():
            if loop.time() - began > patience_s:
                raise AssertionError(f"it did not come in {patience_s} s; logs end:\n{self.logs()}")
            await asyncio.sleep(0.05)
        return loop.time() - began

    def logs(self, lines: int = 6) -> str:
        """The last lines of each sidecar's log."""
        paths = [self.folder / f"n{number}" / "log" for number in range(self.size)]
        ends = [path.read_text("utf-8").splitlines()[-lines:] for path in paths if path.exists()]
        return "\n".join(line for end in ends for line in end)


@contextlib.asynccontextmanager
async def tier(size: int, folder: Path, seed: int = 7) -> AsyncIterator[Tier]:
    """A tier of `size` sidecars, each started, all ended on leaving."""
    made = Tier(size, folder, seed)
    await made.open()
    try:
        for number in range(size):
            await made.start(number)
        yield made
    finally:
        await made.close()


def play(scene: Any) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(120.0):
            await scene

    asyncio.run(bounded())
