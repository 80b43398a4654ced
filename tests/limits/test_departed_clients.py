"""Requests of clients that have left, and ids that come again."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from harness import scenario
from loopback import read_response, request, wait_until
from sidecar_process import SidecarProcess, running_process

GRACE_S = 0.1  # an attempt may begin this long after its client has left
ID = "9b1f03aa5c7e2d41"


async def leave_during_execution(sidecar: SidecarProcess, service_class: str) -> bytes:
    """Send a request, leave once a server executes it, and return it."""
    sent = request(service_class, path="/api/hang", budget="1.0", X_Call_Id=ID)
    _, writer = await asyncio.open_connection(*sidecar.address)
    writer.write(sent)
    await wait_until(lambda: sidecar.executed()[ID])
    writer.transport.abort()
    return sent


async def send_again(sidecar: SidecarProcess, sent: bytes) -> int:
    """Send a request on a new connection and return the status of its response."""
    reader, writer = await asyncio.open_connection(*sidecar.address)
    writer.write(sent)
    status, _, _ = await read_response(reader)
    writer.close()
    return status


@pytest.mark.parametrize("service_class", ["pay", "amend"])
@scenario
async def test_an_id_that_may_have_run_is_not_run_again(service_class: str, tmp_path: Path) -> None:
    async with running_process(tmp_path) as sidecar:
        sent = await leave_during_execution(sidecar, service_class)
        assert await send_again(sidecar, sent) == 409
        assert sidecar.executed()[ID] == 1


@scenario
async def test_an_id_that_may_have_run_is_not_run_again_after_an_upgrade(tmp_path: Path) -> None:
    async with running_process(tmp_path) as sidecar:
        sent = await leave_during_execution(sidecar, "pay")
        await sidecar.start_process()
        sidecar.processes[0].send_signal(signal.SIGTERM)
        await sidecar.processes[0].wait()
        assert await send_again(sidecar, sent) == 409
        assert sidecar.executed()[ID] == 1


@scenario
async def test_an_id_that_was_answered_is_not_run_again(tmp_path: Path) -> None:
    async with running_process(tmp_path) as sidecar:
        sent = request("pay", path="/api/ok", X_Call_Id=ID)
        assert await send_again(sidecar, sent) == 200
        assert await send_again(sidecar, sent) == 409
        assert sidecar.executed()[ID] == 1


@scenario
async def test_an_id_that_can_not_have_run_may_come_again(tmp_path: Path) -> None:
    async with running_process(tmp_path) as sidecar:
        for server in sidecar.servers:
            server.stop()
        sent = request("pay", path="/api/ok", budget="0.5")
        assert await send_again(sidecar, sent) == 503
        assert await send_again(sidecar, sent) == 503


@scenario
async def test_a_safe_request_may_come_again(tmp_path: Path) -> None:
    async with running_process(tmp_path) as sidecar:
        sent = request("look", path="/api/ok")
        assert await send_again(sidecar, sent) == 200
        assert await send_again(sidecar, sent) == 200


@pytest.mark.parametrize(
    ("service_class", "path", "count", "body"),
    [
        ("look", "/api/ok", 10_000, 0),
        ("pay", "/api/ok", 3_000, 0),
        ("pay", "/api/hang", 500, 0),
        ("pay", "/api/ok", 100, 30_000),
        ("pay", "/api/ok", 5, 300_000),
        ("pay", "/api/slow/100000", 3, 200_000),
    ],
)
@scenario
async def test_requests_behind_others_are_not_sent_once_their_client_has_left(
    service_class: str, path: str, count: int, body: int, tmp_path: Path
) -> None:
    ids = [f"{number:016x}" for number in range(1, count + 1)]
    data = b"".join(request(service_class, path=path, body=bytes(body), X_Call_Id=each) for each in ids)
    loop = asyncio.get_running_loop()
    async with running_process(tmp_path) as sidecar:
        _, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(data)
        await asyncio.sleep(0.5)
        writer.transport.abort() if writer.transport.get_write_buffer_size() else writer.close()
        left_at = loop.time()
        await asyncio.sleep(2.0)
    begun = [time for server in sidecar.servers for each in ids for time in server.begun_at.get(each, [])]
    assert [time for time in begun if time > left_at + GRACE_S] == []
