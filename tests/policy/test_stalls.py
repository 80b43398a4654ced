"""Stalls of the balancer itself."""

from __future__ import annotations

from balancer_driver import BalancerDriver
from policy_settings import MS, S, server_names, settings
from sidecar_balancer.policy.actions import (
    LogEvent,
)


def _stall(driver: BalancerDriver, span_us: int) -> None:
    """Let time pass without events; then all due timers fire at once."""
    driver.now += span_us
    driver.advance(0)


def test_a_stall_of_the_balancer_is_not_attributed_to_servers() -> None:
    driver = BalancerDriver(settings())
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    latencies_before = {server.name: server.relative_latency for server in driver.balancer.ready_servers}
    requests = [driver.request() for _ in range(8)]
    _stall(driver, 900 * MS)
    for each in requests:
        driver.end_attempt(each)
    driver.advance(100 * MS)
    assert {
        server.name: server.relative_latency for server in driver.balancer.ready_servers
    } == latencies_before
    assert [event for event in driver.actions_of(LogEvent) if "ejected" in event.text] == []


def test_slow_responses_without_a_stall_raise_relative_latency() -> None:
    driver = BalancerDriver(settings())
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    latencies_before = {server.name: server.relative_latency for server in driver.balancer.ready_servers}
    requests = [driver.request() for _ in range(8)]
    driver.advance(900 * MS)
    for each in requests:
        driver.end_attempt(each)
    assert all(
        server.relative_latency > latencies_before[server.name] for server in driver.balancer.ready_servers
    )


def test_requests_that_missed_their_objective_in_a_stall_are_rejected_if_worthless_when_late() -> None:
    for late_weight, attempts in ((0.0, 0), (0.5, 1)):
        driver = BalancerDriver(
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * S, "latency_objective_us": 500 * MS}
                    | {"late_priority_weight": late_weight}
                ]
            )
        )
        driver.receive_list(server_names(4))
        driver.request("look", 1 * S)
        driver.now += 900 * MS
        stale, fresh = driver.request("look", 200 * MS), driver.request("look", 900 * MS)
        assert len(driver.attempts(stale)) == attempts
        assert len(driver.attempts(fresh)) == 1
