"""A cold server under a whole fleet: what all balancers send it together stays within what it bears.

The operators put only 2 x root of N + 2 requests beyond the budget of N down to chance, also with thirty
processes, so the ramp has to hold for their sum.
"""

from __future__ import annotations

import math
import random

import pytest

from helpers import MS, START, BalancerDriver, S, server_names, settings
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import ListKind

COLD_FROM = 0.2  # of its capacity: where a cold server begins
COLD_US = 10 * S  # and until when it is warm
FALL_MULTIPLE = 3.0
FALL_US = 2 * S
TAKING_US = 60 * MS
JOINER = "10.0.9.9:80"


def budget(age_us: int, warm_per_s: float) -> float:
    """What a server of that age may get within `FALL_US`, given what a warm one serves a second."""
    warmth = min(COLD_FROM + (1.0 - COLD_FROM) * max(age_us - FALL_US, 0) / COLD_US, 1.0)
    return FALL_MULTIPLE * warmth * warm_per_s * FALL_US / S


def chance(bound: float) -> float:
    return 2.0 * math.sqrt(bound) + 2.0


def arrivals(drivers: list[BalancerDriver], per_s: float, seed: int, until: int) -> list[tuple[int, int]]:
    """Requests of the whole fleet as (time, driver), a Poisson process with a few busy sidecars."""
    source = random.Random(seed)
    weights = [4.0 if index % 10 == 0 else 1.0 for index in range(len(drivers))]
    found, at = [], float(drivers[0].now)
    while at < until:
        at += source.expovariate(per_s) * S
        found.append((int(at), source.choices(range(len(drivers)), weights)[0]))
    return found


def play_fleet(drivers: list[BalancerDriver], requests: list[tuple[int, int]], until: int) -> None:
    """Let all balancers live through the same time; each request is answered after the same time."""
    ends: list[tuple[int, int, int]] = []
    while requests and requests[0][0] <= until:
        now, index = requests.pop(0)
        while ends and ends[0][0] <= now:
            due, other, ident = ends.pop(0)
            drivers[other].advance(due - drivers[other].now)
            if drivers[other].attempts(ident):
                drivers[other].end_attempt(ident)
        drivers[index].advance(now - drivers[index].now)
        ends.append((now + TAKING_US, index, drivers[index].request()))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("processes", "per_s", "burst"),
    [(5, 60.0, 1.0), (20, 60.0, 1.0), (30, 60.0, 2.5), (30, 240.0, 2.5)],
    ids=["few", "twenty", "thirty in a burst", "thirty busy ones in a burst"],
)
def test_what_all_send_a_cold_server_stays_within_its_budget(
    processes: int, per_s: float, burst: float, seed: int
) -> None:
    given = settings(
        fleet_size=processes, rules={"slow_start_min_ratio": COLD_FROM, "slow_start_us": COLD_US}
    )
    drivers = [BalancerDriver(given, seed=100 * seed + number) for number in range(processes)]
    warm = server_names(10)
    for driver in drivers:
        driver.receive_list(warm)
    joined = START + 15 * S
    play_fleet(drivers, arrivals(drivers, per_s, seed, joined), joined)
    for driver in drivers:
        driver.advance(joined - driver.now)
        driver.receive_list([ListedServer(JOINER, zone="east", started_at=joined)], ListKind.DELTA)
    end = joined + COLD_US
    play_fleet(drivers, arrivals(drivers, burst * per_s, seed + 50, end), end)
    sent = sorted(at for driver in drivers for at, each in driver.attempts() if each.server == JOINER)
    assert sent, "it is used while it warms up"
    for at in sent:
        bound = budget(at - joined, per_s / len(warm))  # of the usual load: a burst makes no server stronger
        inside = sum(at - FALL_US < each <= at for each in sent)
        assert inside <= bound + chance(bound)
