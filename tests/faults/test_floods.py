"""Clients that send at full speed, each a process, beside well-behaved ones on kept and new connections."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest

from cpu_share import cpu_share
from flooding_clients import FLOODS, flooding_clients
from harness import run_scenario
from paced_clients import PacedClients
from sidecar_process import MemoryUse, running_process

MEMORY_MB = 32
FLOODING_CLIENTS = 8
SECONDS = 5.0


async def play(flood: str, seed: int, share: float) -> tuple[PacedClients, MemoryUse]:
    with tempfile.TemporaryDirectory() as folder:
        async with running_process(Path(folder), MEMORY_MB) as sidecar, sidecar.measured() as use:
            clients = PacedClients(sidecar.address, seed)
            with cpu_share(sidecar.processes[0].pid, share):
                async with flooding_clients(sidecar.address, FLOODING_CLIENTS, flood, seed, SECONDS):
                    await clients.run(SECONDS)
            assert sidecar.processes[0].returncode is None
    return clients, use


@pytest.mark.parametrize("share", [1 / 3, 1.0], ids=["third", "core"])
@pytest.mark.parametrize("flood", FLOODS)
def test_requests_beside_eight_clients_at_full_speed_get_one_answer_in_time(flood: str, share: float) -> None:
    async def scenario() -> None:
        clients, use = await play(flood, 11, share)
        clients.check()
        assert use.peak_mb <= MEMORY_MB

    run_scenario(scenario())
