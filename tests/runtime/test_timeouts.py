"""Timeouts, and the separate settings of several sidecars in one process."""

from __future__ import annotations

import asyncio

import pytest

from loopback import (
    http_response,
    running_sidecar,
    unresponsive_listener,
    wait_until,
)
from policy_settings import IDEMPOTENT, NON_IDEMPOTENT, S
from scenario_helpers import hung, served
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
)
from sidecar_balancer.policy.types import Outcome, ServerState
from virtual_clock import RunScenario, stall


def test_two_sidecars_in_one_process_apply_their_own_settings(on_virtual_clock: RunScenario) -> None:
    other = [NON_IDEMPOTENT | {"name": "look", "deadline_us": 1 * S}, IDEMPOTENT | {"name": "pay"}]
    limits = {"max_attempts": 1, "may_hedge": False, "may_cancel": False}

    async def scenario() -> None:
        def respond_500(*_: object) -> bytes:
            return http_response(500, b"")

        async with (
            running_sidecar(respond_500, served, graceful_shutdown=True) as ours,
            running_sidecar(
                respond_500, served, graceful_shutdown=True, classes=other, limits=limits, tenants=[]
            ) as theirs,
        ):
            for _ in range(6):
                assert (await ours.send_request(service_class="look"))[
                    0
                ] == 200  # idempotent: retried elsewhere
                assert (await theirs.send_request(service_class="look", method="POST", body=b"x"))[0] in (
                    200,
                    500,
                )
                assert (await theirs.send_request(service_class="look"))[0] == 405
                assert (await ours.send_request(service_class="pay", method="GET"))[0] == 405
            assert any(first.startswith("GET") for first, _, _ in ours.sent())
            assert all(first.startswith("POST") for first, _, _ in theirs.sent())
            assert len(theirs.sent()) == 6  # none of them was sent twice

    on_virtual_clock(scenario())


@pytest.mark.parametrize("phase", ["dial", "attempt", "request", "failsafe"])
def test_each_timeout_ends_its_operation_and_frees_all_of_it(
    on_virtual_clock: RunScenario, phase: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 3, "may_cancel": phase != "attempt", "dial_timeout_us": 200_000}
        async with running_sidecar(hung, hung, graceful_shutdown=True, limits=limits) as environment:
            with unresponsive_listener() as address:
                if phase == "dial":
                    for name in ("s-0", "s-1"):
                        environment.sidecar.endpoint_pool.update(name, address, None, ServerState.READY)
                loop = asyncio.get_running_loop()
                started_at, real = loop.time(), environment.sidecar.engine.balancer.handle
                response_task = asyncio.create_task(
                    environment.send_request(service_class="pay", body=b"x", budget="1.0")
                )
                if phase == "failsafe":
                    await wait_until(environment.sent)
                    monkeypatch.setattr(
                        environment.sidecar.engine.balancer, "handle", lambda _now, _event: []
                    )
                status, _, _ = await response_task
                elapsed_s = loop.time() - started_at
                if phase == "dial":
                    assert status == 503
                    assert 0.39 < elapsed_s < 0.5
                    assert not environment.sent()
                else:
                    assert status == 500
                    assert 0.98 <= elapsed_s < 1.05
                    assert len(environment.sent()) == 1
                if phase == "failsafe":
                    monkeypatch.setattr(environment.sidecar.engine.balancer, "handle", real)
                    for number in list(environment.sidecar.engine.balancer.open_requests):
                        environment.sidecar.engine.handle(ClientDisconnected(number))
                        environment.sidecar.engine.handle(
                            AttemptEnded(number, 0, environment.servers[0].name, Outcome.TIMED_OUT, 1, True)
                        )
                await wait_until(
                    lambda: (
                        environment.sidecar.endpoint_pool.open_count == 0
                        and not environment.sidecar.proxy.in_flight
                    )
                )

    on_virtual_clock(scenario())


@pytest.mark.parametrize("arrival", ["before", "after"])
def test_response_that_comes_with_its_timeout_has_one_outcome(
    on_virtual_clock: RunScenario, arrival: str
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            response_task = asyncio.create_task(
                environment.send_request(service_class="pay", body=b"x", budget="1.0")
            )
            await wait_until(environment.sent)
            if arrival == "before":
                environment.servers[0].writers[0].write(http_response(200, b"served"))
            stall(1.0)  # the response and all due timers are handled in the same turn
            if arrival == "after":
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                if not environment.servers[0].writers[0].is_closing():
                    environment.servers[0].writers[0].write(http_response(200, b"served"))
            assert (await response_task)[0] == (200 if arrival == "before" else 500)

    on_virtual_clock(scenario())
