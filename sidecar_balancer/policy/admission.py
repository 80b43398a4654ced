"""Admission control: rejects new requests at once while the servers are overloaded."""

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

PRESSURE_AT_FULL = 4.0  # pressure at a full window: one in fifty requests of middle rank is admitted
RANK_SLOPE = 2.0  # factor on the pressure at the lowest rank, falling to almost none at the highest
LOW_TRAFFIC_OBJECTIVES = 4.0  # span of the counted outcomes with few requests, in longest objectives
LOW_TRAFFIC_HEADROOM_RATIO = 1.2  # requests admitted for each one answered in time
LOW_TRAFFIC_PRIOR_REQUESTS = 2.0  # prior count of requests answered in time: fewer outcomes are chance
MISSED_LATENCY_RATIO = 2.0  # latency over objective recorded for an attempt without a response in time


class AdmissionControl:
    """Sheds load: by the concurrency window with many requests, by counts over a fixed time with few."""

    def __init__(
        self,
        longest_objective_us: int,
        load: LoadTracker,
        window: ConcurrencyWindow,
        priorities: RequestPriorities,
        received: Rate,
        stalls: StallDetector,
        rng: random.Random,
    ) -> None:
        self._longest_objective_us = longest_objective_us
        self._load = load
        self._window = window
        self._priorities = priorities
        self._received = received
        self._stalls = stalls
        self._rng = rng
        self._longest_remaining_us: dict[str, int] = {}  # longest remaining time so far, by class
        self._low_traffic_span_us = LOW_TRAFFIC_OBJECTIVES * longest_objective_us
        self._in_time = Rate(self._low_traffic_span_us)
        self._late = Rate(self._low_traffic_span_us)
        self._shed = Rate(self._low_traffic_span_us)

    def should_reject(self, now: int, request: Request, remaining_us: int) -> bool:
        """Return whether a new request must be rejected at once."""
        return self._is_overloaded(now, request) or self._is_stale(now, request.service_class, remaining_us)

    def record_latency_ratio(self, now: int, latency_ratio: float) -> None:
        """Record the latency over its objective of a response, or of the lack of one."""
        (self._in_time if latency_ratio <= 1.0 else self._late).add(now, 1.0)
        self._window.record(now, latency_ratio)

    def objective_missed(self, now: int) -> None:
        """Record that an attempt has not had a response in time, or was rejected."""
        self.record_latency_ratio(now, MISSED_LATENCY_RATIO)

    def attempt_abandoned(self, now: int) -> None:
        """Count an abandoned attempt as late without resizing the window."""
        self._late.add(now, 1.0)

    def zone_evacuated(self) -> None:
        """Reset the counts of late and shed requests, as the cause was in the evacuated zone."""
        self._window.reset_late_ratio()
        self._late, self._shed = Rate(self._low_traffic_span_us), Rate(self._low_traffic_span_us)

    def _is_overloaded(self, now: int, request: Request) -> bool:
        self._priorities.request_received(now, request.flow)
        in_flight = max(self._received.per_us(now) * self._longest_objective_us, self._load.current(now))
        if in_flight < RELIABLE_LOAD / 2:
            return self._should_shed_by_count(now, self._priorities.rank(now, request.flow))
        fill = self._window.fill(now)
        if fill <= UNRESTRICTED_RATIO:
            return False
        pressure = PRESSURE_AT_FULL * (fill - UNRESTRICTED_RATIO) / (1.0 - UNRESTRICTED_RATIO)
        rank = self._priorities.rank(now, request.flow)
        admitted_ratio = math.exp(-RANK_SLOPE * pressure * (1.0 - rank))
        if fill < 1.0 and self._rng.random() < admitted_ratio:
            return False
        self._window.request_shed()
        return True

    def _should_shed_by_count(self, now: int, rank: float) -> bool:
        in_time = self._in_time.per_us(now) * self._low_traffic_span_us + LOW_TRAFFIC_PRIOR_REQUESTS
        missed = (self._late.per_us(now) + self._shed.per_us(now)) * self._low_traffic_span_us
        # Pending attempts show a surge before any of them is late, but alone they may be just a burst.
        pending = min(missed, 1.0) * self._load.current(now)
        excess = 1.0 - LOW_TRAFFIC_HEADROOM_RATIO * in_time / (in_time + missed + pending)
        if excess > 0.0 and self._rng.random() < 2.0 * excess * (1.0 - rank):
            self._shed.add(now, 1.0)
            return True
        return False

    def _is_stale(self, now: int, service_class: ServiceClass, remaining_us: int) -> bool:
        """Return whether a request missed its objective in a stall and is worthless when late."""
        name = service_class.name
        longest_us = self._longest_remaining_us[name] = max(
            self._longest_remaining_us.get(name, 0), remaining_us
        )
        return (
            now == self._stalls.stall_ended_at
            and service_class.late_priority_weight <= 0.0
            and longest_us - remaining_us >= service_class.latency_objective_us
        )
