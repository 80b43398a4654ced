"""CPU time of the balancer's decisions for one request, by the number of listed servers, without sockets."""

from __future__ import annotations

import time

import bench_support  # noqa: F401  # puts tests/support on the import path
from scale_fit import Series

from policy_settings import settings
from sidecar_balancer.policy.actions import SendAttempt
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import AttemptEnded, EndpointListReceived, ListedServer, RequestReceived
from sidecar_balancer.policy.types import ListKind, Outcome

TRIALS = 5
REQUESTS = 100  # requests per trial
ZONES = 21
INTERVAL_US = 10_000
LATENCY_US = 4_000


def run(sizes: list[int]) -> list[Series]:
    """Measure each size with priced cross-zone traffic, as in this deployment, and with free traffic."""
    measured = []
    for cross_zone_price, name in ((0.013, "priced"), (0.0, "free")):
        costs = {size: _request_us(size, cross_zone_price) for size in sizes}
        measured.append(Series(f"the decisions for a request, cross-zone traffic {name}", "us of CPU", costs))
    return measured


def _request_us(size: int, cross_zone_price: float) -> list[float]:
    balancer = Balancer(settings(zone="zone-00", prices={"cross_zone": cross_zone_price}), 7)
    listed = [ListedServer(f"s-{number:08x}", zone=f"zone-{number % ZONES:02d}") for number in range(size)]
    balancer.handle(0, EndpointListReceived(ListKind.SNAPSHOT, listed, 1))
    now_us, request, costs_us = 1_000_000, 0, []
    for _ in range(TRIALS):
        cpu_s = 0.0
        for _ in range(REQUESTS):
            now_us, request = now_us + INTERVAL_US, request + 1
            started_at = time.process_time()
            actions = balancer.handle(now_us, RequestReceived(request, "look", None, None, 2_000_000, None))
            server = next(action.server for action in actions if isinstance(action, SendAttempt))
            ended = AttemptEnded(request, 0, server, Outcome.DELIVERED, LATENCY_US, True, None)
            balancer.handle(now_us + LATENCY_US, ended)
            cpu_s += time.process_time() - started_at
        costs_us.append(1e6 * cpu_s / REQUESTS)
    return costs_us
