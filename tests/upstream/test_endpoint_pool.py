"""The pool of connections: dials, idle connections, and the limit on their number."""

from __future__ import annotations

import asyncio

import h11
import pytest

from loopback import (
    WAIT_TIMEOUT_S,
    FakeServer,
    http_response,
    run_scenario,
    running_sidecar,
    unresponsive_listener,
    wait_until,
)
from policy_settings import S
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.upstream import endpoint_pool
from sidecar_balancer.upstream.endpoint_pool import EndpointPool
from sidecar_balancer.upstream.exchange import Exchange, UpstreamRequest
from sidecar_balancer.upstream.response import Response
from virtual_clock import run_on_virtual_clock


def served(*_: object) -> bytes:
    return http_response(200, b"served")


def hung(*_: object) -> None:
    return None


def test_connections_are_reused_after_their_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            for _ in range(5):
                assert (await environment.send_request())[0] == 200
                await asyncio.sleep(endpoint_pool._REUSE_DELAY_S)
            assert len(environment.servers[0].writers) == 1

    run_on_virtual_clock(scenario(), monkeypatch)


def test_idle_connection_is_closed_before_its_server_would_close_it() -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 3, "may_cancel": True, "idle_close_us": 1 * S}
        async with running_sidecar(served, limits=limits) as environment:
            assert (await environment.send_request())[0] == 200
            loop = asyncio.get_running_loop()
            (timer,) = environment.sidecar.endpoint_pool.endpoints["s-0"].idle.values()
            assert timer.when() - loop.time() < 0.95
            await wait_until(lambda: environment.servers[0].closed == 1)

    run_scenario(scenario())


async def send_and_wait(pool: EndpointPool, seconds: float = 5.0, body: bytes = b"") -> Outcome:
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[Outcome] = loop.create_future()

    def end(outcome: Outcome, _: Response | None) -> None:
        ended.set_result(outcome)  # a second outcome would raise here

    pool.send("s", upstream_request(body), loop.time() + seconds, end)
    return await asyncio.wait_for(ended, WAIT_TIMEOUT_S)


def upstream_request(body: bytes = b"") -> UpstreamRequest:
    return UpstreamRequest(lambda _: head(body), body)


def head(body: bytes = b"") -> h11.Request:
    headers = [("Host", "x"), ("Content-Length", str(len(body)))]
    return h11.Request(method="POST", target="/", headers=headers)


@pytest.mark.parametrize(("dial_limit", "seconds"), [(0.1, 30.0), (30.0, 0.1)])
def test_dial_ends_at_its_timeout_and_at_the_deadline_of_its_attempt(
    dial_limit: float, seconds: float
) -> None:
    async def scenario() -> None:
        with unresponsive_listener() as address:
            pool = EndpointPool(dial_limit, 60.0, 10)
            pool.update("s", address, None, ServerState.READY)
            assert await send_and_wait(pool, seconds) is Outcome.CONNECT_FAILED
            await wait_until(lambda: pool.open_count == 0)

    run_scenario(scenario())


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_dial_to_a_draining_or_removed_server_is_ended(state: ServerState) -> None:
    # Guards rule 3: a slow dial would write its request after the grace period.
    async def scenario() -> None:
        with unresponsive_listener() as address:
            pool = EndpointPool(30.0, 60.0, 10)
            pool.update("s", address, None, ServerState.READY)
            sending = asyncio.create_task(send_and_wait(pool))
            await wait_until(lambda: pool.open_count == 1)
            pool.update("s", address, None, state)
            assert await sending is Outcome.CONNECT_FAILED
            await wait_until(lambda: pool.open_count == 0)

    run_scenario(scenario())


def test_attempt_past_its_deadline_is_never_sent() -> None:
    async def scenario() -> None:
        pool = EndpointPool(1.0, 60.0, 10)
        pool.update("s", ("127.0.0.1", 1), None, ServerState.READY)
        assert await send_and_wait(pool, -1.0) is Outcome.UNSENT

    run_scenario(scenario())


def test_cancelled_attempt_has_one_outcome_and_its_connection_is_closed() -> None:
    async def scenario() -> None:
        server = FakeServer("s", hung)
        await server.start()
        pool = EndpointPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        outcomes: list[Outcome] = []
        loop = asyncio.get_running_loop()
        exchange: Exchange = pool.send(
            "s", upstream_request(), loop.time() + 30, lambda outcome, _: outcomes.append(outcome)
        )
        await wait_until(lambda: server.requests)
        pool.cancel(exchange)
        pool.cancel(exchange)
        await wait_until(lambda: server.closed == 1)
        assert outcomes == [Outcome.CANCELLED]
        assert pool.open_count == 0
        server.stop()

    run_scenario(scenario())


def test_connections_to_the_earlier_process_or_address_of_a_server_are_closed() -> None:
    async def scenario() -> None:
        server = FakeServer("s", served)
        await server.start()
        pool = EndpointPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        assert await send_and_wait(pool) is Outcome.DELIVERED
        pool.update("s", server.address, 5, ServerState.READY)
        await wait_until(lambda: server.closed == 1)
        assert await send_and_wait(pool) is Outcome.DELIVERED
        assert len(server.writers) == 2
        other = FakeServer("s", served)
        await other.start()
        pool.update("s", other.address, 5, ServerState.READY)
        assert await send_and_wait(pool) is Outcome.DELIVERED
        assert len(other.requests) == 1
        server.stop()
        other.stop()

    run_scenario(scenario())


def test_number_of_connections_stays_within_its_limit() -> None:
    # Guards the limit on file descriptors: an idle connection elsewhere makes room, one in use does not.
    async def scenario() -> None:
        servers = [FakeServer("a", served), FakeServer("s", hung)]
        pool = EndpointPool(1.0, 60.0, 1)
        for each in servers:
            await each.start()
            pool.update(each.name, each.address, None, ServerState.READY)
        loop = asyncio.get_running_loop()
        ended: list[Outcome] = []
        pool.send("a", upstream_request(), loop.time() + 30, lambda outcome, _: ended.append(outcome))
        await wait_until(lambda: ended)
        pool.send("s", upstream_request(), loop.time() + 30, lambda outcome, _: ended.append(outcome))
        await wait_until(lambda: servers[1].requests)
        assert await send_and_wait(pool) is Outcome.CONNECT_FAILED
        for each in servers:
            each.stop()

    run_scenario(scenario())
