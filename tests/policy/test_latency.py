"""Relative latency of servers."""

from __future__ import annotations

from helpers import (
    MS,
    BalancerDriver,
    serve_one_at_a_time,
    server_names,
)


def test_relative_latency_adapts_faster_with_few_responses() -> None:
    def latency_change(every_us: int, taking_us: int, one_at_a_time: bool) -> float:
        driver = BalancerDriver()
        driver.receive_list(server_names(4))
        if one_at_a_time:
            serve_one_at_a_time(driver, 400, taking_us, every_us)
        else:
            driver.serve_traffic(400, every_us, taking_us)
        request = driver.request()
        server = driver.balancer.servers[driver.target_of(request)]
        driver.advance(2 * taking_us)
        before = server.relative_latency
        driver.end_attempt(request)
        return server.relative_latency - before

    assert latency_change(400 * MS, 60 * MS, True) > 2 * latency_change(5 * MS, 60 * MS, False) > 0.0
