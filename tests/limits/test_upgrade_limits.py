"""The limits of a sidecar while an upgrade runs two processes."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from harness import scenario
from misbehaving_clients import STATES, crowd
from sidecar_process import Neighbors, running_process

CROWD = 600
SECONDS_BESIDE_BOTH = 3.0


async def check_upgrade(folder: Path, memory_mb: int, sockets: int, states: list[str]) -> None:
    """Check the sum of both processes beside a crowd that came before the upgrade."""
    neighbors = Neighbors()
    async with running_process(folder, memory_mb, sockets) as sidecar, sidecar.measured() as use:
        async with crowd(sidecar.address, CROWD, states):
            await neighbors.run(sidecar.address, 1.0)
            old, new = sidecar.processes[0], await sidecar.start_process()
            await neighbors.run(sidecar.address, SECONDS_BESIDE_BOTH)
            old.send_signal(signal.SIGTERM)
            await old.wait()
            await neighbors.run(sidecar.address, 1.0)
        assert new.returncode is None
        assert use.descriptors <= sockets
    assert use.peak_mb <= memory_mb
    assert neighbors.late == 0
    assert set(neighbors.results) <= {"200", "503"}


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("memory_mb", [32, 64])
@pytest.mark.parametrize("state", ["idle", "whole_bodies", "input_behind_request", "every state"])
@scenario
async def test_both_processes_of_an_upgrade_together_keep_the_limits_of_one(
    state: str, memory_mb: int, sockets: int, tmp_path: Path
) -> None:
    await check_upgrade(tmp_path, memory_mb, sockets, [*STATES] if state == "every state" else [state])
