"""Relative latency of servers."""

from __future__ import annotations

from balancer_driver import BalancerDriver, serve_one_at_a_time
from policy_settings import MS, server_names


def test_relative_latency_adapts_faster_with_few_responses() -> None:
    def latency_change(interval_us: int, latency_us: int, one_at_a_time: bool) -> float:
        driver = BalancerDriver()
        driver.receive_list(server_names(4))
        if one_at_a_time:
            serve_one_at_a_time(driver, 400, latency_us, interval_us)
        else:
            driver.serve_traffic(400, interval_us, latency_us)
        request = driver.request()
        server = driver.balancer.servers[driver.target_of(request)]
        driver.advance(2 * latency_us)
        before = server.relative_latency
        driver.end_attempt(request)
        return server.relative_latency - before

    assert latency_change(400 * MS, 60 * MS, True) > 2 * latency_change(5 * MS, 60 * MS, False) > 0.0
