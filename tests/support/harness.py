"""A tier of sidecars as separate OS processes on loopback, with a UDP fault proxy between them.

Sidecar `i` receives datagrams at its own address R_i, but the `peers` list names proxy socket Q_i for it.
The proxy forwards a datagram that arrives at Q_i from R_j to R_i from Q_j, so each sidecar sees its peers at
the addresses in its configuration.  The proxy may drop, duplicate, delay or corrupt datagrams and cut links.
Faults are drawn from a fixed seed; the processes are killed by their ids when the tier closes.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
import os
import random
import shlex
import signal
import socket
import sys
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple, ParamSpec, cast

from sidecar_balancer.addresses import Address

ROOT = Path(__file__).parent.parent.parent
WAIT_TIMEOUT_S = 30.0  # timeout of conditions that must come true; no test relies on its length
SCENARIO_TIMEOUT_S = 120.0
ADMIN_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05
SERVICE_CLASSES = [{"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"}]
MEMBERSHIP_ON = {"on": True, "period_ms": 100, "probe_timeout_ms": 40}  # the `peer_plane` object
SERVER = {"name": "s-1", "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1, "status": "active"}

Condition = Callable[[], Awaitable[bool]]
_P = ParamSpec("_P")

_host_numbers = itertools.count(1)


def new_host() -> str:
    """Return a loopback address that no other test on this machine listens on or connects from."""
    number = next(_host_numbers)
    return f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.{1 + number % 254}"


def free_addresses(host: str, count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[Address]:
    """Return distinct addresses with free ports on `host`: all are bound before any is released."""
    with contextlib.ExitStack() as bound:
        addresses = []
        for _ in range(count):
            sock = bound.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            addresses.append((host, int(sock.getsockname()[1])))
        return addresses


def program_command(root: Path) -> list[str]:
    """Return the `run` command in deploy/balancer.toml of the version in `root`, with this interpreter.

    The package had another name in earlier versions.
    """
    with (root / "deploy" / "balancer.toml").open("rb") as file:
        words = shlex.split(tomllib.load(file)["run"])
    return [sys.executable if word == ".venv/bin/python" else word for word in words if word != "exec"]


def format_address(address: Address) -> str:
    """Return the address as HOST:PORT."""
    return "{}:{}".format(*address)


@dataclass
class NetworkFaults:
    """Faults that the proxy applies; `cut_links` holds pairs of members that cannot reach each other."""

    loss: float = 0.0
    duplication: float = 0.0
    corruption: float = 0.0
    delay_ms: tuple[int, int] = (0, 0)
    cut_links: set[frozenset[int]] = field(default_factory=set)

    def isolate(self, member: int, size: int) -> None:
        """Cut every link of one member of a tier of `size`."""
        self.cut_links = {frozenset((member, other)) for other in range(size) if other != member}


class AdminResponse(NamedTuple):
    """Response of a sidecar's admin server; status 0 if there was none."""

    status: int
    body: bytes

    def json(self) -> dict[str, Any] | None:
        """Return the decoded body of a 200 response, else None."""
        if self.status != 200:
            return None
        value: dict[str, Any] = json.loads(self.body)
        return value


class FaultProxy(asyncio.DatagramProtocol):
    """Proxy socket Q_i of one member; `forward` receives each datagram with its sender's address."""

    def __init__(self, forward: Callable[[Address, bytes], None]) -> None:
        self._forward = forward
        self.transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> Address:
        """The address that the proxy listens on."""
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, int]) -> None:
        self._forward((addr[0], addr[1]), data)


class Tier:
    """`size` sidecar processes, their fault proxy, and their admin servers."""

    def __init__(self, size: int, folder: Path, seed: int = 7) -> None:
        self.size = size
        self.folder = folder
        self.faults = NetworkFaults()
        host = new_host()
        tcp_addresses = free_addresses(host, 2 * size)
        self.peer_addresses = free_addresses(host, size, socket.SOCK_DGRAM)
        self.admin_addresses = tcp_addresses[:size]
        self.client_addresses = tcp_addresses[size:]
        self.program_folder = ROOT  # benchmarks set the folder of an earlier version
        self.config_changes: Callable[[int], dict[str, Any]] = lambda _: {}  # changes by sidecar
        self.proxies: list[FaultProxy] = []
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self._member_by_address = {address: number for number, address in enumerate(self.peer_addresses)}
        self._random = random.Random(seed)

    # -- Lifecycle --------------------------------------------------------------------------------------

    async def open(self) -> None:
        """Start the proxies."""
        loop = asyncio.get_running_loop()
        for number in range(self.size):
            proxy = FaultProxy(functools.partial(self._forward, number))
            await loop.create_datagram_endpoint(
                functools.partial(_return_proxy, proxy), local_addr=("127.0.0.1", 0)
            )
            self.proxies.append(proxy)

    async def start(self, number: int, membership: dict[str, Any] | None = None) -> None:
        """Start sidecar `number` with its configuration; `membership`: its `peer_plane` object."""
        folder = self.folder / f"n{number}"
        folder.mkdir(exist_ok=True)
        path = folder / "config.json"
        path.write_text(json.dumps(self.config(number, membership)), encoding="utf-8")
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        with (folder / "log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *program_command(self.program_folder),
                cwd=self.program_folder,
                env=environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(folder)},
                stderr=log,
            )

    def signal(self, number: int, signum: signal.Signals) -> None:
        """Send a signal to sidecar `number`."""
        self.processes[number].send_signal(signum)

    async def kill(self, number: int) -> None:
        """Kill sidecar `number` with SIGKILL."""
        process = self.processes.pop(number)
        with contextlib.suppress(ProcessLookupError):  # it has exited; whatever waits for it reports that
            process.kill()
        await process.wait()

    async def restart(self, number: int) -> None:
        """Kill sidecar `number`, start it again and wait until the tier is ready."""
        await self.kill(number)
        await self.start(number)
        await self.wait_until(self.all_ready)

    async def close(self) -> None:
        """Kill all processes and close the proxies."""
        for number in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                self.signal(number, signal.SIGCONT)
            await self.kill(number)
        for proxy in self.proxies:
            if proxy.transport is not None:
                proxy.transport.close()

    # -- Configuration ----------------------------------------------------------------------------------

    def config(self, number: int, membership: dict[str, Any] | None = None) -> dict[str, Any]:
        """Return the configuration of sidecar `number`."""
        settings = {"lanes": SERVICE_CLASSES, "me": number, "groupSize": self.size, "zone": "a"}
        return {
            "name": f"n{number}",
            "listen": format_address(self.client_addresses[number]),
            "discovery": "127.0.0.1:1",
            "seed": f"{1000 + number:x}",
            "known": {"index": 1, "snapshot": True, "endpoints": [SERVER]},
            "settings": settings,
            "mgmt": format_address(self.admin_addresses[number]),
            "peer_listen": format_address(self.peer_addresses[number]),
            "peers": [format_address(proxy.address) for proxy in self.proxies],
            "peer_plane": MEMBERSHIP_ON if membership is None else membership,
        } | self.config_changes(number)

    # -- The fault proxy --------------------------------------------------------------------------------

    def _forward(self, target: int, source: Address, data: bytes) -> None:
        sender = self._member_by_address.get(source)
        faults = self.faults
        if sender is None:
            return
        if frozenset((sender, target)) in faults.cut_links or self._random.random() < faults.loss:
            return
        if self._random.random() < faults.corruption and data:
            index = self._random.randrange(len(data))
            data = data[:index] + bytes([data[index] ^ 0xFF]) + data[index + 1 :]
        copies = 2 if self._random.random() < faults.duplication else 1
        for _ in range(copies):
            delay_s = self._random.randint(*faults.delay_ms) / 1000
            asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, target, data)

    def _deliver(self, sender: int, target: int, data: bytes) -> None:
        transport = self.proxies[sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.peer_addresses[target])

    # -- Admin API --------------------------------------------------------------------------------------

    async def call_admin(self, number: int, method: str, path: str) -> AdminResponse:
        """Call sidecar `number`'s admin server."""
        request = f"{method} {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n"
        try:
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.admin_addresses[number])
                writer.write(request.encode())
                data = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return AdminResponse(0, b"")
        head, _, body = data.partition(b"\r\n\r\n")
        return AdminResponse(int(head.split(b" ")[1]) if head.startswith(b"HTTP/1.1 ") else 0, body)

    async def members(self, number: int) -> dict[str, Any] | None:
        """Return sidecar `number`'s view of the members; None while it does not respond."""
        return (await self.call_admin(number, "GET", "/api/members")).json()

    async def responds(self, number: int) -> bool:
        """Return whether sidecar `number` responds with its view of the members."""
        return await self.members(number) is not None

    async def is_ready(self, number: int) -> bool:
        """Return whether sidecar `number` is ready for clients."""
        return (await self.call_admin(number, "GET", "/api/ready")).status == 200

    async def all_ready(self) -> bool:
        """Return whether every running sidecar is ready."""
        for number in self.processes:
            if not await self.is_ready(number):
                return False
        return True

    async def wait_until(self, condition: Condition, timeout_s: float = WAIT_TIMEOUT_S) -> float:
        """Wait until `condition` is true; return the seconds it took."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not await condition():
            if loop.time() - started_s > timeout_s:
                raise AssertionError(
                    f"condition not met in {timeout_s} s; last log lines:\n{self.log_tails()}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - started_s

    def log(self, number: int) -> str:
        """Return sidecar `number`'s log."""
        return (self.folder / f"n{number}" / "log").read_text(encoding="utf-8")

    def log_tails(self, lines: int = 6) -> str:
        """Return the last lines of each sidecar's log."""
        numbers = [number for number in range(self.size) if (self.folder / f"n{number}" / "log").exists()]
        return "\n".join(line for number in numbers for line in self.log(number).splitlines()[-lines:])


def _return_proxy(proxy: FaultProxy) -> FaultProxy:
    return proxy


@contextlib.asynccontextmanager
async def running_tier(size: int, folder: Path, seed: int = 7) -> AsyncIterator[Tier]:
    """Start a tier of `size` sidecars; kill it on exit."""
    tier = Tier(size, folder, seed)
    await tier.open()
    try:
        for number in range(size):
            await tier.start(number)
        yield tier
    finally:
        await tier.close()


def run_scenario(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in its own event loop within `SCENARIO_TIMEOUT_S`."""

    async def bounded() -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            await coroutine

    asyncio.run(bounded())


def scenario(test: Callable[_P, Coroutine[Any, Any, None]]) -> Callable[_P, None]:
    """Make a test function of a coroutine function (see `run_scenario`)."""

    @functools.wraps(test)
    def run(*args: _P.args, **kwargs: _P.kwargs) -> None:
        run_scenario(test(*args, **kwargs))

    return run
