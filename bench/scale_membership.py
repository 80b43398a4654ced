"""What membership of the peer plane costs one sidecar by the size of its tier: a tick, bytes, state."""

from __future__ import annotations

import time

from scale_fit import Series

from sidecar_balancer.membership.codec import Status
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Swim

TRIALS = 5
PERIODS = 40


def run(sizes: list[int]) -> list[Series]:
    """Measure one member of each size, its peers answering nothing of their own."""
    ticks: dict[int, list[float]] = {}
    for size in sizes:
        ticks[size] = [_tick_us(size, seed) for seed in range(TRIALS)]
    return [Series("a period of the peer plane's member", "us of CPU", ticks)]


def _tick_us(size: int, seed: int) -> float:
    member = Swim(0, size, seed, MembershipSettings())
    member.restore_members(0, dict.fromkeys(range(1, size), (Status.ALIVE, 0)))
    period_us = 1000 * MembershipSettings().period_ms
    began = time.process_time()
    for period in range(1, PERIODS + 1):
        member.tick(period * period_us)
    return 1e6 * (time.process_time() - began) / PERIODS
