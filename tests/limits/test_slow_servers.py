"""Servers that write a long answer or read a large request slowly."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from harness import scenario
from loopback import read_response, request
from sidecar_process import running_process

LATENESS_S = 0.55  # half a second, and 0.05 s by which each limit on sockets is longer
BUDGET_S = 1.0


@scenario
async def test_a_long_answer_whose_server_pauses_is_not_cut_off(tmp_path: Path) -> None:
    async with running_process(tmp_path) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request(path="/api/drip/160000/12"))
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.readexactly(30_000)) == 30_000
        writer.close()


@pytest.mark.parametrize("size", [60_000, 150_000, 1_000_000, 4_000_000])
@pytest.mark.parametrize("client_pause_s", [0.0, 0.05])
@scenario
async def test_a_large_request_that_is_read_slowly_is_answered_in_time(
    size: int, client_pause_s: float, tmp_path: Path
) -> None:
    loop = asyncio.get_running_loop()
    data = request("pay", path="/api/slow/32000", body=bytes(size), budget=str(BUDGET_S))
    async with running_process(tmp_path) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        sock: socket.socket = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 212_992)
        response = asyncio.create_task(read_response(reader))
        for start in range(0, len(data), 200_000):
            writer.write(data[start : start + 200_000])
            await writer.drain()
            await asyncio.sleep(client_pause_s)
        sent_at = loop.time()
        status, _, _ = await response
        assert loop.time() - sent_at <= BUDGET_S + LATENESS_S
        assert status in (200, 500, 503)
        writer.close()
