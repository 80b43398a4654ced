"""Overdue attempts: distinction of unresponsive servers from slow ones and from overload of many servers."""

from __future__ import annotations

import math
from enum import Enum, unique

from sidecar_balancer.policy.admission import AdmissionControl
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.latency import LatencyTracker
from sidecar_balancer.policy.outliers import UNRESPONSIVE_MAX_RATIO, OutlierDetector
from sidecar_balancer.policy.request import Attempt, Request
from sidecar_balancer.policy.stalls import StallDetector
from sidecar_balancer.policy.timer_queue import TimerKind, TimerQueue

# Multiple of the overdue time after which a server without a response counts as unresponsive
UNRESPONSIVE_OVERDUE_RATIO = 2.0
UNRESPONSIVE_MIN_OBJECTIVE_RATIO = 0.5  # minimum time to count as unresponsive, over the latency objective
# Responses of other servers since the attempt was sent, which show that only its server does not respond
RESPONSES_FROM_OTHERS = 4


@unique
class OverdueFinding(Enum):
    """Finding about the server of an overdue attempt."""

    NOTHING = "nothing"  # the server has answered other attempts since, or the balancer itself stalled
    UNANSWERED = "unanswered"  # no response from the server since the attempt was sent
    UNRESPONSIVE = "unresponsive"  # newly found: no response for long, while other servers responded


class OverdueMonitor:
    """Monitor of attempts that take much longer than expected."""

    def __init__(
        self,
        zones_enabled: bool,
        clock_tick_us: int,
        latency: LatencyTracker,
        admission: AdmissionControl,
        outliers: OutlierDetector,
        stalls: StallDetector,
        timers: TimerQueue,
    ) -> None:
        self._zones_enabled = zones_enabled
        self._clock_tick_us = clock_tick_us
        self._latency = latency
        self._admission = admission
        self._outliers = outliers
        self._stalls = stalls
        self._timers = timers

    def check(self, now: int, request: Request, attempt: Attempt) -> OverdueFinding:
        """Examine an overdue attempt and schedule its next check."""
        if now == self._stalls.stall_ended_at:  # the response may be among the input delayed by the stall
            self._check_again(now + self._clock_tick_us, request, attempt)
            return OverdueFinding.NOTHING
        server = attempt.server
        is_unanswered = server.last_response_at <= attempt.sent_at
        waited_us = now - attempt.sent_at - (self._stalls.stalled_us - attempt.stalled_us_at_send)
        self._check_objective(now, request, attempt, waited_us)
        if not is_unanswered:
            return OverdueFinding.NOTHING
        unresponsive_after_us = self._unresponsive_after_us(request, server)
        if waited_us < unresponsive_after_us:
            self._check_again(now + unresponsive_after_us - waited_us, request, attempt)
            return OverdueFinding.UNANSWERED
        if attempt.unresponsive:
            return OverdueFinding.UNANSWERED
        attempt.unresponsive = self._zones_enabled  # a response to a hedge in another zone will confirm it
        if self._outliers.responses - attempt.responses_at_send < RESPONSES_FROM_OTHERS:
            return OverdueFinding.UNANSWERED
        if server.ejected_until is None:
            self._outliers.eject(now, server, "silent", UNRESPONSIVE_MAX_RATIO)
        return OverdueFinding.UNRESPONSIVE

    def _unresponsive_after_us(self, request: Request, server: Server) -> int:
        """Return the time without a response, in whole microseconds, after which a server is unresponsive."""
        return math.ceil(
            max(
                UNRESPONSIVE_OVERDUE_RATIO * self._latency.overdue_after_us(request, server),
                UNRESPONSIVE_MIN_OBJECTIVE_RATIO * request.service_class.latency_objective_us,
            )
        )

    def _check_objective(self, now: int, request: Request, attempt: Attempt, waited_us: int) -> None:
        """Count the attempt as late once its objective is missed; a response would show a surge too late."""
        objective_us = request.service_class.latency_objective_us
        if waited_us < objective_us:
            self._check_again(now + objective_us - waited_us, request, attempt)
        elif not attempt.counted_late and attempt.server.ejected_until is None:
            attempt.counted_late = True
            self._admission.objective_missed(now)

    def _check_again(self, due_at: int, request: Request, attempt: Attempt) -> None:
        self._timers.schedule(due_at, TimerKind.ATTEMPT_OVERDUE, request.request_id, attempt.index)
