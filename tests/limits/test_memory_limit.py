"""Crowds of clients that make the sidecar hold as much as they can, beside clients that behave well."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import NamedTuple

import pytest

from harness import run_scenario
from misbehaving_clients import FLOODS, STATES, crowd
from sidecar_process import MemoryUse, Neighbors, running_process

MEMORY_MB = 32  # the least that the platform grants
CROWD_BY_SOCKETS = {256: 200, 1024: 600}  # more clients than the sidecar has connections for
SECONDS = 2.0
EVERY_STATE = "every state"


class Measurement(NamedTuple):
    """What became of a sidecar and of well-behaved clients beside a crowd."""

    use: MemoryUse
    neighbors: Neighbors
    exit_code: int | None


class Crowds:
    """Measurements of this module's tests, each made once."""

    def __init__(self) -> None:
        self._measurements: dict[tuple[str, int], Measurement] = {}

    def measure(self, state: str, sockets: int) -> Measurement:
        """Return the measurement beside a crowd in a state, or beside one client in a flood."""
        if (state, sockets) not in self._measurements:
            run_scenario(self._run(state, sockets))
        return self._measurements[state, sockets]

    async def _run(self, state: str, sockets: int) -> None:
        states = [*STATES] if state == EVERY_STATE else [state]
        size = 1 if state in FLOODS else CROWD_BY_SOCKETS[sockets]
        neighbors = Neighbors()
        with tempfile.TemporaryDirectory() as folder:
            async with (
                running_process(Path(folder), MEMORY_MB, sockets) as sidecar,
                sidecar.measured() as use,
            ):
                async with crowd(sidecar.address, size, states):
                    await neighbors.run(sidecar.address, SECONDS)
                exit_code = sidecar.processes[0].returncode
        self._measurements[state, sockets] = Measurement(use, neighbors, exit_code)


@pytest.fixture(scope="module")
def crowds() -> Crowds:
    """Return the measurements that the tests share."""
    return Crowds()


def check_memory(measurement: Measurement) -> None:
    assert measurement.exit_code is None
    assert measurement.use.peak_mb <= MEMORY_MB


def check_time(measurement: Measurement) -> None:
    assert measurement.neighbors.late == 0
    assert set(measurement.neighbors.results) <= {"200", "503"}


def check_served(measurement: Measurement) -> None:
    assert measurement.neighbors.results["200"] >= measurement.neighbors.results["503"]


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("state", [*STATES, EVERY_STATE])
def test_a_crowd_does_not_take_the_memory_of_others(state: str, sockets: int, crowds: Crowds) -> None:
    check_memory(crowds.measure(state, sockets))


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("state", [*STATES, EVERY_STATE])
def test_a_crowd_does_not_take_the_time_of_others(state: str, sockets: int, crowds: Crowds) -> None:
    check_time(crowds.measure(state, sockets))


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("state", [*STATES, EVERY_STATE])
def test_a_crowd_leaves_room_for_most_others(state: str, sockets: int, crowds: Crowds) -> None:
    check_served(crowds.measure(state, sockets))


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("flood", FLOODS)
def test_one_client_at_full_speed_does_not_take_the_memory_or_the_time_of_others(
    flood: str, sockets: int, crowds: Crowds
) -> None:
    measurement = crowds.measure(flood, sockets)
    check_memory(measurement)
    check_time(measurement)
    check_served(measurement)
