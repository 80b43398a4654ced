"""An operator drains a sidecar: clients are sent elsewhere while it still serves arriving requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from admin_calls import call, readiness, served
from loopback import is_closed, read_response, request, run_scenario, running_sidecar, wait_until
from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.downstream import frontend
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.runtime.background import Completion

KEPT_ALIVE = request()


def test_a_drain_fails_readiness_and_closes_connections_until_it_is_ended(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            idle, idle_writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            used, used_writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            for reader, writer in ((idle, idle_writer), (used, used_writer)):
                writer.write(request())
                assert "connection" not in (await read_response(reader))[1]
            for _ in range(2):
                assert await call(environment, "PUT", "/api/evacuate") == 200
            assert await readiness(environment) == 503
            used_writer.write(request())  # a late request is served, then its connection is closed
            status, headers, _ = await read_response(used)
            assert (status, headers["connection"]) == (200, "close")
            assert await is_closed(used)
            assert await is_closed(idle)
            assert await call(environment, "GET", "/api/ready") == 200
            for _ in range(2):
                assert await call(environment, "PUT", "/api/rejoin") == 200
            assert await readiness(environment) == 200
            status, headers, _ = await environment.send_request()
            assert status == 200
            assert "connection" not in headers
            for writer in (idle_writer, used_writer):
                writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("data", [KEPT_ALIVE, request(Connection="close")], ids=["drain", "client"])
def test_a_response_that_ends_its_connection_closes_it_without_lingering(
    data: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Protects descriptors and drains: a connection lingers only if its request was not read completely.
    lingered: list[object] = []

    def linger(connection: ClientConnection) -> None:
        lingered.append(connection)
        connection.close()

    monkeypatch.setattr(ClientConnection, "_linger", linger)

    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            if data == KEPT_ALIVE:
                assert await call(environment, "PUT", "/api/evacuate") == 200
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(data)
            assert (await read_response(reader))[1]["connection"] == "close"
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            assert not lingered
            writer.close()

    run_scenario(scenario())


def test_a_connection_that_becomes_idle_during_a_drain_is_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "_IDLE_CLOSE_INTERVAL_S", 0.001)

    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            assert await call(environment, "PUT", "/api/evacuate") == 200
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request(path="/nowhere"))
            assert (await read_response(reader))[0] == 404
            assert await is_closed(reader)
            writer.close()

    run_scenario(scenario())


def test_a_drain_applies_in_the_next_process_and_does_not_end_during_a_shutdown(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            assert await call(environment, "PUT", "/api/evacuate") == 200
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            assert await readiness(environment) == 503
            # Servers can be disabled during a drain.
            assert await call(environment, "PUT", "/api/exclude/s-0") == 200
            environment.stop.set()
            await wait_until(lambda: environment.sidecar.admin_handlers.lifecycle.is_shutting_down)
            OperatorOverrides(tmp_path).end_drain()
            handlers = environment.sidecar.admin_handlers
            handlers.apply_overrides(Completion(handlers.load_overrides(), None))
            assert environment.sidecar.frontend.draining

    run_scenario(scenario())
