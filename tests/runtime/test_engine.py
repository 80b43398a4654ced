"""Events and actions: one time per turn, and an executor for each action."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import get_args

import pytest

from loopback import http_response, run_scenario, running_sidecar
from sidecar_balancer import policy
from sidecar_balancer.policy.actions import Action
from sidecar_balancer.policy.events import ClientDisconnected, Event, RequestReceived


def served(*_: object) -> bytes:
    return http_response(200, b"served")


def test_events_of_one_event_loop_turn_have_the_same_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards what the balancer learns: after a stall, it tells by the time what waited meanwhile.
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            times: list[int] = []

            def handle(now: int, _event: Event) -> list[Action]:
                times.append(now)
                return []

            monkeypatch.setattr(environment.sidecar.engine.balancer, "handle", handle)
            ticks = iter(range(1, 1_000_000))
            monkeypatch.setattr(environment.sidecar.engine.clock, "now", lambda: next(ticks))
            for _ in range(3):
                environment.sidecar.engine.handle(ClientDisconnected(1))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            environment.sidecar.engine.handle(ClientDisconnected(1))
            assert times[0] == times[1] == times[2] < times[3]

    run_scenario(scenario())


# Guards against a defect that would kill the process or leave its request without an answer.
def test_exception_in_the_balancer_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            real = environment.sidecar.engine.balancer.handle

            def faulty(now: int, event: Event) -> list[Action]:
                if isinstance(event, RequestReceived) and event.service_class == "pay":
                    raise ZeroDivisionError
                return real(now, event)

            monkeypatch.setattr(environment.sidecar.engine.balancer, "handle", faulty)
            assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 500
            assert (await environment.send_request())[0] == 200
            assert not environment.sidecar.proxy.in_flight

    run_scenario(scenario())


def test_exception_in_an_executor_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            monkeypatch.setattr(environment.sidecar.endpoint_pool, "send", None)
            assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 500
            monkeypatch.undo()
            assert (await environment.send_request())[0] == 200
            assert not environment.sidecar.proxy.in_flight

    run_scenario(scenario())


def test_request_that_the_balancer_ignores_fails_at_its_deadline() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            environment.sidecar.engine.balancer.handle = lambda _now, _event: []  # type: ignore[method-assign, assignment]
            assert (await environment.send_request(budget="0.2"))[0] == 500

    run_scenario(scenario())


def test_every_action_of_the_balancer_has_an_executor() -> None:
    async def scenario() -> None:
        async with running_sidecar() as environment:
            source = _policy_source()
            emitted = {kind for kind in get_args(Action) if f"{kind.__name__}(" in source}
            assert len(emitted) > 5
            assert emitted <= set(environment.sidecar.engine.executors)

    run_scenario(scenario())


def _policy_source() -> str:
    """The text of all modules that may emit actions."""
    modules = Path(policy.__path__[0]).glob("*.py")
    return "".join(path.read_text() for path in modules if path.name != "actions.py")
