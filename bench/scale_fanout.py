"""Propagation of endpoint list changes to many sidecars: latency, CPU, bytes and registry requests.

The registry, the relays and the hollow sidecars are processes on loopback; the relays are the real program.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bench_support import ROOT, cpu_s

SIDECARS_PER_RELAY = 458  # 22,000 over 54 machines, when one region's relays are lost
SIDECARS_PER_PROCESS = 200
LISTED_SERVERS = 200  # the servers that one sidecar calls, not the whole fleet
CHANGE_INTERVAL_S = 1.25  # 0.8 changes per second
SETTLE_S = 6.0  # wait after the start
LAST_CHANGE_TIMEOUT_S = 8.0  # a sidecar without the last change by then counts as missing
REPLY_TIMEOUT_S = 120.0
STEADY_PHASE = "0.8 changes/s"
DIRECT_PHASE = "without relays"
BENCH = Path(__file__).parent


@dataclass
class Worker:
    """A worker process; it reads commands and writes JSON replies, one per line."""

    process: asyncio.subprocess.Process

    async def command(self, command: str) -> dict[str, Any]:
        assert self.process.stdin is not None
        self.process.stdin.write(command.encode() + b"\n")
        return await self.receive()

    async def receive(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        reply = await asyncio.wait_for(self.process.stdout.readline(), REPLY_TIMEOUT_S)
        return dict(json.loads(reply))

    async def end(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


@dataclass
class Outcome:
    """The results of one phase at one size."""

    phase: str
    sidecars: int
    relays: int
    latencies_s: list[float] = field(default_factory=list)
    missing: int = 0  # sidecars that did not apply the last change in time
    registry_calls_per_s: float = 0.0
    relay_cpu_share: float = 0.0  # share of a core that the busiest relay uses
    sidecar_cpu_share: float = 0.0  # share of a core that a hollow sidecar uses, on average
    sidecar_bytes_per_s: float = 0.0  # response bodies sent by relays, per sidecar

    def row(self) -> str:
        latencies_s = sorted(self.latencies_s) or [math.nan]
        p99_s = latencies_s[int(0.99 * (len(latencies_s) - 1))]
        return (
            f"{self.phase:<22}{self.sidecars:>7}{self.relays:>7}"
            f"{1000 * statistics.median(latencies_s):>9.0f}{1000 * p99_s:>9.0f}"
            f"{1000 * latencies_s[-1]:>9.0f}{self.missing:>9}{self.registry_calls_per_s:>10.1f}"
            f"{self.relay_cpu_share:>9.1%}{self.sidecar_cpu_share:>10.2%}{self.sidecar_bytes_per_s:>9.0f}"
        )


HEADER = (
    f"{'phase':<22}{'sidecars':>7}{'relays':>7}{'p50 ms':>9}{'p99 ms':>9}{'worst':>9}"
    f"{'missing':>9}{'reg. c/s':>10}{'relay':>9}{'sidecar':>10}{'B/s':>9}"
)


class Fleet:
    """The registry, its relays (without any, sidecars poll the registry) and the hollow sidecars."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.registry: Worker
        self.relays: list[Worker] = []
        self.admin_addresses: list[str] = []
        self.sidecar_groups: list[Worker] = []
        self.sidecars = 0

    async def open(self, sidecars: int, relays: int) -> None:
        self.sidecars = sidecars
        self.registry = await self._spawn("registry", str(LISTED_SERVERS))
        address = str((await self.registry.receive())["address"])
        ports = _free_ports(2 * relays)
        addresses = [f"127.0.0.1:{port}" for port in ports[:relays]] or [address]
        for number in range(relays):
            self.admin_addresses.append(f"127.0.0.1:{ports[relays + number]}")
            self.relays.append(await self._start_relay(number, addresses[number], address))
        await asyncio.sleep(1.5 if relays else 0.0)
        for first in range(0, sidecars, SIDECARS_PER_PROCESS):
            count = min(SIDECARS_PER_PROCESS, sidecars - first)
            self.sidecar_groups.append(
                await self._spawn("sidecars", str(count), str(first), str(LISTED_SERVERS), *addresses)
            )
        for group in self.sidecar_groups:
            await group.receive()

    async def _spawn(self, *arguments: str) -> Worker:
        return await self._process(str(BENCH / "scale_hollow.py"), *arguments)

    async def _process(self, *command: str) -> Worker:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, *command),
            cwd=ROOT,
            env={"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin"},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            limit=1 << 28,
        )
        return Worker(process)

    async def _start_relay(self, number: int, listen: str, upstream: str) -> Worker:
        path = self.folder / f"relay-{number}.toml"
        path.write_text(
            f'listen = "{listen}"\nupstreams = ["{upstream}"]\nmgmt = "{self.admin_addresses[number]}"\n'
            f'connections = 8192\n[logging]\nlevel = "error"\n'
        )
        return await self._process("-m", "sidecar_balancer.cli", "relay", "--config", str(path))

    async def relay_bytes(self) -> int:
        statuses = [await _status(address) for address in self.admin_addresses]
        return sum(int(status["counters"]["bytes_out"]) for status in statuses if status)

    async def close(self) -> None:
        for worker in (*self.sidecar_groups, *self.relays, self.registry):
            await worker.end()


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as sockets:
        ports = []
        for _ in range(count):
            sock = sockets.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(int(sock.getsockname()[1]))
        return ports


async def _status(admin_address: str) -> dict[str, Any] | None:
    host, _, port = admin_address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /api/status HTTP/1.1\r\nHost: x\r\n\r\n")
        response = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
    except (OSError, TimeoutError):
        return None
    return dict(json.loads(response.partition(b"\r\n\r\n")[2]))


@contextlib.asynccontextmanager
async def running_fleet(sidecars: int, relays: int) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        started = Fleet(Path(folder))
        try:
            await started.open(sidecars, relays)
            await asyncio.sleep(SETTLE_S)
            yield started
        finally:
            await started.close()


@dataclass
class Usage:
    """The resources that the processes of a fleet have used so far."""

    at_s: float
    registry_requests: int
    relay_cpu_s: list[float]
    sidecar_cpu_s: float
    relay_bytes: int


async def read_usage(fleet: Fleet) -> Usage:
    return Usage(
        at_s=asyncio.get_running_loop().time(),
        registry_requests=(await fleet.registry.command("calls"))["calls"],
        relay_cpu_s=[cpu_s(relay.process.pid) for relay in fleet.relays],
        sidecar_cpu_s=sum(cpu_s(group.process.pid) for group in fleet.sidecar_groups),
        relay_bytes=await fleet.relay_bytes(),
    )


async def run_phase(fleet: Fleet, name: str, changes: list[int], kill_relay: bool = False) -> Outcome:
    """Make changes at the planned fleet's rate, `changes[n]` at once; measure until all are applied."""
    outcome = Outcome(name, fleet.sidecars, len(fleet.relays))
    for group in fleet.sidecar_groups:
        await group.command("report")  # discards updates from before this phase
    before = await read_usage(fleet)
    changed_at: dict[int, float] = {}
    for number, count in enumerate(changes):
        if kill_relay and number == len(changes) // 2:
            await fleet.relays.pop().end()
            fleet.admin_addresses.pop()
            before.relay_cpu_s.pop()
            before.relay_bytes = await fleet.relay_bytes()
        reply = await fleet.registry.command(f"change {count}")
        changed_at |= {int(index): at_s for index, at_s in reply["changed"].items()}
        await asyncio.sleep(CHANGE_INTERVAL_S)
    record_usage(outcome, before, await read_usage(fleet))
    await collect_latencies(fleet, outcome, changed_at)
    return outcome


def record_usage(outcome: Outcome, before: Usage, after: Usage) -> None:
    elapsed_s = after.at_s - before.at_s
    relay_cpu_s = [now - then for now, then in zip(after.relay_cpu_s, before.relay_cpu_s, strict=True)]
    sidecar_s = elapsed_s * outcome.sidecars
    outcome.relay_cpu_share = max(relay_cpu_s, default=0.0) / elapsed_s
    outcome.sidecar_cpu_share = (after.sidecar_cpu_s - before.sidecar_cpu_s) / sidecar_s
    outcome.registry_calls_per_s = (after.registry_requests - before.registry_requests) / elapsed_s
    outcome.sidecar_bytes_per_s = (after.relay_bytes - before.relay_bytes) / sidecar_s


async def collect_latencies(fleet: Fleet, outcome: Outcome, changed_at: dict[int, float]) -> None:
    """Collect the sidecars' reports until all have applied the last change or the timeout expires."""
    last_index = max(changed_at)
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + LAST_CHANGE_TIMEOUT_S
    while True:
        indexes: list[int] = []
        for group in fleet.sidecar_groups:
            reply = await group.command("report")
            indexes += reply["index"]
            for at_s, from_index, to_index in (update for applied in reply["applied"] for update in applied):
                applied_indexes = changed_at.keys() & set(range(from_index + 1, to_index + 1))
                outcome.latencies_s += [at_s - changed_at[index] for index in applied_indexes]
        outcome.missing = sum(index < last_index for index in indexes)
        if not outcome.missing or loop.time() > deadline_s:
            return
        await asyncio.sleep(0.5)


async def run(sizes: list[int], max_without_relays: int) -> list[Outcome]:
    """Measure each size with relays, and the smaller ones also without; print a row after each phase."""
    outcomes = []
    print(HEADER)
    for size in sizes:
        relays = max(math.ceil(size / SIDECARS_PER_RELAY), 2)
        async with running_fleet(size, relays) as fleet:
            for name, changes, kill_relay in (
                (STEADY_PHASE, [1] * 8, False),
                ("burst of 1,050", [1050, 1, 1, 1], False),
                ("a relay killed", [1] * 8, True),
            ):
                outcomes.append(await run_phase(fleet, name, changes, kill_relay))
                print(outcomes[-1].row(), flush=True)
        if size <= max_without_relays:
            async with running_fleet(size, 0) as fleet:
                outcomes.append(await run_phase(fleet, DIRECT_PHASE, [1] * 8))
                print(outcomes[-1].row(), flush=True)
    return outcomes
