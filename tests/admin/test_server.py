"""The admin server over loopback: its routes, and misbehaving connections."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from admin_calls import admin_server, call, served
from loopback import ask, is_closed, play, read_answer, until, world
from sidecar_balancer.admin import server
from sidecar_balancer.admin.overrides import OperatorOverrides


@pytest.mark.parametrize(
    ("method", "path", "head", "status"),
    [
        ("GET", "/api/ready", "", 200),
        ("PUT", "/api/ready", "", 405),
        ("GET", "/api/evacuate", "", 405),
        ("PUT", "/api/evacuate/s-0", "", 404),
        ("PUT", "/api/nothing", "", 404),
        ("PUT", "/exclude/s-0", "", 404),
        ("PUT", "/api/exclude/", "", 404),
        ("PUT", "/api/exclude/s-9", "", 404),
        ("PUT", "/api/include/s-9", "", 404),
        ("PUT", "/api/exclude/%73-0", "", 200),
        ("PUT", "/api/include/s-0", "Content-Length: 0\r\n", 200),
        ("PUT", "/api/exclude/s-0", "Content-Length: many\r\n", 400),
        ("PUT", "/api/exclude/s-0", "X-Long: " + "a" * 60_000 + "\r\n", 400),
        ("nonsense", "", "", 400),
    ],
)
def test_each_call_returns_its_status(method: str, path: str, head: str, status: int, tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, served, orders=tmp_path) as sidecar_world:
            assert await call(sidecar_world, method, path, head) == status
            assert (await sidecar_world.ask())[0] == 200

    play(scene())


def test_a_connection_carries_one_call(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as sidecar_world:
            reader, writer = await asyncio.open_connection(*admin_server(sidecar_world).address)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n" * 2)
            assert (await read_answer(reader))[0] == 200
            assert await is_closed(reader)
            writer.close()

    play(scene())


def test_a_call_with_a_large_body_is_rejected_and_changes_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as sidecar_world:
            head = b"PUT /api/exclude/s-0 HTTP/1.1\r\nHost: ops\r\nContent-Length: 100000\r\n\r\n"
            assert (await ask(admin_server(sidecar_world).address, head + bytes(100_000)))[0] == 413
            assert OperatorOverrides(tmp_path).load() == (frozenset(), False)

    play(scene())


def test_callers_that_hold_connections_open_do_not_block_other_calls(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as sidecar_world:
            address = admin_server(sidecar_world).address
            idle = [await asyncio.open_connection(*address) for _ in range(3 * server.MAX_CONNECTIONS)]
            for _, writer in idle:
                with contextlib.suppress(ConnectionError):
                    writer.write(b"PUT /api/evac")
            assert await call(sidecar_world, "GET", "/api/ready") == 200
            assert admin_server(sidecar_world).connection_count <= server.MAX_CONNECTIONS
            for _, writer in idle:
                writer.close()

    play(scene())


def test_a_call_that_does_not_arrive_in_time_is_answered_408_and_its_connection_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(server, "_LINGER_S", 0.05)

    async def scene() -> None:
        async with world(served, orders=tmp_path) as sidecar_world:
            reader, writer = await asyncio.open_connection(*admin_server(sidecar_world).address)
            writer.write(b"PUT /api/evac")
            assert (await read_answer(reader))[0] == 408
            await until(lambda: not admin_server(sidecar_world).connection_count)
            writer.close()

    play(scene())


def test_without_an_address_there_is_no_admin_server() -> None:
    async def scene() -> None:
        async with world(served) as sidecar_world:
            assert sidecar_world.sidecar.admin_server is None

    play(scene())
