"""The concurrency window: how many own requests in flight the servers answer within their objectives."""

from __future__ import annotations

import math

from sidecar_balancer.policy.load import AVERAGING_MAX, RELIABLE_LOAD, LoadTracker
from sidecar_balancer.policy.rates import Rate

TARGET_RATIO = 0.3  # of the latency objective that the typical response may take
TARGET_FEW_RATIO = 0.4  # where so few are in flight that much of the median is chance
TARGET_MAX_RATIO = 0.5  # whatever an idle fleet takes: or overload would pass for normal
TARGET_FLOOR_RATIO = 1.2  # but never less than this many times what it takes when the fleet is idle
TYPICAL_MAX_RATIO = 1.0  # the median is not followed further: from there it must recover
TYPICAL_STEP = 0.04  # of the running median: some 25 responses turn it round
FLOOR_RISE_RATIO = 0.02  # of the median's step that the floor may rise at each response
FLOOR_RISE_SHEDDING_RATIO = 0.002
LATE_MAX_RATIO = 0.05  # a fleet is not overloaded while no more than this part of its responses is late
LATE_STEP_RATIO = 0.02  # follows the last fifty responses or so
SHRINK_OBJECTIVES = 0.5  # at twice the target the window shrinks e-fold in this many longest objectives
START_OBJECTIVES = 1.0  # how many must have passed before the window is first sized
SIZE_MIN = 0.1  # a trickle passes at any time, so that relief is seen
UNRESTRICTED_RATIO = 0.5  # up to this part of the window everything is admitted, and the window does not grow


class ConcurrencyWindow:
    """Sizes the window by how far the typical response is from its target.

    Attributes:
        size: requests in flight; infinite until it is first sized.
        typical_ratio: running median of latency over latency objective.
        late_ratio: part of the recent responses that missed their objective.
    """

    def __init__(self, load: LoadTracker, longest_objective_us: int) -> None:
        self.size = math.inf
        self.typical_ratio = 0.0
        self.late_ratio = 0.0
        self.has_shed = False  # since the window was last sized
        self.sized_at = 0
        self._load = load
        self._longest_objective_us = longest_objective_us
        self._floor_ratio: float | None = None  # the least that the median has been of late
        self._served_objectives = Rate(longest_objective_us)  # objectives of the delivered, per time
        self._started_at = 0

    def start(self, now: int) -> None:
        """Note when the balancer received its first event."""
        self._started_at = now

    def fill(self, now: int) -> float:
        """How much of the window is in use; where it holds few, the mean load counts."""
        certainty = min(self.size / RELIABLE_LOAD, 1.0)
        mean = self._load.mean
        return (mean + certainty * (self._load.current(now) - mean)) / self.size

    def response_delivered(self, now: int, objective_us: int) -> None:
        """Count a delivered response."""
        self._served_objectives.add(now, objective_us)

    def reset_late_ratio(self) -> None:
        """Forget late responses whose cause is gone."""
        self.late_ratio = 0.0

    def record(self, now: int, latency_ratio: float) -> None:
        """Follow a response by its latency over its objective, and size the window."""
        if self._floor_ratio is None:
            self.typical_ratio = self._floor_ratio = min(latency_ratio, TARGET_RATIO)
        factor = self._load.averaging_factor()
        step = factor * TYPICAL_STEP * (1.0 if latency_ratio > self.typical_ratio else -1.0)
        self.typical_ratio = max(0.0, min(self.typical_ratio + step, TYPICAL_MAX_RATIO))
        self.late_ratio += (
            factor * LATE_STEP_RATIO * ((1.0 if latency_ratio > 1.0 else 0.0) - self.late_ratio)
        )
        load = self._load.current(now)
        rise = FLOOR_RISE_RATIO if load <= UNRESTRICTED_RATIO * self.size else FLOOR_RISE_SHEDDING_RATIO
        self._floor_ratio = min(
            self._floor_ratio + rise * TYPICAL_STEP, max(self.typical_ratio, TYPICAL_STEP)
        )
        # Before, the load is averaged from nothing, and a few late responses would shut the window.
        if now - self._started_at >= START_OBJECTIVES * self._longest_objective_us:
            self._resize(now, load, factor)

    def _resize(self, now: int, load: int, factor: float) -> None:
        """Shrink or grow the window by how far the typical response is from its target."""
        elapsed_us = min(now - self.sized_at, factor * self._longest_objective_us / 4)
        self.sized_at = now
        target = self._target_ratio(factor)
        excess = max(-1.0, min((self.typical_ratio - target) / target, 1.0))
        if excess > 0.0 and self.late_ratio < LATE_MAX_RATIO:
            return  # slower than usual, yet in time
        if excess > 0.0:
            self.size = min(self.size, max(load, self._load.mean / UNRESTRICTED_RATIO))
        elif not self.has_shed:
            return  # nothing shows that it is too small
        self.has_shed = False
        change = math.exp(-excess * elapsed_us / (SHRINK_OBJECTIVES * self._longest_objective_us))
        self._served_objectives.set_span(factor * self._longest_objective_us)
        # Little's law: what is served at this rate within the target needs that many in flight.
        sustained = target * self._served_objectives.per_us(now)
        self.size = max(self.size * change, min(sustained, self.size), SIZE_MIN)

    def _target_ratio(self, factor: float) -> float:
        target = min(max(TARGET_RATIO, TARGET_FLOOR_RATIO * (self._floor_ratio or 0.0)), TARGET_MAX_RATIO)
        # The fewer responses there are, the more of the median is chance: it must be further off to count.
        chance = (factor - 1.0) / (AVERAGING_MAX - 1.0)
        return max(target, TARGET_RATIO + chance * (TARGET_FEW_RATIO - TARGET_RATIO))
