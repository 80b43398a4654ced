"""The limits of a sidecar while an upgrade runs two processes, whose crowd came before it."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path
from typing import NamedTuple

import pytest

from harness import run_scenario
from misbehaving_clients import STATES, crowd
from sidecar_process import MemoryUse, Neighbors, running_process

CROWD = 600
SECONDS_BESIDE_BOTH = 3.0
EVERY_STATE = "every state"
UPGRADES = [
    (state, memory_mb, sockets)
    for state in ("idle", "whole_bodies", "input_behind_request", EVERY_STATE)
    for memory_mb in (32, 64)
    for sockets in (256, 1024)
]


class Measurement(NamedTuple):
    """The sum of both processes, and what became of well-behaved clients."""

    use: MemoryUse
    neighbors: Neighbors
    exit_code: int | None


class Upgrades:
    """Measurements of this module's tests, each made once."""

    def __init__(self) -> None:
        self._measurements: dict[tuple[str, int, int], Measurement] = {}

    def measure(self, state: str, memory_mb: int, sockets: int) -> Measurement:
        """Return the measurement of an upgrade."""
        key = (state, memory_mb, sockets)
        if key not in self._measurements:
            run_scenario(self._run(state, memory_mb, sockets))
        return self._measurements[key]

    async def _run(self, state: str, memory_mb: int, sockets: int) -> None:
        states = [*STATES] if state == EVERY_STATE else [state]
        neighbors = Neighbors()
        with tempfile.TemporaryDirectory() as folder:
            async with (
                running_process(Path(folder), memory_mb, sockets) as sidecar,
                sidecar.measured() as use,
            ):
                async with crowd(sidecar.address, CROWD, states):
                    await neighbors.run(sidecar.address, 1.0)
                    old, new = sidecar.processes[0], await sidecar.start_process()
                    await neighbors.run(sidecar.address, SECONDS_BESIDE_BOTH)
                    old.send_signal(signal.SIGTERM)
                    await old.wait()
                    await neighbors.run(sidecar.address, 1.0)
                exit_code = new.returncode
        self._measurements[state, memory_mb, sockets] = Measurement(use, neighbors, exit_code)


@pytest.fixture(scope="module")
def upgrades() -> Upgrades:
    """Return the measurements that the tests share."""
    return Upgrades()


@pytest.mark.parametrize(("state", "memory_mb", "sockets"), UPGRADES)
def test_both_processes_of_an_upgrade_together_keep_the_limit_on_descriptors(
    state: str, memory_mb: int, sockets: int, upgrades: Upgrades
) -> None:
    measurement = upgrades.measure(state, memory_mb, sockets)
    assert measurement.exit_code is None
    assert measurement.use.descriptors <= sockets


@pytest.mark.parametrize(("state", "memory_mb", "sockets"), UPGRADES)
def test_both_processes_of_an_upgrade_together_keep_the_limit_on_memory(
    state: str, memory_mb: int, sockets: int, upgrades: Upgrades
) -> None:
    assert upgrades.measure(state, memory_mb, sockets).use.peak_mb <= memory_mb


@pytest.mark.parametrize(("state", "memory_mb", "sockets"), UPGRADES)
def test_clients_beside_a_crowd_are_answered_in_time_during_an_upgrade(
    state: str, memory_mb: int, sockets: int, upgrades: Upgrades
) -> None:
    neighbors = upgrades.measure(state, memory_mb, sockets).neighbors
    assert neighbors.late == 0
    assert set(neighbors.results) <= {"200", "503"}
