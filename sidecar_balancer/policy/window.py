"""The concurrency window: the own requests in flight that servers can answer within their objectives."""

from __future__ import annotations

import math

from sidecar_balancer.policy.load import AVERAGING_FACTOR_MAX, RELIABLE_LOAD, LoadTracker
from sidecar_balancer.policy.rates import Rate

TARGET_RATIO = 0.3  # target of the median latency, over the latency objective
TARGET_LOW_TRAFFIC_RATIO = 0.4  # the target while too few are in flight for a reliable median
TARGET_MAX_RATIO = 0.5  # upper bound of the target for a slow idle fleet, or overload would count as normal
TARGET_FLOOR_RATIO = 1.2  # the target is at least this many times the median of an idle fleet
MEDIAN_MAX_RATIO = 1.0  # upper bound of the running median, which has to fall again from there
MEDIAN_STEP = 0.04  # step of the running median: some 25 responses reverse it
FLOOR_RISE_RATIO = 0.02  # rise of the floor at each response, over the median's step
FLOOR_RISE_SHEDDING_RATIO = 0.002
LATE_MAX_RATIO = 0.05  # maximum fraction of late responses of a fleet that is not overloaded
LATE_STEP_RATIO = 0.02  # the late ratio averages about the last fifty responses
SHRINK_OBJECTIVES = 0.5  # longest objectives in which the window shrinks e-fold at twice the target
START_OBJECTIVES = 1.0  # longest objectives from the start until the window is first sized
SIZE_MIN = 0.1  # a few requests are always admitted, so that a recovery is noticed
UNRESTRICTED_RATIO = 0.5  # up to this fraction of the window everything is admitted, and it does not grow


class ConcurrencyWindow:
    """Sizes the window by the distance of the median latency from its target.

    Attributes:
        size: requests in flight; infinite until it is first sized.
        median_ratio: running median of latency over latency objective.
        late_ratio: fraction of the recent responses that missed their objective.
    """

    def __init__(self, load: LoadTracker, longest_objective_us: int) -> None:
        self.size = math.inf
        self.median_ratio = 0.0
        self.late_ratio = 0.0
        self.sized_at = 0
        self._load = load
        self._has_shed = False  # whether the window has caused a rejection since it was last sized
        self._longest_objective_us = longest_objective_us
        self._floor_ratio: float | None = None  # recent minimum of the median
        self._served_objectives = Rate(longest_objective_us)  # sum of the objectives of delivered responses
        self._started_at = 0

    def start(self, now: int) -> None:
        """Record the time of the balancer's first event."""
        self._started_at = now

    def fill(self, now: int) -> float:
        """Return the used fraction of the window; for a small window the mean load counts for more."""
        certainty = min(self.size / RELIABLE_LOAD, 1.0)
        mean = self._load.mean
        return (mean + certainty * (self._load.current(now) - mean)) / self.size

    def response_delivered(self, now: int, objective_us: int) -> None:
        """Count a delivered response."""
        self._served_objectives.add(now, objective_us)

    def request_shed(self) -> None:
        """Record that the window has caused a rejection."""
        self._has_shed = True

    def reset_late_ratio(self) -> None:
        """Reset the late ratio, as the cause of the late responses is gone."""
        self.late_ratio = 0.0

    def record(self, now: int, latency_ratio: float) -> None:
        """Record the latency of a response over its objective, and resize the window."""
        if self._floor_ratio is None:
            self.median_ratio = self._floor_ratio = min(latency_ratio, TARGET_RATIO)
        factor = self._load.averaging_factor()
        step = factor * MEDIAN_STEP * (1.0 if latency_ratio > self.median_ratio else -1.0)
        self.median_ratio = max(0.0, min(self.median_ratio + step, MEDIAN_MAX_RATIO))
        self.late_ratio += (
            factor * LATE_STEP_RATIO * ((1.0 if latency_ratio > 1.0 else 0.0) - self.late_ratio)
        )
        load = self._load.current(now)
        rise = FLOOR_RISE_RATIO if load <= UNRESTRICTED_RATIO * self.size else FLOOR_RISE_SHEDDING_RATIO
        self._floor_ratio = min(self._floor_ratio + rise * MEDIAN_STEP, max(self.median_ratio, MEDIAN_STEP))
        # Earlier, the mean load still starts from zero, and a few late responses would close the window.
        if now - self._started_at >= START_OBJECTIVES * self._longest_objective_us:
            self._resize(now, load, factor)

    def _resize(self, now: int, load: int, factor: float) -> None:
        """Shrink or grow the window by the distance of the median latency from its target."""
        elapsed_us = min(now - self.sized_at, factor * self._longest_objective_us / 4)
        self.sized_at = now
        target = self._target_ratio(factor)
        excess = max(-1.0, min((self.median_ratio - target) / target, 1.0))
        if excess > 0.0 and self.late_ratio < LATE_MAX_RATIO:
            return  # responses are slower than the target, but in time
        if excess > 0.0:
            self.size = min(self.size, max(load, self._load.mean / UNRESTRICTED_RATIO))
        elif not self._has_shed:
            return  # without rejections, nothing shows that the window is too small
        self._has_shed = False
        change = math.exp(-excess * elapsed_us / (SHRINK_OBJECTIVES * self._longest_objective_us))
        self._served_objectives.set_span(factor * self._longest_objective_us)
        # Little's law: serving at this rate within the target takes that many requests in flight.
        sustained = target * self._served_objectives.per_us(now)
        self.size = max(self.size * change, min(sustained, self.size), SIZE_MIN)

    def _target_ratio(self, factor: float) -> float:
        target = min(max(TARGET_RATIO, TARGET_FLOOR_RATIO * (self._floor_ratio or 0.0)), TARGET_MAX_RATIO)
        # With fewer responses the median is noisier, so it has to be further off to count.
        noise = (factor - 1.0) / (AVERAGING_FACTOR_MAX - 1.0)
        return max(target, TARGET_RATIO + noise * (TARGET_LOW_TRAFFIC_RATIO - TARGET_RATIO))
