"""The discovery client over loopback, and how its updates reach the balancer and the connections."""

from __future__ import annotations

import pytest

from discovery_helpers import balancer_of, client_of, consecutive_failures, now_us, pooled_servers, served
from loopback import FakeDiscovery, http_response, run_scenario, running_sidecar, wait_until
from policy_settings import S
from registry import entry
from sidecar_balancer.discovery import watch_state
from sidecar_balancer.discovery.client import EMPTY_POLL_PAUSE_S, DiscoveryClient
from sidecar_balancer.discovery.watch_events import PollFailed, WatchEvent
from sidecar_balancer.policy.types import ServerState


def test_a_watch_polls_again_at_once_after_the_version_received() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            for index in (42, 43, 44):
                environment.discovery.publish(index, [])
            await wait_until(lambda: len(environment.discovery.request_targets) == 4)
            targets = [target.split("&")[0] for target in environment.discovery.request_targets]
            assert targets == [f"/registry/instances?after={index}" for index in (41, 42, 43, 44)]

    run_scenario(scenario())


def test_the_pause_between_polls_is_shorter_than_that_between_watches() -> None:
    assert EMPTY_POLL_PAUSE_S < 0.2  # a poll that comes later counts as a new watch


def test_deltas_and_snapshots_reach_the_balancer() -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served) as environment:
            listed = balancer_of(environment).servers
            first, second = environment.servers
            environment.discovery.publish(42, [first.entry(status="leaving")])
            await wait_until(lambda: listed["s-0"].state is ServerState.DRAINING)
            for _ in range(10):
                assert (await environment.send_request())[0] == 200
            assert not first.requests
            environment.discovery.publish(
                43, [first.entry()], snapshot=True
            )  # the snapshot removes s-1, which it does not list
            await wait_until(lambda: "s-1" not in listed)
            requests_before = len(second.requests)
            for _ in range(10):
                assert (await environment.send_request())[0] == 200
            assert len(second.requests) == requests_before

    run_scenario(scenario())


def test_removed_servers_are_forgotten() -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served) as environment:
            first, second = environment.servers
            environment.discovery.publish(
                42, [first.entry(), {**first.entry(), "name": "s-9"}], snapshot=True
            )
            await wait_until(lambda: pooled_servers(environment) == {"s-0", "s-9"})
            assert (await environment.send_request())[0] == 200
            environment.discovery.publish(
                43, [first.entry(status="left"), {**first.entry(), "name": "s-9", "status": "left"}]
            )
            await wait_until(lambda: not pooled_servers(environment))
            assert not balancer_of(environment).servers
            environment.discovery.publish(44, [second.entry()])
            await wait_until(lambda: len(pooled_servers(environment)) == 1)
            assert (await environment.send_request())[0] == 200

    run_scenario(scenario())


def test_a_server_that_restarted_warms_up_again() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            server = balancer_of(environment).servers["s-0"]
            since_ms = now_us(environment) // 1000
            environment.discovery.publish(42, [environment.servers[0].entry(since_ms=since_ms)])
            await wait_until(lambda: server.started_at == since_ms * 1000)
            assert balancer_of(environment).is_warming_up(server)

    run_scenario(scenario())


@pytest.mark.parametrize(
    "malformed",
    [
        http_response(503, b""),
        http_response(200, b"not json"),
        http_response(200, b'{"index": "x", "endpoints": []}'),
        http_response(200, b"[]"),
        http_response(200, b"[" * 100_000),
        http_response(200, b'{"index": 7, "endpoints": ' + b'{"a":' * 100_000),
        b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{",
    ],
)
def test_the_balancer_is_notified_of_a_failed_poll_and_polls_again(malformed: bytes) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, rules={"poll_interval_us": 1 * S}) as environment:
            environment.discovery.responses.put_nowait(malformed)
            await wait_until(lambda: len(environment.discovery.request_targets) == 2)
            assert consecutive_failures(environment) == 1
            assert (await environment.send_request())[0] == 200

    run_scenario(scenario())


def test_an_unreachable_registry_is_a_failed_poll() -> None:
    async def scenario() -> None:
        events: list[WatchEvent] = []
        registry = FakeDiscovery()
        await registry.start()
        registry.stop()
        discovery = DiscoveryClient([registry.address], 1, events.append)
        discovery.set_watching(True)
        await wait_until(lambda: events == [PollFailed(timed_out=False)])
        await wait_until(lambda: not discovery.is_watching)
        discovery.set_watching(True)  # another watch may begin
        await wait_until(lambda: events == [PollFailed(timed_out=False)] * 2)

    run_scenario(scenario())


def test_a_watch_runs_once_and_can_be_stopped() -> None:
    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        events: list[WatchEvent] = []
        discovery = DiscoveryClient([service.address], 1, events.append)
        for _ in range(3):
            discovery.set_watching(True)
        await wait_until(lambda: service.request_targets)
        discovery.fetch()
        await wait_until(lambda: len(service.request_targets) == 2)
        assert service.request_targets[1] == "/registry/instances"
        service.publish(7, [entry()], snapshot=True)
        await wait_until(lambda: events)
        discovery.set_watching(False)
        assert not discovery.is_watching
        service.stop()

    run_scenario(scenario())


def test_a_new_source_is_polled_for_the_full_list_and_then_watched() -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served) as environment:
            await wait_until(lambda: environment.discovery.request_targets)
            new_source = FakeDiscovery()
            await new_source.start()
            client_of(environment).replace_sources([new_source.address])
            new_source.publish(7, [environment.servers[1].entry()], snapshot=True)
            await wait_until(lambda: len(new_source.request_targets) == 2)
            assert new_source.request_targets[0] == "/registry/instances"
            assert new_source.request_targets[1].startswith("/registry/instances?after=7&")
            assert "s-0" not in balancer_of(environment).servers
            assert len(environment.discovery.request_targets) == 1
            new_source.stop()

    run_scenario(scenario())


def test_pushed_lists_are_watched_without_a_request_of_the_balancer() -> None:
    async def scenario() -> None:
        async with running_sidecar(served, discovery="pushed") as environment:
            environment.discovery.responses.put_nowait(http_response(503, b""))
            environment.discovery.publish(42, [environment.servers[0].entry(status="leaving")])
            await wait_until(lambda: balancer_of(environment).servers["s-0"].state is ServerState.DRAINING)

    run_scenario(scenario())


@pytest.mark.parametrize("status", ["leaving", "left"])
def test_a_draining_or_removed_server_needs_no_address(status: str) -> None:
    # If the entry were skipped as malformed, the server would stay in use.
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            environment.discovery.publish(42, [environment.servers[0].entry(status=status, address=None)])
            await wait_until(lambda: not balancer_of(environment).ready_servers)
            assert (await environment.send_request())[0] == 503
            assert not environment.sent()

    run_scenario(scenario())


def test_a_registry_that_does_not_wait_is_polled_with_pauses() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            for _ in range(4):
                environment.discovery.publish(41, [])
            await wait_until(lambda: len(environment.discovery.called_after_s) == 4)
            assert min(environment.discovery.called_after_s) >= 0.09

    run_scenario(scenario())


def test_a_watch_that_timed_out_is_polled_again_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_state, "MIN_WAIT_MS", 30)
    monkeypatch.setattr(watch_state, "RESPONSE_TIMEOUT_S", 0.01)
    monkeypatch.setattr(watch_state, "WATCH_SLACK_S", 0.01)

    async def scenario() -> None:
        # A failed poll is repeated after 250 s here, so only the timeout can cause the second one.
        async with running_sidecar(served, rules={"poll_interval_us": 1_000_000_000}) as environment:
            await wait_until(lambda: len(environment.discovery.request_targets) == 2)
            first, second = (target.split("&wait_ms=") for target in environment.discovery.request_targets)
            assert first[0] == second[0]  # both request the changes since the same version

    run_scenario(scenario())
