"""Slow start of a server at one balancer."""

from __future__ import annotations

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, START, S, server_names
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import ListKind


@pytest.mark.parametrize(("interval_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_a_warming_server_gets_no_more_than_its_share(interval_us: int, burst: int) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    driver.serve_traffic(300, interval_us=10 * MS)
    capacity_per_s = 100 / 6
    joined_at = driver.now
    warming = ListedServer("10.0.0.6:80", zone="east", started_at=joined_at)
    driver.receive_list([warming], ListKind.DELTA)
    while driver.now < joined_at + 10 * S:
        requests = [driver.request() for _ in range(burst)]
        driver.advance(interval_us)
        for each in requests:
            if driver.attempts(each):
                driver.end_attempt(each)
    sent_times = [at for at, each in driver.attempts() if each.server == "10.0.0.6:80" and at >= joined_at]
    for end in sent_times:
        weight = 0.2 + 0.8 * max(end - 2 * S - joined_at, 0) / (10 * S)
        sent_in_window = sum(1 for at in sent_times if end - 2 * S < at <= end)
        assert sent_in_window <= max(1.0, 3 * weight * capacity_per_s * 2)
    assert sent_times or burst == 1  # with one request at a time, the fastest known server gets all


def test_capacity_is_estimated_by_cost_not_by_number_of_requests() -> None:
    rates = []
    for served_us in (100_000, 20_000):  # under overload the heavy requests are shed and light ones remain
        driver = BalancerDriver()
        driver.receive_list(server_names(4))
        for _ in range(60):
            driver.advance(20 * MS)
            driver.end_attempt(driver.request(cost_us=served_us))
            driver.request(remaining_us=0, cost_us=200_000 - served_us)  # too late to be sent
        rates.append(driver.balancer.components.slow_start.estimate_capacity(driver.now))
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_the_capacity_estimate_outlasts_an_outage_of_the_warm_servers() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    driver.serve_traffic(200, interval_us=10 * MS)
    driver.receive_list([ListedServer("10.0.0.9:80", zone="east", started_at=driver.now)], ListKind.DELTA)
    driver.request()
    served = driver.balancer.components.slow_start.estimate_capacity(driver.now)
    driver.advance(5 * S)  # longer than the span over which rates are averaged
    assert driver.balancer.components.slow_start.estimate_capacity(driver.now) > 0.5 * served > 0.0


def test_a_warming_server_gets_about_what_its_weight_permits() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    warming = ListedServer("10.0.0.9:80", zone="east", started_at=START + 15 * S)
    while driver.now < START + 25 * S:
        if driver.now == START + 20 * S:
            driver.receive_list([warming], ListKind.DELTA)
        requests = [driver.request() for _ in range(10)]
        driver.advance(50 * MS)
        for each in requests:
            driver.end_attempt(each)
    sent = [each.server for at, each in driver.attempts() if at >= START + 20 * S]
    per_warm_server = sum(name != warming.server for name in sent) / 5
    weight = 0.2 + 0.8 * 7.5 / 10  # average weight of the warming server
    assert 1.0 < sent.count(warming.server) / (per_warm_server * weight) < 1.6


def test_balancers_with_little_traffic_start_sending_to_a_warming_server_at_different_times() -> None:
    waits_us = []
    for seed in range(40):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(5))
        driver.serve_traffic(40, interval_us=200 * MS)  # one request a second to each server
        driver.receive_list([ListedServer("10.0.0.9:80", zone="east", started_at=driver.now)], ListKind.DELTA)
        joined_at, server = driver.now, driver.balancer.servers["10.0.0.9:80"]
        while not driver.balancer.components.slow_start.has_capacity(driver.now, server, 1.0):
            driver.advance(100 * MS)
        waits_us.append(driver.now - joined_at)
    # At 40 requests a second per warm server, this warming one serves 8 and is overloaded by 48 in 2 s.
    assert 1 <= sum(each <= S for each in waits_us) <= 24
    assert max(sum(at <= each < at + 2 * S for each in waits_us) for at in waits_us) <= 36


def test_slow_start_does_not_limit_warm_servers() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    for _ in range(50):
        driver.request()
    assert len({attempt.server for _, attempt in driver.attempts()}) == 2
