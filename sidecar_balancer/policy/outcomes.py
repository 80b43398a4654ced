"""Recording of attempt outcomes for latency, load and rejections."""

from __future__ import annotations

from sidecar_balancer.policy.admission import AdmissionControl
from sidecar_balancer.policy.class_rejections import ClassRejections
from sidecar_balancer.policy.events import AttemptEnded
from sidecar_balancer.policy.latency import LatencyTracker
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.request import Attempt, Request
from sidecar_balancer.policy.stalls import StallDetector
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.policy.window import ConcurrencyWindow

ABANDONED_COUNT_RATIO = 1.0  # an abandoned attempt counts as in flight for this many times its duration


class OutcomeRecorder:
    """Passes the outcomes of attempts to the components that use them."""

    def __init__(
        self,
        admission: AdmissionControl,
        window: ConcurrencyWindow,
        latency: LatencyTracker,
        load: LoadTracker,
        rejections: ClassRejections,
        stalls: StallDetector,
    ) -> None:
        self._admission = admission
        self._window = window
        self._latency = latency
        self._load = load
        self._rejections = rejections
        self._stalls = stalls

    def record(self, now: int, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the outcome of an attempt."""
        server = attempt.server
        match event.outcome:
            case Outcome.DELIVERED:
                self._delivered(now, request, attempt, event.elapsed_us)
            case Outcome.REJECTED:
                self._rejections.rejected(now, request, server)
                self._admission.objective_missed(now)
            case Outcome.APPLICATION_ERROR:
                self._latency.error_received(server, request)
                self._rejections.failed(now, request, server)
            case Outcome.TIMED_OUT | Outcome.CANCELLED:
                self._abandoned(now, request, attempt, event)

    def _delivered(self, now: int, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        objective_us = request.service_class.latency_objective_us
        self._window.response_delivered(now, objective_us)
        if now == self._stalls.stall_ended_at:
            return  # the response arrived during the stall, at an unknown time
        self._latency.response_received(attempt.server, request, elapsed_us)
        if not attempt.counted_late:
            self._admission.record_latency_ratio(now, elapsed_us / objective_us)
        self._rejections.delivered(request, attempt.server)

    def _abandoned(self, now: int, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        if not (attempt.counted_late or request.answered or event.answered):
            self._admission.attempt_abandoned(now)
        server = attempt.server
        self._load.attempt_abandoned(server, now + int(ABANDONED_COUNT_RATIO * event.elapsed_us))
        if now != self._stalls.stall_ended_at:
            self._latency.attempt_abandoned(server, request, event.elapsed_us)
