"""Exceptions in the balancer, an executor or a timer: each request still gets one response."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import pytest

from loopback import (
    read_response,
    request,
    running_sidecar,
    wait_until,
)
from scenario_helpers import collect_loop_exceptions, hung, nothing_in_flight, served
from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.policy.events import (
    TimerFired,
)
from virtual_clock import RunScenario, stall


def test_timer_event_that_raises_half_way_loses_no_decided_or_due_action(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, hung, graceful_shutdown=True) as environment:
            requests, failed = environment.sidecar.engine.balancer.components.requests, list[int]()
            real = requests.reject_or_fail

            def reject_or_fail(open_request: Any) -> None:
                if len(failed) == 1:
                    failed.append(open_request.request_id)
                    raise ZeroDivisionError
                failed.append(open_request.request_id)
                real(open_request)

            response_tasks = [
                asyncio.create_task(environment.send_request(service_class="pay", body=b"x", budget="1.0"))
                for _ in range(4)
            ]
            await wait_until(lambda: len(environment.sent()) == 4)
            monkeypatch.setattr(requests, "reject_or_fail", reject_or_fail)
            started_at = asyncio.get_running_loop().time()
            stall(2.0)  # all deadlines pass within one timer event
            assert [(await each)[0] for each in response_tasks] == [500] * 4
            assert asyncio.get_running_loop().time() - started_at < 2.2
            assert len(failed) >= 3
            assert nothing_in_flight(environment)()
            monkeypatch.setattr(requests, "reject_or_fail", real)

    on_virtual_clock(scenario())


def test_balancer_is_woken_after_an_exception_for_what_else_was_due(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            timers = environment.sidecar.engine.balancer.components.timers
            real = timers.pop_due

            def raise_error(_: int) -> None:
                monkeypatch.setattr(timers, "pop_due", real)
                raise ZeroDivisionError

            await wait_until(lambda: environment.discovery.request_targets)
            events = environment.record_events()
            monkeypatch.setattr(timers, "pop_due", raise_error)
            environment.sidecar.engine.handle(TimerFired("agenda"))
            await asyncio.sleep(0.1)
            assert [type(each) for each in events] == [TimerFired, TimerFired]

    on_virtual_clock(scenario())


def test_request_whose_placement_raised_is_forgotten_by_the_balancer(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:

            def raise_error(_now: int, _request: object) -> None:
                raise ZeroDivisionError

            placement = environment.sidecar.engine.balancer.components.placement
            real = placement.place
            monkeypatch.setattr(placement, "place", raise_error)
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            # Without its last byte the request has no deadline yet.
            writer.write(request("pay", body=bytes(100_000))[:-1])
            assert (await read_response(reader))[0] == 500
            assert nothing_in_flight(environment)()
            monkeypatch.setattr(placement, "place", real)
            writer.close()

    on_virtual_clock(scenario())


def test_actions_decided_before_an_exception_are_executed(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            timers = environment.sidecar.engine.balancer.components.timers
            real = timers.arm

            def raise_error(*_: object) -> None:
                monkeypatch.setattr(timers, "arm", real)
                raise ZeroDivisionError

            monkeypatch.setattr(timers, "arm", raise_error)
            assert (await environment.send_request())[0] == 500  # failed after the attempt was sent
            await wait_until(nothing_in_flight(environment))
            assert sum(each.in_flight for each in environment.sidecar.engine.balancer.servers.values()) == 0

    on_virtual_clock(scenario())


def test_periodic_task_survives_an_exception_in_one_run(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True, overrides_folder=tmp_path) as environment:
            real, failed = environment.sidecar.admin_handlers.overrides.load, list[bool]()

            def raise_error() -> Any:
                monkeypatch.setattr(environment.sidecar.admin_handlers.overrides, "load", real)
                failed.append(True)
                raise ZeroDivisionError

            monkeypatch.setattr(environment.sidecar.admin_handlers.overrides, "load", raise_error)
            with collect_loop_exceptions() as exceptions:
                await wait_until(lambda: failed and exceptions)
            assert [type(each) for each in exceptions] == [ZeroDivisionError]
            OperatorOverrides(tmp_path).disable_server("s-0")  # as another process may during an upgrade
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)

    on_virtual_clock(scenario())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_abandoned_request_leaves_balancer_and_sockets_consistent(
    on_virtual_clock: RunScenario, may_cancel: bool
) -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 3, "may_cancel": may_cancel}
        async with running_sidecar(hung, graceful_shutdown=True, limits=limits) as environment:
            response_task = asyncio.create_task(
                environment.send_request(service_class="pay", body=b"x", budget="1.5")
            )
            await wait_until(environment.sent)
            environment.sidecar.proxy.abandon(next(iter(environment.sidecar.proxy.in_flight)))
            assert (await response_task)[0] == 500
            if not may_cancel:  # an attempt that was sent completely ends at its deadline
                await asyncio.sleep(1.0)
                assert environment.servers[0].closed == 0
                assert environment.sidecar.proxy.in_flight
            await wait_until(nothing_in_flight(environment))
            await wait_until(lambda: environment.servers[0].closed == 1)

    on_virtual_clock(scenario())


def test_response_that_cannot_be_written_closes_its_connection(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request())
            await wait_until(environment.sent)
            (client_request,) = environment.sidecar.proxy.by_client_request
            client_request.response_writer.respond(200, [(b"X-Bad", b"\n")], b"")
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            environment.sidecar.proxy.abandon(next(iter(environment.sidecar.proxy.in_flight)))
            writer.close()

    on_virtual_clock(scenario())
