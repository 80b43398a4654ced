"""CPU cost of the membership plane for one sidecar per protocol period, by the size of its tier."""

from __future__ import annotations

import time

from scale_fit import Series

from sidecar_balancer.membership.messages import MemberStatus
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Swim

TRIALS = 5
PERIODS = 40
_US_PER_MS = 1000


def run(sizes: list[int]) -> list[Series]:
    """Measure one member of a tier of each size, whose peers send nothing."""
    ticks: dict[int, list[float]] = {}
    for size in sizes:
        ticks[size] = [_period_cpu_us(size, seed) for seed in range(TRIALS)]
    return [Series("one protocol period of a member", "us of CPU", ticks)]


def _period_cpu_us(size: int, seed: int) -> float:
    settings = MembershipSettings()
    member = Swim(0, size, seed, settings)
    member.members.restore_others(0, dict.fromkeys(range(1, size), (MemberStatus.ALIVE, 0)))
    period_us = _US_PER_MS * settings.period_ms
    started_s = time.process_time()
    for period in range(1, PERIODS + 1):
        member.tick(period * period_us)
    return 1e6 * (time.process_time() - started_s) / PERIODS
