"""Stalls of the balancer itself."""

from __future__ import annotations

from helpers import (
    MS,
    BalancerDriver,
    S,
    server_names,
    settings,
)
from sidecar_balancer.policy.actions import (
    LogEvent,
)


def _stall(driver: BalancerDriver, span_us: int) -> None:
    """Time passes unseen; then the timers that fell due meanwhile fire at once."""
    driver.now += span_us
    driver.advance(0)


def test_a_stall_of_the_balancer_is_not_attributed_to_servers() -> None:
    driver = BalancerDriver(settings())
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    paces = {each.name: each.relative_latency for each in driver.balancer.ready_servers}
    requests = [driver.request() for _ in range(8)]
    _stall(driver, 900 * MS)
    for each in requests:
        driver.end_attempt(each)
    driver.advance(100 * MS)
    assert {each.name: each.relative_latency for each in driver.balancer.ready_servers} == paces
    assert [each for each in driver.actions_of(LogEvent) if "ejected" in each.text] == []


def test_slow_responses_without_a_stall_raise_relative_latency() -> None:
    driver = BalancerDriver(settings())
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    paces = {each.name: each.relative_latency for each in driver.balancer.ready_servers}
    requests = [driver.request() for _ in range(8)]
    driver.advance(900 * MS)
    for each in requests:
        driver.end_attempt(each)
    assert all(each.relative_latency > paces[each.name] for each in driver.balancer.ready_servers)


def test_requests_that_missed_their_objective_in_a_stall_are_rejected_if_worthless_when_late() -> None:
    for worth, sent in ((0.0, 0), (0.5, 1)):
        driver = BalancerDriver(
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * S, "latency_objective_us": 500 * MS}
                    | {"late_priority_weight": worth}
                ]
            )
        )
        driver.receive_list(server_names(4))
        driver.request("look", 1 * S)
        driver.now += 900 * MS
        stale, fresh = driver.request("look", 200 * MS), driver.request("look", 900 * MS)
        assert len(driver.attempts(stale)) == sent
        assert len(driver.attempts(fresh)) == 1
