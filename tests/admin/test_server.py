"""The admin server over loopback: its routes, and misbehaving connections."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from admin_calls import admin_server, call, served
from loopback import is_closed, read_response, run_scenario, running_sidecar, send_request, wait_until
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
    async def scenario() -> None:
        async with running_sidecar(served, served, overrides_folder=tmp_path) as environment:
            assert await call(environment, method, path, head) == status
            assert (await environment.send_request())[0] == 200

    run_scenario(scenario())


def test_a_connection_carries_one_call(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            reader, writer = await asyncio.open_connection(*admin_server(environment).address)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n" * 2)
            assert (await read_response(reader))[0] == 200
            assert await is_closed(reader)
            writer.close()

    run_scenario(scenario())


def test_a_call_with_a_large_body_is_rejected_and_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            head = b"PUT /api/exclude/s-0 HTTP/1.1\r\nHost: ops\r\nContent-Length: 100000\r\n\r\n"
            assert (await send_request(admin_server(environment).address, head + bytes(100_000)))[0] == 413
            assert OperatorOverrides(tmp_path).load() == (frozenset(), False)

    run_scenario(scenario())


def test_callers_that_hold_connections_open_do_not_block_other_calls(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            address = admin_server(environment).address
            idle = [await asyncio.open_connection(*address) for _ in range(3 * server.MAX_CONNECTIONS)]
            for _, writer in idle:
                with contextlib.suppress(ConnectionError):
                    writer.write(b"PUT /api/evac")
            assert await call(environment, "GET", "/api/ready") == 200
            assert admin_server(environment).connection_count <= server.MAX_CONNECTIONS
            for _, writer in idle:
                writer.close()

    run_scenario(scenario())


def test_a_call_that_does_not_arrive_in_time_is_answered_408_and_its_connection_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(server, "_LINGER_S", 0.05)

    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            reader, writer = await asyncio.open_connection(*admin_server(environment).address)
            writer.write(b"PUT /api/evac")
            assert (await read_response(reader))[0] == 408
            await wait_until(lambda: not admin_server(environment).connection_count)
            writer.close()

    run_scenario(scenario())


def test_without_an_address_there_is_no_admin_server() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            assert environment.sidecar.admin_server is None

    run_scenario(scenario())
