"""How a change of the list reaches many sidecars: time, processor, bytes and the registry's calls.

The registry, the relays and the hollow sidecars are processes on loopback; relays are the real program.
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

from earlier import ROOT, cpu_s

SIDECARS_A_RELAY = 458  # 22,000 over 54 machines, with a region's relays lost
SIDECARS_A_PROCESS = 200
SERVERS = 200  # on the list: what a sidecar calls, not the fleet
EVERY_S = 1.25  # 0.8 changes a second
SETTLE_S = 6.0  # after the start
LATE_S = 8.0  # how long the last change may take before it is counted as missing
BENCH = Path(__file__).parent


@dataclass
class Worker:
    """A process of the bench, spoken to by lines."""

    process: asyncio.subprocess.Process

    async def ask(self, line: str) -> dict[str, Any]:
        assert self.process.stdin is not None
        self.process.stdin.write(line.encode() + b"\n")
        return await self.hear()

    async def hear(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        told = await asyncio.wait_for(self.process.stdout.readline(), 120.0)
        return dict(json.loads(told))

    async def end(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


@dataclass
class Outcome:
    """One phase at one size."""

    phase: str
    sidecars: int
    relays: int
    latencies_s: list[float] = field(default_factory=list)
    missing: int = 0  # sidecars that did not have the last change in time
    registry_calls_s: float = 0.0
    relay_core: float = 0.0  # the busiest relay's part of a core
    sidecar_core: float = 0.0  # a hollow sidecar's part of a core, on average
    sidecar_bytes_s: float = 0.0  # bodies that relays sent, by sidecar

    def row(self) -> str:
        ordered = sorted(self.latencies_s) or [math.nan]
        return (
            f"{self.phase:<22}{self.sidecars:>7}{self.relays:>7}"
            f"{1000 * statistics.median(ordered):>9.0f}{1000 * ordered[int(0.99 * (len(ordered) - 1))]:>9.0f}"
            f"{1000 * ordered[-1]:>9.0f}{self.missing:>9}{self.registry_calls_s:>10.1f}"
            f"{self.relay_core:>9.1%}{self.sidecar_core:>10.2%}{self.sidecar_bytes_s:>9.0f}"
        )


HEADER = (
    f"{'phase':<22}{'sidecars':>7}{'relays':>7}{'p50 ms':>9}{'p99 ms':>9}{'worst':>9}"
    f"{'missing':>9}{'reg. c/s':>10}{'relay':>9}{'sidecar':>10}{'B/s':>9}"
)


class Fleet:
    """The registry, its relays (none: sidecars call it themselves) and the hollow sidecars."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.registry: Worker
        self.relays: list[Worker] = []
        self.doors: list[str] = []
        self.members: list[Worker] = []
        self.sidecars = 0

    async def open(self, sidecars: int, relays: int) -> None:
        self.sidecars = sidecars
        self.registry = await self._spawn("registry", str(SERVERS))
        address = str((await self.registry.hear())["address"])
        ports = _free_ports(2 * relays)
        addresses = [f"127.0.0.1:{port}" for port in ports[:relays]] or [address]
        for number in range(relays):
            self.doors.append(f"127.0.0.1:{ports[relays + number]}")
            self.relays.append(await self._start_relay(number, addresses[number], address))
        await asyncio.sleep(1.5 if relays else 0.0)
        for first in range(0, sidecars, SIDECARS_A_PROCESS):
            count = min(SIDECARS_A_PROCESS, sidecars - first)
            self.members.append(
                await self._spawn("sidecars", str(count), str(first), str(SERVERS), *addresses)
            )
        for each in self.members:
            await each.hear()

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
            f'listen = "{listen}"\nupstreams = ["{upstream}"]\nmgmt = "{self.doors[number]}"\n'
            f'connections = 8192\n[logging]\nlevel = "error"\n'
        )
        return await self._process("-m", "sidecar_balancer.cli", "relay", "--config", str(path))

    async def relay_bytes(self) -> int:
        told = [await _status(door) for door in self.doors]
        return sum(int(each["counters"]["bytes_out"]) for each in told if each)

    async def close(self) -> None:
        for each in (*self.members, *self.relays, self.registry):
            await each.end()


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as held:
        found = []
        for _ in range(count):
            sock = held.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            found.append(int(sock.getsockname()[1]))
        return found


async def _status(door: str) -> dict[str, Any] | None:
    host, _, port = door.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /api/status HTTP/1.1\r\nHost: x\r\n\r\n")
        told = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
    except (OSError, TimeoutError):
        return None
    return dict(json.loads(told.partition(b"\r\n\r\n")[2]))


@contextlib.asynccontextmanager
async def fleet(sidecars: int, relays: int) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        made = Fleet(Path(folder))
        try:
            await made.open(sidecars, relays)
            await asyncio.sleep(SETTLE_S)
            yield made
        finally:
            await made.close()


async def phase(of: Fleet, name: str, changes: list[int], kill: bool = False) -> Outcome:
    """Make changes at the rate of the fleet to come, `changes[n]` at once; measure until all have them."""
    loop = asyncio.get_running_loop()
    outcome = Outcome(name, of.sidecars, len(of.relays))
    for each in of.members:
        await each.ask("report")  # what came before does not count
    calls = (await of.registry.ask("calls"))["calls"]
    cpu = [cpu_s(each.process.pid) for each in of.relays]
    member_cpu = sum(cpu_s(each.process.pid) for each in of.members)
    sent, began = await of.relay_bytes(), loop.time()
    times: dict[int, float] = {}
    for turn, count in enumerate(changes):
        if kill and turn == len(changes) // 2:
            await of.relays.pop().end()
            of.doors.pop()
            cpu.pop()
            sent = await of.relay_bytes()
        told = await of.registry.ask(f"change {count}")
        times |= {int(index): at for index, at in told["changed"].items()}
        await asyncio.sleep(EVERY_S)
    took = loop.time() - began
    outcome.relay_core = max(
        ((cpu_s(r.process.pid) - was) / took for r, was in zip(of.relays, cpu, strict=True)), default=0.0
    )
    outcome.sidecar_core = (sum(cpu_s(e.process.pid) for e in of.members) - member_cpu) / took / of.sidecars
    outcome.registry_calls_s = ((await of.registry.ask("calls"))["calls"] - calls) / took
    outcome.sidecar_bytes_s = (await of.relay_bytes() - sent) / took / of.sidecars
    await _gather(of, outcome, times)
    return outcome


async def _gather(of: Fleet, outcome: Outcome, times: dict[int, float]) -> None:
    last = max(times)
    loop = asyncio.get_running_loop()
    until = loop.time() + LATE_S
    while True:
        indexes: list[int] = []
        for each in of.members:
            told = await each.ask("report")
            indexes += told["index"]
            for at, earlier_index, index in (one for applied in told["applied"] for one in applied):
                known = range(earlier_index + 1, index + 1)
                outcome.latencies_s += [at - times[each_index] for each_index in known if each_index in times]
        outcome.missing = sum(index < last for index in indexes)
        if not outcome.missing or loop.time() > until:
            return
        await asyncio.sleep(0.5)


async def run(sizes: list[int], without_most: int) -> list[Outcome]:
    """Play each size with relays, and the smaller ones without; print a row a phase as it ends."""
    outcomes = []
    print(HEADER)
    for size in sizes:
        relays = max(math.ceil(size / SIDECARS_A_RELAY), 2)
        async with fleet(size, relays) as of:
            for name, changes, kill in (
                ("0.8 changes/s", [1] * 8, False),
                ("burst of 1,050", [1050, 1, 1, 1], False),
                ("a relay killed", [1] * 8, True),
            ):
                outcomes.append(await phase(of, name, changes, kill))
                print(outcomes[-1].row(), flush=True)
        if size <= without_most:
            async with fleet(size, 0) as of:
                outcomes.append(await phase(of, "without relays", [1] * 8))
                print(outcomes[-1].row(), flush=True)
    return outcomes
