"""CPU time of the balancer's decisions for one request, by the number of listed servers.  No sockets."""

from __future__ import annotations

import time

import earlier  # noqa: F401  # makes the tests' stand-ins known
from scale_fit import Series

from helpers import settings
from sidecar_balancer.policy.actions import SendAttempt
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import AttemptEnded, EndpointListReceived, ListedServer, RequestReceived
from sidecar_balancer.policy.types import ListKind, Outcome

TRIALS = 5
REQUESTS = 100  # a trial
ZONES = 21
INTERVAL_US = 10_000
LATENCY_US = 4_000


def run(sizes: list[int]) -> list[Series]:
    """Measure each size, with cross-zone traffic priced, as in this deployment, and free."""
    measured = []
    for cross_zone, name in ((0.013, "priced"), (0.0, "free")):
        costs = {size: _request_us(size, cross_zone) for size in sizes}
        measured.append(Series(f"the decisions for a request, crossings {name}", "us of CPU", costs))
    return measured


def _request_us(size: int, cross_zone: float) -> list[float]:
    balancer = Balancer(settings(zone="zone-00", prices={"cross_zone": cross_zone}), 7)
    listed = [ListedServer(f"s-{number:08x}", zone=f"zone-{number % ZONES:02d}") for number in range(size)]
    balancer.handle(0, EndpointListReceived(ListKind.SNAPSHOT, listed, 1))
    now, request, costs_us = 1_000_000, 0, []
    for _ in range(TRIALS):
        cpu_s = 0.0
        for _ in range(REQUESTS):
            now, request = now + INTERVAL_US, request + 1
            started_at = time.process_time()
            actions = balancer.handle(now, RequestReceived(request, "look", None, None, 2_000_000, None))
            server = next(action.server for action in actions if isinstance(action, SendAttempt))
            ended = AttemptEnded(request, 0, server, Outcome.DELIVERED, LATENCY_US, True, None)
            balancer.handle(now + LATENCY_US, ended)
            cpu_s += time.process_time() - started_at
        costs_us.append(1e6 * cpu_s / REQUESTS)
    return costs_us
