"""Endpoint list changes and failures while dials and attempts are in flight."""

from __future__ import annotations

import asyncio
from typing import Any

import h11
import pytest

from loopback import (
    FakeServer,
    http_response,
    reset_connection,
    running_sidecar,
    unresponsive_listener,
    wait_until,
)
from scenario_helpers import hung, served
from sidecar_balancer.policy.actions import HealthCheck
from sidecar_balancer.policy.events import (
    AttemptEnded,
    HealthCheckEnded,
    ServerOverrideRequested,
)
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.upstream import endpoint_pool
from sidecar_balancer.upstream.endpoint_pool import EndpointPool
from sidecar_balancer.upstream.exchange import Exchange, UpstreamRequest
from sidecar_balancer.upstream.server_connection import ServerConnection
from virtual_clock import RunScenario


@pytest.mark.parametrize("change", ["moves", "restarts"])
def test_dial_to_an_earlier_address_or_process_ends_and_is_retried_elsewhere(
    on_virtual_clock: RunScenario, change: str
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, served, graceful_shutdown=True) as environment:
            with unresponsive_listener() as address:
                entries = [
                    environment.servers[0].entry(address=f"127.0.0.1:{address[1]}"),
                    environment.servers[1].entry(),
                ]
                environment.discovery.publish(42, entries, snapshot=True)
                await wait_until(
                    lambda: environment.sidecar.endpoint_pool.endpoints["s-0"].address == address
                )
                environment.discovery.publish(43, [environment.servers[1].entry(status="leaving")])
                await wait_until(lambda: len(environment.sidecar.engine.balancer.ready_servers) == 1)
                response_task = asyncio.create_task(environment.send_request(service_class="pay", body=b"x"))
                await wait_until(lambda: environment.sidecar.endpoint_pool._dial_tasks)
                events = environment.record_events()
                new_start = {"since_ms": 7} if change == "restarts" else {}
                new_address = f"127.0.0.1:{address[1]}" if change == "restarts" else None
                changed_entry = environment.servers[0].entry(
                    **({"address": new_address} if new_address else {}), **new_start
                )
                environment.discovery.publish(44, [changed_entry, environment.servers[1].entry()])
                assert (await response_task)[0] == 200
                assert not environment.servers[0].requests
                ended = [each for each in events if isinstance(each, AttemptEnded)]
                assert [each.outcome for each in ended] == [Outcome.UNSENT, Outcome.DELIVERED]
                # The server is not at fault.
                assert environment.sidecar.engine.balancer.servers["s-0"].consecutive_failures == 0

    on_virtual_clock(scenario())


def test_attempt_ended_by_a_list_is_not_retried_at_a_server_the_same_list_drains(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, served, graceful_shutdown=True) as environment:
            with unresponsive_listener() as address:
                for _ in range(20):
                    assert (await environment.send_request())[0] == 200  # opens connections to all of them
                sent_before = len(environment.sent())
                for server in environment.servers:
                    environment.sidecar.endpoint_pool.close_idle(server.name)
                    environment.sidecar.endpoint_pool.endpoints[server.name].address = address
                response_task = asyncio.create_task(environment.send_request())
                await wait_until(lambda: environment.sidecar.endpoint_pool._dial_tasks)
                for endpoint, server in zip(
                    environment.sidecar.endpoint_pool.endpoints.values(), environment.servers, strict=True
                ):
                    endpoint.address = server.address
                environment.discovery.publish(
                    42, [each.entry(status="leaving") for each in environment.servers]
                )
                assert (await response_task)[0] == 503
                assert len(environment.sent()) == sent_before
                assert environment.sidecar.proxy.in_flight == {}

    on_virtual_clock(scenario())


def test_attempt_at_an_unknown_server_counts_as_never_executed(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            events = environment.record_events()
            real_send = environment.sidecar.endpoint_pool.send

            def send_after_removal(name: str, *args: Any) -> Exchange:
                # Removed between the decision and its send.
                environment.sidecar.endpoint_pool.endpoints.pop("s-0", None)
                return real_send(name, *args)

            monkeypatch.setattr(environment.sidecar.endpoint_pool, "send", send_after_removal)
            for _ in range(8):
                assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 200
            ended = [each.outcome for each in events if isinstance(each, AttemptEnded)]
            assert set(ended) == {Outcome.UNSENT, Outcome.DELIVERED}
            environment.sidecar.proxy.check_health(HealthCheck("s-0"))
            assert isinstance(events[-1], HealthCheckEnded)
            assert events[-1].outcome is Outcome.UNSENT

    on_virtual_clock(scenario())


@pytest.mark.parametrize("outcome", ["answer", "break", "nothing"])
def test_attempt_in_flight_survives_removal_and_return_of_its_server(
    on_virtual_clock: RunScenario, outcome: str
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            (server,) = environment.servers
            response_task = asyncio.create_task(
                environment.send_request(service_class="pay", body=b"x", budget="1.5")
            )
            await wait_until(environment.sent)
            environment.discovery.publish(42, [server.entry(status="left")])
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)
            environment.discovery.publish(43, [server.entry()])
            await wait_until(lambda: environment.sidecar.engine.balancer.ready_servers)
            if outcome == "answer":
                server.writers[0].write(http_response(200, b"served"))
            elif outcome == "break":
                reset_connection(server.writers[0])
            assert (await response_task)[0] == (200 if outcome == "answer" else 500)
            assert len(environment.sent()) == 1  # it may have been executed, so it is not retried
            server.script = served
            assert (await environment.send_request())[0] == 200
            assert len(server.writers) == 2  # connections from before the removal are not reused

    on_virtual_clock(scenario())


@pytest.mark.parametrize("change", ["leaving", "left", "missing", "excluded"])
def test_attempt_in_flight_at_a_withdrawn_server_completes(
    on_virtual_clock: RunScenario, change: str
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            (server,) = environment.servers
            response_task = asyncio.create_task(environment.send_request(service_class="pay", body=b"x"))
            await wait_until(environment.sent)
            if change == "excluded":
                environment.sidecar.engine.handle(ServerOverrideRequested("s-0", True))
            elif change == "missing":
                environment.discovery.publish(42, [], snapshot=True)
            else:
                environment.discovery.publish(42, [server.entry(status=change)])
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)
            server.writers[0].write(http_response(200, b"served"))
            assert (await response_task)[2] == b"served"
            # The connection is not kept for reuse.
            await wait_until(lambda: environment.sidecar.endpoint_pool.open_count == 0)
            assert (await environment.send_request())[0] == 503

    on_virtual_clock(scenario())


@pytest.mark.parametrize("turns", range(8))
def test_dial_cancelled_in_any_turn_frees_its_capacity(on_virtual_clock: RunScenario, turns: int) -> None:
    async def scenario() -> None:
        server = FakeServer("s", hung)
        await server.start()
        pool = EndpointPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        upstream_request = UpstreamRequest(
            lambda _: h11.Request(method="GET", target="/", headers=[("Host", "x")])
        )
        outcomes: list[Outcome] = []
        deadline = asyncio.get_running_loop().time() + 30
        exchange = pool.send("s", upstream_request, deadline, lambda outcome, _: outcomes.append(outcome))
        for _ in range(turns):
            await asyncio.sleep(0)
        assert pool.open_count == 1
        pool.cancel(exchange)
        await wait_until(lambda: pool.open_count == 0)
        assert outcomes == [Outcome.CANCELLED]
        assert not pool._dial_tasks
        assert not pool._open
        await pool.close()
        await server.end()

    on_virtual_clock(scenario())


def test_request_that_cannot_be_written_frees_its_capacity(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        server = FakeServer("s", hung)
        await server.start()
        pool = EndpointPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        upstream_request = UpstreamRequest(
            lambda _: h11.Request(method="GET", target="/", headers=[("Host", "x\n")])
        )
        outcomes: list[Outcome] = []
        deadline = asyncio.get_running_loop().time() + 30
        pool.send("s", upstream_request, deadline, lambda outcome, _: outcomes.append(outcome))
        await wait_until(lambda: outcomes and pool.open_count <= 0)
        assert outcomes == [Outcome.CONNECT_FAILED]
        assert pool.open_count == 0
        await pool.close()
        await server.end()

    on_virtual_clock(scenario())


def test_address_that_cannot_be_looked_up_fails_its_dial_and_frees_its_capacity(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async def connect(*_: object) -> ServerConnection:
            raise UnicodeError("label too long")  # as the lookup of a 70-letter name does, in a thread

        async with running_sidecar(served, graceful_shutdown=True) as environment:
            monkeypatch.setattr(endpoint_pool, "connect", connect)
            started_at = asyncio.get_running_loop().time()
            assert (await environment.send_request())[0] == 503
            assert asyncio.get_running_loop().time() - started_at < 0.1
            assert environment.sidecar.endpoint_pool.open_count == 0

    on_virtual_clock(scenario())


def test_idle_connections_closed_by_their_server_free_capacity_once(on_virtual_clock: RunScenario) -> None:
    upstream_request = UpstreamRequest(
        lambda _: h11.Request(method="GET", target="/", headers=[("Host", "x")])
    )

    async def scenario() -> None:
        closing, other = FakeServer("closing", served), FakeServer("other", hung)
        await closing.start()
        await other.start()
        pool = EndpointPool(1.0, 60.0, 2)
        for server in (closing, other):
            pool.update(server.name, server.address, None, ServerState.READY)
        outcomes: list[Outcome] = []
        deadline = asyncio.get_running_loop().time() + 30

        def send(name: str) -> None:
            pool.send(name, upstream_request, deadline, lambda outcome, _: outcomes.append(outcome))

        send("closing")
        send("closing")
        await wait_until(lambda: outcomes == [Outcome.DELIVERED] * 2)
        assert pool.open_count == 2
        for writer in closing.writers:
            writer.close()
        await wait_until(lambda: pool.open_count == 0)
        assert not pool.endpoints["closing"].idle  # no closed connection or timer is left
        for _ in range(3):
            send("other")
        assert pool.open_count == 2
        assert outcomes[2:] == [Outcome.CONNECT_FAILED]
        await wait_until(lambda: len(other.requests) == 2)
        await pool.close()
        assert pool.open_count == 0
        assert len(outcomes) == 5
        await closing.end()
        await other.end()

    on_virtual_clock(scenario())
