"""Selection of servers: best of k by load, sampling weights, subsets and zones."""

from __future__ import annotations

from collections import Counter

import pytest

from balancer_driver import BalancerDriver, serve_one_at_a_time
from policy_settings import MS, S, server_names, settings
from sidecar_balancer.policy.actions import (
    Reject,
)
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import Outcome


def test_the_candidate_with_the_lowest_load_is_selected() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))  # all are sampled
    for _ in range(40):
        driver.request()
    assert set(Counter(attempt.server for _, attempt in driver.attempts()).values()) == {10}


def test_each_rejection_widens_the_sample_and_excludes_the_server_that_rejected() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    for _ in range(4):
        driver.end_attempt(request, Outcome.REJECTED)
    targets = [attempt.server for _, attempt in driver.attempts(request)]
    assert sorted(targets) == server_names(5)
    driver.end_attempt(request, Outcome.REJECTED)
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_a_single_server_is_selected() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(1))
    assert driver.target_of(driver.request()) == server_names(1)[0]


def test_slower_servers_are_selected_less_often() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    slow = server_names(12)[0]
    for _ in range(1_500):
        request = driver.request()
        driver.advance(90 * MS if driver.target_of(request) == slow else 30 * MS)
        driver.end_attempt(request)
    later = Counter(attempt.server for _, attempt in driver.attempts()[500:])
    assert later[slow] < 0.6 * sum(later.values()) / 12


def test_an_abandoned_attempt_counts_as_load_for_a_while() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    request = driver.request("pay", remaining_us=400 * MS)
    unresponsive = driver.target_of(request)
    driver.advance(395 * MS)  # the final answer is given by then, and the attempt cancelled
    driver.end_attempt(request, Outcome.CANCELLED, answered=True)
    other = driver.request("pay")
    assert driver.target_of(other) != unresponsive
    third = driver.request("pay")
    assert driver.target_of(third) in server_names(2)
    driver.advance(S)
    assert driver.balancer.servers[unresponsive].load(driver.now) <= 1


def test_quick_errors_do_not_attract_more_requests() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    faulty = server_names(6)[2]
    for _ in range(300):
        driver.advance(10 * MS)
        request = driver.request("pay")
        if driver.target_of(request) == faulty:
            driver.end_attempt(request, Outcome.APPLICATION_ERROR)
        else:
            driver.advance(40 * MS)
            driver.end_attempt(request)
    assert sum(1 for _, attempt in driver.attempts() if attempt.server == faulty) < 300 / 6


def _servers_in_two_zones() -> list[ListedServer]:
    return [ListedServer(name, "east" if index < 4 else "west") for index, name in enumerate(server_names(8))]


def _cross_zone_ratio(driver: BalancerDriver, near_us: int, far_us: int) -> float:
    driver.receive_list(_servers_in_two_zones())
    near = set(server_names(8)[:4])
    for _ in range(600):
        request = driver.request()
        driver.advance(near_us if driver.target_of(request) in near else far_us)
        driver.end_attempt(request)
    later = driver.attempts()[300:]
    return sum(1 for _, attempt in later if attempt.server not in near) / len(later)


def test_the_own_zone_is_preferred_while_it_is_as_fast_and_cross_zone_traffic_has_a_price() -> None:
    cross_zone_sum = sum(
        _cross_zone_ratio(BalancerDriver(settings(prices={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert cross_zone_sum < 5 * 0.3


def test_other_zones_are_preferred_while_the_own_zone_is_slow() -> None:
    assert _cross_zone_ratio(BalancerDriver(settings(prices={"cross_zone": 0.03})), 90 * MS, 40 * MS) > 0.5


def test_slow_servers_have_lower_weights_for_heavy_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = BalancerDriver()
    driver.receive_list(
        [
            ListedServer(name, "east", nominal=0.5 if name == server_names(5)[0] else 1.0)
            for name in server_names(5)
        ]
    )
    relative_weights: list[float] = []
    sample = driver.balancer.components.selector.sample

    def recording_sample(pool: list[Server], weights: list[float], count: int) -> list[Server]:
        by_name = {each.name: weight for each, weight in zip(pool, weights, strict=True)}
        slow = by_name.pop(server_names(5)[0])
        relative_weights.append(slow / max(by_name.values()))
        return sample(pool, weights, count)

    monkeypatch.setattr(driver.balancer.components.selector, "sample", recording_sample)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        driver.end_attempt(driver.request(cost_us=cost))
    assert relative_weights[2] < 0.5 * relative_weights[0]


def test_a_server_with_errors_in_every_other_response_is_selected_less_often() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    faulty = server_names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = driver.request("pay")
        target = driver.target_of(request)
        driver.advance(5 * MS if target == faulty else 40 * MS)
        errors += target == faulty
        driver.end_attempt(
            request, Outcome.APPLICATION_ERROR if target == faulty and errors % 2 else Outcome.DELIVERED
        )
    assert sum(1 for _, attempt in driver.attempts()[400:] if attempt.server == faulty) < 0.5 * 800 / 12


def test_a_balancer_with_little_traffic_uses_a_small_subset_and_replaces_drained_servers() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    serve_one_at_a_time(driver, 200)
    subset = {attempt.server for _, attempt in driver.attempts()}
    assert 2 <= len(subset) <= 8
    for removed in subset:
        driver.drain(removed)
    serve_one_at_a_time(driver, 50)
    later = {attempt.server for _, attempt in driver.attempts()[200:]}
    assert later
    assert not later & subset


def test_a_busy_balancer_uses_all_servers() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(30))
    driver.serve_traffic(2_000, interval_us=5 * MS, latency_us=250 * MS)
    assert len({attempt.server for _, attempt in driver.attempts()}) == 30


def test_balancers_with_little_traffic_use_different_subsets() -> None:
    first: set[str] = set()
    for seed in range(12):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(60))
        serve_one_at_a_time(driver, 20)
        first |= {attempt.server for _, attempt in driver.attempts()}
    assert len(first) > 25
