"""Admission control: which new requests are rejected at once, because the servers are overloaded."""

from __future__ import annotations

import math
import random

from sidecar_balancer.policy.load import RELIABLE_LOAD, LoadTracker
from sidecar_balancer.policy.priorities import RequestPriorities
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.request import Request
from sidecar_balancer.policy.settings import ServiceClass
from sidecar_balancer.policy.stalls import StallDetector
from sidecar_balancer.policy.window import UNRESTRICTED_RATIO, ConcurrencyWindow

PRESSURE_AT_FULL = 4.0  # of the typical requests one in fifty is admitted then
RANK_SLOPE = 2.0  # the lowest rank meets this many times the pressure, the highest almost none
SPARSE_OBJECTIVES = 4.0  # where requests are few, counts over this many longest objectives decide
SPARSE_HEADROOM_RATIO = 1.2  # of what was answered in time that is admitted
SPARSE_PRIOR_REQUESTS = 2.0  # taken as answered in time beforehand: fewer are chance
MISSED_LATENCY_RATIO = 2.0  # what an attempt without a response in time counts as, over its objective


class AdmissionControl:
    """Sheds load: with many requests by the concurrency window, with few by counts over a fixed time."""

    def __init__(
        self,
        longest_objective_us: int,
        load: LoadTracker,
        window: ConcurrencyWindow,
        priorities: RequestPriorities,
        received: Rate,
        stalls: StallDetector,
        chance: random.Random,
    ) -> None:
        self._longest_objective_us = longest_objective_us
        self._load = load
        self._window = window
        self._priorities = priorities
        self._received = received
        self._stalls = stalls
        self._chance = chance
        self._longest_remaining_us: dict[str, int] = {}  # that a request of a class came with
        self._sparse_span_us = SPARSE_OBJECTIVES * longest_objective_us
        self._in_time = Rate(self._sparse_span_us)
        self._late = Rate(self._sparse_span_us)
        self._shed = Rate(self._sparse_span_us)

    def should_reject(self, now: int, request: Request, remaining_us: int) -> bool:
        """Whether a new request is rejected at once."""
        return self._is_overloaded(now, request) or self._is_stale(now, request.service_class, remaining_us)

    def latency_ratio_recorded(self, now: int, latency_ratio: float) -> None:
        """Learn from a response, or the lack of one, by its latency over its objective."""
        (self._in_time if latency_ratio <= 1.0 else self._late).add(now, 1.0)
        self._window.record(now, latency_ratio)

    def objective_missed(self, now: int) -> None:
        """Learn that an attempt has not had a response in time, or was rejected."""
        self.latency_ratio_recorded(now, MISSED_LATENCY_RATIO)

    def attempt_abandoned(self, now: int) -> None:
        """Count an abandoned attempt as late, without sizing the window by it."""
        self._late.add(now, 1.0)

    def zone_evacuated(self) -> None:
        """Forget what was late: the cause was in the evacuated zone."""
        self._window.reset_late_ratio()
        self._late, self._shed = Rate(self._sparse_span_us), Rate(self._sparse_span_us)

    def _is_overloaded(self, now: int, request: Request) -> bool:
        self._priorities.request_received(now, request.flow)
        in_flight = max(self._received.per_us(now) * self._longest_objective_us, self._load.current(now))
        if in_flight < RELIABLE_LOAD / 2:
            return self._sheds_by_count(now, self._priorities.rank(now, request.flow))
        fill = self._window.fill(now)
        if fill <= UNRESTRICTED_RATIO:
            return False
        pressure = PRESSURE_AT_FULL * (fill - UNRESTRICTED_RATIO) / (1.0 - UNRESTRICTED_RATIO)
        rank = self._priorities.rank(now, request.flow)
        admitted_ratio = math.exp(-RANK_SLOPE * pressure * (1.0 - rank))
        if fill < 1.0 and self._chance.random() < admitted_ratio:
            return False
        self._window.request_shed()
        return True

    def _sheds_by_count(self, now: int, rank: float) -> bool:
        in_time = self._in_time.per_us(now) * self._sparse_span_us + SPARSE_PRIOR_REQUESTS
        missed = (self._late.per_us(now) + self._shed.per_us(now)) * self._sparse_span_us
        # What is pending shows a surge before any of it is late; by itself it may be a mere burst.
        pending = min(missed, 1.0) * self._load.current(now)
        excess = 1.0 - SPARSE_HEADROOM_RATIO * in_time / (in_time + missed + pending)
        if excess > 0.0 and self._chance.random() < 2.0 * excess * (1.0 - rank):
            self._shed.add(now, 1.0)
            return True
        return False

    def _is_stale(self, now: int, service_class: ServiceClass, remaining_us: int) -> bool:
        """Whether a request missed its objective in a stall of this balancer and is worthless when late."""
        name = service_class.name
        longest_us = self._longest_remaining_us[name] = max(
            self._longest_remaining_us.get(name, 0), remaining_us
        )
        return (
            now == self._stalls.stall_ended_at
            and service_class.late_priority_weight <= 0.0
            and longest_us - remaining_us >= service_class.latency_objective_us
        )
