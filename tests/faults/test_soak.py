"""Soak of one sidecar, drawn from a seed: floods, crowds, slow files, signals, restarts and upgrades.

A few seeds run by default; a longer run has FAULT_SOAK_SEEDS=FIRST-LAST in its environment.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import os
import random
import signal
import tempfile
from dataclasses import dataclass
from pathlib import Path

import pytest

from cpu_share import cpu_share
from flooding_clients import FLOODS, flooding_clients
from harness import run_scenario
from misbehaving_clients import STATES, crowd
from paced_clients import MAX_LATENESS_S
from sidecar_process import SETTINGS, MemoryUse, SidecarProcess, running_process
from soak_clients import SoakClients, SoakRequest

FIRST_SEED, LAST_SEED = map(int, os.environ.get("FAULT_SOAK_SEEDS", "1-8").split("-"))
SLOW_FILES = str(Path(__file__).parent.parent / "support" / "slow_files.py")
DEADLINES_S = (0.4, 1.0, 2.0)
CROWD = 200
SECONDS_BEFORE_SIGTERM = 2.0
SECONDS_AFTER_UPGRADE = 1.0
NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.3
KILL_AFTER_DEADLINE_S = 0.7
MAX_ATTEMPT_AFTER_LEAVING_S = 0.15  # 0.1 s, and 0.05 s for the clients' own process


@dataclass
class Faults:
    """The faults of one seed.

    Attributes:
        flood: What clients at full speed send.
        flooding: How many of them there are.
        crowd_states: The states of a crowd's clients; empty: no crowd.
        share: The sidecar's share of a core.
        slow_files: Whether the file system is slow from the beginning on.
        is_upgrade: Whether a second process takes over; else the sidecar is restarted.
        deadline_s: The longest deadline of a class.
        reloads_at_s: When SIGHUP comes, in seconds from the beginning.
    """

    flood: str
    flooding: int
    crowd_states: list[str]
    share: float
    slow_files: bool
    is_upgrade: bool
    deadline_s: float
    reloads_at_s: list[float]

    @classmethod
    def draw(cls, rng: random.Random) -> Faults:
        return cls(
            flood=rng.choice([*FLOODS]),
            flooding=rng.choice((0, 1, 8)),
            crowd_states=rng.sample([*STATES], 3) if rng.random() < 0.25 else [],
            share=rng.choice((1 / 3, 1.0)),
            slow_files=rng.random() < 0.5,
            is_upgrade=rng.random() < 0.3,
            deadline_s=rng.choice(DEADLINES_S),
            reloads_at_s=sorted(rng.uniform(0.0, 2.5) for _ in range(rng.choice((0, 1, 4)))),
        )

    def settings(self) -> dict[str, object]:
        settings = copy.deepcopy(SETTINGS)
        for service_class in settings["lanes"]:
            service_class["giveUpUs"] = int(self.deadline_s * 1e6)
        return settings


@dataclass
class Play:
    """What one seed led to."""

    faults: Faults
    clients: SoakClients
    sidecar: SidecarProcess
    use: MemoryUse
    terminated_at: float = 0.0
    killed_at: float = 0.0

    def check(self) -> None:
        broken = self.broken_rules()
        assert not broken, (self.faults, self.clients.results(), broken)

    def broken_rules(self) -> list[str]:
        """Return a line for each break of a rule."""
        broken = []
        executed = self.sidecar.executed()
        for sent in self.clients.requests:
            if sent.service_class == "pay" and executed[sent.request_id] > 1:
                broken.append(f"executed {executed[sent.request_id]} times: {sent}")
            if self._is_lost(sent):
                broken.append(f"lost: {self._times(sent)} {sent}")
            if self._attempted_after_leaving(sent):
                broken.append(f"attempt after its client left: {self._times(sent)} {sent}")
        if self.use.peak_mb > self.sidecar.memory_mb:
            broken.append(f"{self.use.peak_mb:.1f} of {self.sidecar.memory_mb} MB")
        if self.use.descriptors > self.sidecar.sockets:
            broken.append(f"{self.use.descriptors} of {self.sidecar.sockets} descriptors")
        return broken

    def _times(self, sent: SoakRequest) -> str:
        began = ", ".join(f"{at - sent.sent_at:.3f}" for at in self._attempts(sent))
        after_sigterm_s = sent.sent_at - self.terminated_at
        return (
            f"sent {after_sigterm_s:.3f} s after SIGTERM, late {sent.lateness_s:.3f} s, attempts at [{began}]"
        )

    def _attempts(self, sent: SoakRequest) -> list[float]:
        return [at for server in self.sidecar.servers for at in server.begun_at.get(sent.request_id, [])]

    def _is_lost(self, sent: SoakRequest) -> bool:
        if sent.result in ("left", "refused"):
            return False
        if sent.result == "unanswered":
            return True
        if sent.result == "closed":
            was_killed = self.killed_at and sent.ended_at >= self.killed_at
            came_late = sent.sent_at > self.terminated_at + KILL_AFTER_DEADLINE_S
            was_forwarded = bool(self._attempts(sent))
            return was_forwarded or not sent.crossed_close if not was_killed else came_late or was_forwarded
        return sent.lateness_s > MAX_LATENESS_S

    def _attempted_after_leaving(self, sent: SoakRequest) -> bool:
        if sent.result != "left":
            return False
        return any(at > sent.ended_at + MAX_ATTEMPT_AFTER_LEAVING_S for at in self._attempts(sent))


async def terminate(play: Play) -> None:
    """Send SIGTERM, and SIGKILL as early as the operators' page allows; clients go on meanwhile."""
    loop = asyncio.get_running_loop()
    old = play.sidecar.processes[0]
    play.terminated_at = loop.time()
    old.send_signal(signal.SIGTERM)
    if not play.faults.is_upgrade:
        await asyncio.sleep(NEW_CONNECTIONS_AFTER_SIGTERM_S)
        play.clients.opens_connections = False
    kill_at = play.terminated_at + play.faults.deadline_s + KILL_AFTER_DEADLINE_S
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(kill_at):
            await old.wait()
    if old.returncode is None:
        play.killed_at = loop.time()
        old.kill()
        await old.wait()


async def reload_in_series(play: Play) -> None:
    started_at = asyncio.get_running_loop().time()
    for at_s in play.faults.reloads_at_s:
        await asyncio.sleep(started_at + at_s - asyncio.get_running_loop().time())
        with contextlib.suppress(ProcessLookupError):
            play.sidecar.processes[0].send_signal(signal.SIGHUP)


async def run_play(play: Play, stack: contextlib.AsyncExitStack, seed: int) -> None:
    """Let clients and faults act until the process has ended."""
    faults, sidecar = play.faults, play.sidecar
    pid = sidecar.processes[0].pid
    if faults.slow_files:
        sidecar.processes[0].send_signal(signal.SIGUSR1)
    await stack.enter_async_context(
        flooding_clients(sidecar.address, faults.flooding, faults.flood, seed, 60.0)
    )
    if faults.crowd_states:
        await stack.enter_async_context(crowd(sidecar.address, CROWD, faults.crowd_states))
    stop = asyncio.Event()
    asking = asyncio.create_task(play.clients.run(40.0, stop))
    reloading = asyncio.create_task(reload_in_series(play))
    with cpu_share(pid, faults.share):
        await asyncio.sleep(SECONDS_BEFORE_SIGTERM)
        if faults.is_upgrade:
            await sidecar.start_process()
        await terminate(play)
    if faults.is_upgrade:
        await asyncio.sleep(SECONDS_AFTER_UPGRADE)
    stop.set()
    await asking
    await reloading


async def play_seed(seed: int) -> Play:
    rng = random.Random(seed)
    faults = Faults.draw(rng)
    with tempfile.TemporaryDirectory() as folder:
        async with (
            running_process(
                Path(folder),
                memory_mb=192 if faults.is_upgrade else 32,
                sockets=rng.choice((256, 1024)),
                settings=faults.settings(),
                program=[SLOW_FILES],
                inherits_listener=faults.is_upgrade,
            ) as sidecar,
            sidecar.measured() as use,
            contextlib.AsyncExitStack() as stack,
        ):
            clients = SoakClients(sidecar.address, rng, faults.deadline_s)
            play = Play(faults, clients, sidecar, use)
            await run_play(play, stack, seed)
    return play


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED + 1))
def test_every_request_read_gets_one_answer_under_drawn_faults(seed: int) -> None:
    async def scenario() -> None:
        (await play_seed(seed)).check()

    run_scenario(scenario())
