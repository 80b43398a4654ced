"""Watches that get no response, fail or end by an exception, and reloads: the next poll comes in time."""

from __future__ import annotations

import asyncio

import pytest

from loopback import (
    FakeDiscovery,
    http_response,
    running_sidecar,
    wait_until,
)
from scenario_helpers import fail_discovery_calls, hung, served
from sidecar_balancer.discovery import source_connection
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.watch_events import WatchEvent
from virtual_clock import RunScenario

DRAIN_GRACE_S = 0.55  # grace period of a drain, with the slack of the rules


UNANSWERED_WATCH_GRACE_S = 6.0  # changes that an unanswered watch missed count as known after this time


RELOAD_GRACE_S = 4.0  # after SIGHUP, changes at the new address count as known after this time


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("random_fraction", [0.0, 0.999])
@pytest.mark.parametrize("is_first_poll", [True, False])
def test_unanswered_watch_is_restarted_before_its_missed_changes_count_as_known(
    on_virtual_clock: RunScenario, mode: str, random_fraction: float, is_first_poll: bool
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True, discovery=mode) as environment:
            environment.sidecar.discovery._state.random_fraction = lambda: random_fraction
            if not is_first_poll:  # otherwise the first poll after the start is not answered
                environment.discovery.publish(42, [])
            await wait_until(lambda: len(environment.discovery.request_targets) == 4 - is_first_poll)
            unanswered_at, second_at, third_at = environment.discovery.called_at[-3:]
            # The 2 s leave time for the service's queue.
            assert second_at - unanswered_at <= UNANSWERED_WATCH_GRACE_S - 2.0
            assert third_at - unanswered_at <= UNANSWERED_WATCH_GRACE_S
            environment.discovery.publish(43, [environment.servers[0].entry(status="leaving")])
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)

    on_virtual_clock(scenario())


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("failures", [1, 4])
def test_watch_unanswered_after_failures_is_restarted_as_early(
    on_virtual_clock: RunScenario, mode: str, failures: int
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True, discovery=mode) as environment:
            environment.sidecar.discovery._state.random_fraction = lambda: 0.999
            await fail_discovery_calls(environment, failures)
            unanswered_at = environment.discovery.called_at[-1]
            await wait_until(lambda: len(environment.discovery.request_targets) == failures + 3)
            second_at, third_at = environment.discovery.called_at[-2:]
            assert second_at - unanswered_at <= UNANSWERED_WATCH_GRACE_S - 2.0
            assert third_at - unanswered_at <= UNANSWERED_WATCH_GRACE_S
            environment.discovery.publish(43, [environment.servers[0].entry(status="leaving")])
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)

    on_virtual_clock(scenario())


@pytest.mark.parametrize("unanswered_polls", [1, 2])
@pytest.mark.parametrize("failures", [0, 4])
def test_unanswered_polls_after_a_reload_leave_time_to_receive_the_list(
    on_virtual_clock: RunScenario, unanswered_polls: int, failures: int
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            await fail_discovery_calls(
                environment, failures
            )  # failures at the old address do not count for the new one
            new_discovery = FakeDiscovery()
            await new_discovery.start()
            started_at = asyncio.get_running_loop().time()
            environment.move_discovery(new_discovery.address)
            await wait_until(lambda: len(new_discovery.request_targets) == unanswered_polls + 1)
            # No version of the new list is known yet, so each poll requests the full list.
            assert set(new_discovery.request_targets) == {"/registry/instances"}
            assert new_discovery.called_at[-1] - started_at <= RELOAD_GRACE_S + DRAIN_GRACE_S - 0.3
            new_discovery.publish(7, [environment.servers[1].entry()], snapshot=True)
            await wait_until(lambda: "s-0" not in environment.sidecar.engine.balancer.servers)
            await new_discovery.end()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("stage", ["parsing", "applying"])
def test_watch_ended_by_an_exception_is_restarted(
    on_virtual_clock: RunScenario, mode: str, stage: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        failed: list[bool] = []

        def raise_error(*_: object) -> None:
            failed.append(True)
            raise ZeroDivisionError

        async with running_sidecar(served, graceful_shutdown=True, discovery=mode) as environment:
            await wait_until(lambda: environment.discovery.request_targets)
            patched: object = (
                source_connection if stage == "parsing" else environment.sidecar.endpoint_updates
            )
            function_name = "parse_response" if stage == "parsing" else "apply"
            original = getattr(patched, function_name)
            monkeypatch.setattr(patched, function_name, raise_error)
            for _ in range(1 + (stage == "parsing")):  # the poll in progress has looked up the original
                environment.discovery.publish(42, [])
            await wait_until(lambda: failed)
            monkeypatch.setattr(patched, function_name, original)
            polls_before = len(environment.discovery.request_targets)
            environment.discovery.publish(43, [environment.servers[0].entry(status="leaving")], snapshot=True)
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)
            if stage == "applying":  # a part of the update may have been applied
                assert environment.discovery.request_targets[polls_before] == "/registry/instances"

    on_virtual_clock(scenario())


def test_watch_restarts_by_itself_if_its_end_is_not_handled(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        client = DiscoveryClient([service.address], 1, lambda _: None, restart_after_s=7.0)
        client.set_watching(True)
        service.responses.put_nowait(http_response(503, b""))
        await wait_until(lambda: len(service.request_targets) == 2)
        assert service.called_at[1] - service.called_at[0] == pytest.approx(7.0, abs=0.1)
        await client.close()
        client.set_watching(True)  # a closed client starts no watch
        assert not client.is_watching
        await service.end()

    on_virtual_clock(scenario())


def test_responses_to_polls_before_a_switch_and_back_are_ignored(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        old, other = FakeDiscovery(), FakeDiscovery()
        await old.start()
        await other.start()
        events: list[WatchEvent] = []
        discovery = DiscoveryClient([old.address], 1, events.append)
        discovery.fetch()
        discovery.fetch()
        await wait_until(lambda: len(old.request_targets) == 2)
        discovery.replace_sources([other.address])
        discovery.replace_sources([old.address])
        await wait_until(lambda: len(old.request_targets) == 3)
        old.responses.put_nowait(http_response(503, b""))
        old.publish(7, [], snapshot=True)
        await wait_until(lambda: not discovery.is_fetching)
        assert events == []
        assert discovery.status().index is None
        old.publish(8, [], snapshot=True)
        await wait_until(lambda: [event.version for event in events if isinstance(event, ListUpdate)] == [8])
        await discovery.close()
        await old.end()
        await other.end()

    on_virtual_clock(scenario())


def test_backoff_restarts_at_a_new_discovery_address(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            await fail_discovery_calls(environment, 6)
            new_discovery = FakeDiscovery()
            await new_discovery.start()
            started_at = asyncio.get_running_loop().time()
            environment.move_discovery(new_discovery.address)
            for _ in range(2):
                new_discovery.responses.put_nowait(http_response(503, b""))
            await wait_until(lambda: len(new_discovery.request_targets) == 3)
            assert (
                new_discovery.called_at[-1] - started_at <= 1.5
            )  # two waits of at most 0.5 s and 1 s, as after the first failures
            new_discovery.publish(7, [environment.servers[1].entry()], snapshot=True)
            await wait_until(lambda: "s-0" not in environment.sidecar.engine.balancer.servers)
            environment.move_discovery(
                new_discovery.address
            )  # the address is unchanged: the watch is not restarted
            assert environment.sidecar.discovery.source_generation == 1
            await new_discovery.end()

    on_virtual_clock(scenario())


def test_late_failure_of_the_old_address_does_not_count_for_the_new_one(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            await wait_until(lambda: environment.discovery.request_targets)
            new_discovery = FakeDiscovery()
            await new_discovery.start()
            # The owner is notified in the next event loop iteration.
            environment.sidecar.discovery._notify_failure_soon(timed_out=True)
            environment.move_discovery(new_discovery.address)
            await wait_until(lambda: new_discovery.request_targets)
            schedule = environment.sidecar.engine.balancer.components.discovery
            assert schedule.failed_calls == schedule.unanswered_watches == 0
            await new_discovery.end()

    on_virtual_clock(scenario())


def test_endpoint_list_older_than_the_requested_version_is_ignored(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            draining, remaining = environment.servers
            environment.discovery.publish(43, [draining.entry(status="leaving")])
            await wait_until(lambda: len(environment.sidecar.engine.balancer.ready_servers) == 1)
            environment.discovery.publish(
                42, [draining.entry()]
            )  # a late response with an older version of the list
            await wait_until(lambda: environment.discovery.request_targets[-1] == "/registry/instances")
            assert len(environment.sidecar.engine.balancer.ready_servers) == 1
            # The versions have restarted: the full list is valid.
            environment.discovery.publish(3, [remaining.entry()], snapshot=True)
            await wait_until(
                lambda: environment.discovery.request_targets[-1].startswith("/registry/instances?after=3&")
            )
            assert [server.name for server in environment.sidecar.engine.balancer.ready_servers] == [
                remaining.name
            ]

    on_virtual_clock(scenario())


def test_reload_during_or_after_the_shutdown_keeps_nothing_running(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        new_discovery = FakeDiscovery()
        await new_discovery.start()
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            response_task = asyncio.create_task(
                environment.send_request(service_class="pay", body=b"x", budget="1.0")
            )
            await wait_until(environment.sent)
            environment.stop.set()
            environment.move_discovery(new_discovery.address)
            await wait_until(lambda: new_discovery.request_targets)
            assert (await response_task)[0] == 500
        environment.move_discovery(("127.0.0.1", 9))
        assert not environment.sidecar.discovery.is_watching
        await new_discovery.end()

    on_virtual_clock(scenario())
