"""What the module's decisions for one request cost by the number of listed servers.  No sockets."""

from __future__ import annotations

import time

import earlier  # noqa: F401  # makes the tests' stand-ins known
from scale_fit import Series

from helpers import settings
from sidecar_balancer import Balancer
from sidecar_balancer.policy.actions import SendAttempt
from sidecar_balancer.policy.events import AttemptEnded, EndpointListReceived, ListedServer, RequestReceived
from sidecar_balancer.policy.types import ListKind, Outcome

TRIALS = 5
REQUESTS = 100  # a trial
ZONES = 21
EVERY_US = 10_000
TAKING_US = 4_000


def run(sizes: list[int]) -> list[Series]:
    """Measure each size, with crossings between zones priced, as here, and free, as elsewhere."""
    found = []
    for price, name in ((0.013, "priced"), (0.0, "free")):
        costs = {size: _request_us(size, price) for size in sizes}
        found.append(Series(f"the decisions for a request, crossings {name}", "us of CPU", costs))
    return found


def _request_us(size: int, cross_zone: float) -> list[float]:
    balancer = Balancer(settings(zone="zone-00", prices={"cross_zone": cross_zone}), 7)
    listed = [ListedServer(f"s-{number:08x}", zone=f"zone-{number % ZONES:02d}") for number in range(size)]
    balancer.handle(0, EndpointListReceived(ListKind.SNAPSHOT, listed, 1))
    now, ident, costs = 1_000_000, 0, []
    for _ in range(TRIALS):
        spent = 0.0
        for _ in range(REQUESTS):
            now, ident = now + EVERY_US, ident + 1
            began = time.process_time()
            actions = balancer.handle(now, RequestReceived(ident, "look", None, None, 2_000_000, None))
            server = next(each.server for each in actions if isinstance(each, SendAttempt))
            ended = AttemptEnded(ident, 0, server, Outcome.DELIVERED, TAKING_US, True, None)
            balancer.handle(now + TAKING_US, ended)
            spent += time.process_time() - began
        costs.append(1e6 * spent / REQUESTS)
    return costs
