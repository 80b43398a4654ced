"""Schedule of the calls to discovery."""

from __future__ import annotations

import itertools

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, START, S, server_names, settings
from sidecar_balancer.policy.actions import (
    FetchEndpoints,
    WatchEndpoints,
)
from sidecar_balancer.policy.events import (
    EndpointListReceived,
)
from sidecar_balancer.policy.types import ListKind


def test_the_endpoint_list_is_watched_from_the_first_event() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), ListKind.CACHED)
    driver.advance(0)
    assert driver.actions_of(WatchEndpoints) == [WatchEndpoints(True)]


@pytest.mark.parametrize("seed", range(8))
def test_a_small_fleet_calls_discovery_at_once(seed: int) -> None:
    driver = BalancerDriver(settings(fleet_size=8), seed=seed)
    driver.receive_list(server_names(2), ListKind.CACHED)
    driver.advance(0)  # the cached list may be outdated, and requests arrive at once
    assert driver.actions_of(WatchEndpoints) == [WatchEndpoints(True)]


def test_a_large_fleet_spreads_its_calls_at_the_start_and_after_failures() -> None:
    first, repeated = [], []
    for seed in range(40):
        driver = BalancerDriver(settings(fleet_size=40), seed=seed)
        driver.receive_list(server_names(2), ListKind.CACHED)
        driver.advance(4 * S)
        called_at = [at for at, each in driver.timeline if isinstance(each, WatchEndpoints)]
        first.append(called_at[0] - START)
        driver.now = max(driver.now, called_at[0] + 2 * S)
        failed_at = driver.now
        driver.feed(EndpointListReceived(ListKind.FAILED))
        driver.advance(4 * S)
        repeated.append(
            next(at for at, each in driver.timeline if isinstance(each, WatchEndpoints) and at > failed_at)
            - failed_at
        )
    for waits in (first, repeated):
        busiest = max(sum(at <= each < at + S for each in waits) for at in waits)
        assert busiest <= 25  # of 40 polls, in any second
    assert min(repeated) > 500 * MS


def test_discovery_is_not_called_where_changes_are_pushed() -> None:
    driver = BalancerDriver(settings(discovery="pushed"))
    driver.receive_list(server_names(2), ListKind.CACHED)
    driver.advance(60 * S)
    assert driver.actions_of(WatchEndpoints) == []
    assert driver.actions_of(FetchEndpoints) == []


def test_failed_calls_are_retried_forever_with_backoff() -> None:
    driver = BalancerDriver()
    called_at = []
    driver.receive_list(server_names(2), ListKind.CACHED)
    for _ in range(12):
        called_at.append(driver.now)
        count = len(driver.actions_of(WatchEndpoints))
        driver.feed(EndpointListReceived(ListKind.FAILED))
        while len(driver.actions_of(WatchEndpoints)) == count:
            driver.advance(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(called_at)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_a_call_without_an_answer_is_repeated_within_the_poll_interval() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), ListKind.CACHED)
    driver.advance(10 * S)
    times = [at for at, each in driver.timeline if isinstance(each, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


def test_an_unanswered_watch_is_reopened_twice_at_once_and_then_with_backoff() -> None:
    # In the scenario join+mass, 11 of 200 sidecars repeated the call only 13 s later and sent requests to
    # servers that had left in the meantime.
    driver = BalancerDriver(settings(fleet_size=200))
    driver.receive_list(server_names(3))
    before = len(driver.actions_of(WatchEndpoints))
    # The call after an unanswered watch may get no answer either, and missed changes soon count as known.
    for unanswered in (1, 2):
        driver.feed(EndpointListReceived(ListKind.TIMED_OUT))
        assert len(driver.actions_of(WatchEndpoints)) == before + unanswered
    # Further calls back off, so that the fleet does not call an overloaded service simultaneously.
    driver.feed(EndpointListReceived(ListKind.TIMED_OUT))
    assert len(driver.actions_of(WatchEndpoints)) == before + 2
    driver.receive_list(server_names(3))
    driver.feed(EndpointListReceived(ListKind.TIMED_OUT))
    assert len(driver.actions_of(WatchEndpoints)) == before + 3
