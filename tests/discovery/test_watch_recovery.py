"""Watches that fall silent, fail or die, and reloads: the next call comes in time."""

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

DRAIN_GRACE_S = 0.55  # of a drain, with the slack of the rules


SILENT_WATCH_GRACE_S = 6.0  # what a watch that fell silent misses counts as told so long after


RELOAD_GRACE_S = 4.0  # and after SIGHUP what there is to tell


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("chance", [0.0, 0.999])
@pytest.mark.parametrize("first", [True, False])
def test_silent_watch_is_restarted_before_its_missed_events_count_as_known(
    on_virtual_clock: RunScenario, mode: str, chance: float, first: bool
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True, discovery=mode) as environment:
            environment.sidecar.discovery._state.random_fraction = lambda: chance
            if not first:  # else the first call after the start falls silent
                environment.discovery.publish(42, [])
            await wait_until(lambda: len(environment.discovery.request_targets) == 4 - first)
            fell_silent, again, third = environment.discovery.called_at[-3:]
            assert again - fell_silent <= SILENT_WATCH_GRACE_S - 2.0  # time for the service's queue
            assert third - fell_silent <= SILENT_WATCH_GRACE_S
            environment.discovery.publish(43, [environment.servers[0].entry(status="leaving")])
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)

    on_virtual_clock(scenario())


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("failures", [1, 4])
def test_watch_silent_after_failures_is_restarted_as_early(
    on_virtual_clock: RunScenario, mode: str, failures: int
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True, discovery=mode) as environment:
            environment.sidecar.discovery._state.random_fraction = lambda: 0.999
            await fail_discovery_calls(environment, failures)
            fell_silent = environment.discovery.called_at[-1]
            await wait_until(lambda: len(environment.discovery.request_targets) == failures + 3)
            again, third = environment.discovery.called_at[-2:]
            assert again - fell_silent <= SILENT_WATCH_GRACE_S - 2.0
            assert third - fell_silent <= SILENT_WATCH_GRACE_S
            environment.discovery.publish(43, [environment.servers[0].entry(status="leaving")])
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)

    on_virtual_clock(scenario())


@pytest.mark.parametrize("silent_calls", [1, 2])
@pytest.mark.parametrize("failures", [0, 4])
def test_silence_after_a_reload_leaves_time_to_receive_the_list(
    on_virtual_clock: RunScenario, silent_calls: int, failures: int
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            await fail_discovery_calls(
                environment, failures
            )  # at the old place: they say nothing of the new one
            new_discovery = FakeDiscovery()
            await new_discovery.start()
            started_at = asyncio.get_running_loop().time()
            environment.move_discovery(new_discovery.address)
            await wait_until(lambda: len(new_discovery.request_targets) == silent_calls + 1)
            assert set(new_discovery.request_targets) == {"/registry/instances"}  # nothing is known there yet
            assert new_discovery.called_at[-1] - started_at <= RELOAD_GRACE_S + DRAIN_GRACE_S - 0.3
            new_discovery.publish(7, [environment.servers[1].entry()], snapshot=True)
            await wait_until(lambda: "s-0" not in environment.sidecar.engine.balancer.servers)
            await new_discovery.end()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("where", ["reading", "hearing"])
def test_watch_ended_by_an_exception_is_restarted(
    on_virtual_clock: RunScenario, mode: str, where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        failed: list[bool] = []

        def raise_error(*_: object) -> None:
            failed.append(True)
            raise ZeroDivisionError

        async with running_sidecar(served, graceful_shutdown=True, discovery=mode) as environment:
            await wait_until(lambda: environment.discovery.request_targets)
            whose: object = source_connection if where == "reading" else environment.sidecar.endpoint_updates
            what = "parse_response" if where == "reading" else "apply"
            real = getattr(whose, what)
            monkeypatch.setattr(whose, what, raise_error)
            for _ in range(1 + (where == "reading")):  # the call under way reads as it was begun
                environment.discovery.publish(42, [])
            await wait_until(lambda: failed)
            monkeypatch.setattr(whose, what, real)
            seen = len(environment.discovery.request_targets)
            environment.discovery.publish(43, [environment.servers[0].entry(status="leaving")], snapshot=True)
            await wait_until(lambda: not environment.sidecar.engine.balancer.ready_servers)
            if where == "hearing":  # half of it may have been taken
                assert environment.discovery.request_targets[seen] == "/registry/instances"

    on_virtual_clock(scenario())


def test_watch_restarts_by_itself_where_its_end_is_not_handled(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        watching = DiscoveryClient([service.address], 1, lambda _: None, restart_after_s=7.0)
        watching.set_watching(True)
        service.responses.put_nowait(http_response(503, b""))
        await wait_until(lambda: len(service.request_targets) == 2)
        assert service.called_at[1] - service.called_at[0] == pytest.approx(7.0, abs=0.1)
        await watching.close()
        watching.set_watching(True)  # after the end nothing is begun
        assert not watching.is_watching
        await service.end()

    on_virtual_clock(scenario())


def test_responses_to_calls_before_a_move_there_and_back_are_ignored(on_virtual_clock: RunScenario) -> None:
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
        await wait_until(lambda: [each.version for each in events if isinstance(each, ListUpdate)] == [8])
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
            )  # 0.5 s and 1 s at most, as at the first failures
            new_discovery.publish(7, [environment.servers[1].entry()], snapshot=True)
            await wait_until(lambda: "s-0" not in environment.sidecar.engine.balancer.servers)
            environment.move_discovery(new_discovery.address)  # where it is already: nothing begins anew
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
            environment.sidecar.discovery._notify_failure_soon(timed_out=True)  # it is told in the next turn
            environment.move_discovery(new_discovery.address)
            await wait_until(lambda: new_discovery.request_targets)
            schedule = environment.sidecar.engine.balancer.components.discovery
            assert schedule.failed_calls == schedule.unanswered_watches == 0
            await new_discovery.end()

    on_virtual_clock(scenario())


def test_endpoint_list_older_than_the_requested_version_is_ignored(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            gone, stays = environment.servers
            environment.discovery.publish(43, [gone.entry(status="leaving")])
            await wait_until(lambda: len(environment.sidecar.engine.balancer.ready_servers) == 1)
            environment.discovery.publish(42, [gone.entry()])  # an older version of the service's list, late
            await wait_until(lambda: environment.discovery.request_targets[-1] == "/registry/instances")
            assert len(environment.sidecar.engine.balancer.ready_servers) == 1
            environment.discovery.publish(
                3, [stays.entry()], snapshot=True
            )  # it counts anew: the whole list is right
            await wait_until(
                lambda: environment.discovery.request_targets[-1].startswith("/registry/instances?after=3&")
            )
            assert [each.name for each in environment.sidecar.engine.balancer.ready_servers] == [stays.name]

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
