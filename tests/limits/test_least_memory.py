"""What the least memory of the pages has to suffice for."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from harness import scenario
from loopback import read_response
from misbehaving_clients import unique_request
from sidecar_process import SidecarProcess, running_process


async def ask(sidecar: SidecarProcess, data: bytes) -> tuple[int, int]:
    """Send a request on a new connection; return status and length of the response."""
    reader, writer = await asyncio.open_connection(*sidecar.address)
    writer.write(data)
    status, _, body = await read_response(reader)
    writer.close()
    return status, len(body)


@pytest.mark.parametrize("sockets", [256, 1024])
@scenario
async def test_a_third_of_the_descriptors_may_carry_requests_at_once(sockets: int, tmp_path: Path) -> None:
    clients = sockets // 3
    async with running_process(tmp_path, 32, sockets) as sidecar, sidecar.measured() as use:
        requests = [unique_request(path="/api/drip/1600/0.05", budget="2.0") for _ in range(clients)]
        answers = await asyncio.gather(*(ask(sidecar, each) for each in requests))
    assert answers == [(200, 1600)] * clients
    assert use.peak_mb <= 32


@pytest.mark.parametrize("sockets", [256, 1024])
@scenario
async def test_long_bodies_and_answers_beyond_the_memory_pass_through_it(
    sockets: int, tmp_path: Path
) -> None:
    size, clients = 8_000_000, 12
    async with running_process(tmp_path, 32, sockets) as sidecar, sidecar.measured() as use:
        posts = [unique_request("pay", path="/api/ok", body=bytes(size)) for _ in range(clients)]
        gets = [unique_request(path=f"/api/long/{size}") for _ in range(clients)]
        answers = await asyncio.gather(*(ask(sidecar, each) for each in (*posts, *gets)))
    assert answers == [(200, 6)] * clients + [(200, size)] * clients
    assert use.peak_mb <= 32
