"""Slow start with a whole fleet: what all balancers send to a warming server stays within its capacity.

The operators attribute only 2 x square root of N + 2 requests beyond a budget of N to chance, also with
thirty processes, so the ramp has to hold for the sum of all balancers.
"""

from __future__ import annotations

import math
import random

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, START, S, server_names, settings
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import ListKind

WARMING_MIN_RATIO = 0.2  # fraction of its capacity that a server has at its start
WARMING_US = 10 * S  # duration of a server's slow start
OVERLOAD_MULTIPLE = 3.0
OVERLOAD_WINDOW_US = 2 * S
LATENCY_US = 60 * MS
WARMING_SERVER = "10.0.9.9:80"


def budget(age_us: int, capacity_per_s: float) -> float:
    """Return how many requests a server of that age may get within `OVERLOAD_WINDOW_US`.

    `capacity_per_s` is what a warm server serves a second.
    """
    weight = min(
        WARMING_MIN_RATIO + (1.0 - WARMING_MIN_RATIO) * max(age_us - OVERLOAD_WINDOW_US, 0) / WARMING_US, 1.0
    )
    return OVERLOAD_MULTIPLE * weight * capacity_per_s * OVERLOAD_WINDOW_US / S


def chance_margin(bound: float) -> float:
    return 2.0 * math.sqrt(bound) + 2.0


def arrivals(drivers: list[BalancerDriver], per_s: float, seed: int, until: int) -> list[tuple[int, int]]:
    """Return requests of the whole fleet as (time, driver): a Poisson process with a few busy sidecars."""
    rng = random.Random(seed)
    weights = [4.0 if index % 10 == 0 else 1.0 for index in range(len(drivers))]
    schedule, at = [], float(drivers[0].now)
    while at < until:
        at += rng.expovariate(per_s) * S
        schedule.append((int(at), rng.choices(range(len(drivers)), weights)[0]))
    return schedule


def run_fleet(drivers: list[BalancerDriver], requests: list[tuple[int, int]], until: int) -> None:
    """Advance all balancers together; each request is delivered after the same latency."""
    pending_responses: list[tuple[int, int, int]] = []
    while requests and requests[0][0] <= until:
        now, index = requests.pop(0)
        while pending_responses and pending_responses[0][0] <= now:
            due, other, request_id = pending_responses.pop(0)
            drivers[other].advance(due - drivers[other].now)
            if drivers[other].attempts(request_id):
                drivers[other].end_attempt(request_id)
        drivers[index].advance(now - drivers[index].now)
        pending_responses.append((now + LATENCY_US, index, drivers[index].request()))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("processes", "per_s", "burst"),
    [(5, 60.0, 1.0), (20, 60.0, 1.0), (30, 60.0, 2.5), (30, 240.0, 2.5)],
    ids=["few", "twenty", "thirty in a burst", "thirty busy ones in a burst"],
)
def test_all_balancers_together_stay_within_the_budget_of_a_warming_server(
    processes: int, per_s: float, burst: float, seed: int
) -> None:
    fleet_settings = settings(
        fleet_size=processes, rules={"slow_start_min_ratio": WARMING_MIN_RATIO, "slow_start_us": WARMING_US}
    )
    drivers = [BalancerDriver(fleet_settings, seed=100 * seed + number) for number in range(processes)]
    warm_servers = server_names(10)
    for driver in drivers:
        driver.receive_list(warm_servers)
    joined_at = START + 15 * S
    run_fleet(drivers, arrivals(drivers, per_s, seed, joined_at), joined_at)
    for driver in drivers:
        driver.advance(joined_at - driver.now)
        driver.receive_list([ListedServer(WARMING_SERVER, zone="east", started_at=joined_at)], ListKind.DELTA)
    end = joined_at + WARMING_US
    run_fleet(drivers, arrivals(drivers, burst * per_s, seed + 50, end), end)
    sent = sorted(at for driver in drivers for at, each in driver.attempts() if each.server == WARMING_SERVER)
    assert sent, "it is used while it warms up"
    for at in sent:
        # The budget follows the usual load, as a burst does not raise a server's capacity.
        bound = budget(at - joined_at, per_s / len(warm_servers))
        sent_in_window = sum(at - OVERLOAD_WINDOW_US < each <= at for each in sent)
        assert sent_in_window <= bound + chance_margin(bound)
