"""Crowds of clients that make the sidecar hold as much as they can, beside clients that behave well."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness import scenario
from misbehaving_clients import FLOODS, STATES, crowd
from sidecar_process import Neighbors, running_process

MEMORY_MB = 32  # the least that the platform grants
CROWD_BY_SOCKETS = {256: 200, 1024: 600}  # more clients than the sidecar has connections for
SECONDS = 2.0


async def check_limits(folder: Path, states: list[str], sockets: int, size: int) -> None:
    """Check memory and neighbors beside a crowd."""
    neighbors = Neighbors()
    async with running_process(folder, MEMORY_MB, sockets) as sidecar, sidecar.measured() as use:
        async with crowd(sidecar.address, size, states):
            await neighbors.run(sidecar.address, SECONDS)
        assert sidecar.processes[0].returncode is None
    assert use.peak_mb <= MEMORY_MB
    assert neighbors.late == 0
    assert set(neighbors.results) <= {"200", "503"}
    assert neighbors.results["200"] >= neighbors.results["503"]


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("state", STATES)
@scenario
async def test_a_crowd_does_not_take_the_memory_or_the_time_of_others(
    state: str, sockets: int, tmp_path: Path
) -> None:
    await check_limits(tmp_path, [state], sockets, CROWD_BY_SOCKETS[sockets])


@pytest.mark.parametrize("sockets", [256, 1024])
@scenario
async def test_crowds_in_every_state_at_once_do_not_take_the_memory_of_others(
    sockets: int, tmp_path: Path
) -> None:
    await check_limits(tmp_path, [*STATES], sockets, CROWD_BY_SOCKETS[sockets])


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("flood", FLOODS)
@scenario
async def test_one_client_at_full_speed_does_not_take_the_memory_or_the_time_of_others(
    flood: str, sockets: int, tmp_path: Path
) -> None:
    await check_limits(tmp_path, [flood], sockets, 1)
