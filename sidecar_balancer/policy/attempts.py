"""Tracking of attempts: started responses, ended and overdue attempts, and the retries that follow."""

from __future__ import annotations

from sidecar_balancer.policy.events import AttemptEnded, ResponseStarted
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.outcomes import OutcomeRecorder
from sidecar_balancer.policy.outliers import OutlierDetector
from sidecar_balancer.policy.overdue import OverdueFinding, OverdueMonitor
from sidecar_balancer.policy.placement import Placement
from sidecar_balancer.policy.request import Attempt, Request
from sidecar_balancer.policy.request_table import RequestTable
from sidecar_balancer.policy.slow_start import SlowStart
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.policy.zone_evacuation import ZoneEvacuation


class AttemptTracker:
    """Tracks attempts until they end."""

    def __init__(
        self,
        late_shedding: bool,
        zones_enabled: bool,
        table: RequestTable,
        placement: Placement,
        load: LoadTracker,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        outcomes: OutcomeRecorder,
        overdue: OverdueMonitor,
        zone_evacuation: ZoneEvacuation,
    ) -> None:
        rejected = () if late_shedding else (Outcome.REJECTED,)
        self._not_executed = (Outcome.CONNECT_FAILED, Outcome.UNSENT, *rejected)
        self._zones_enabled = zones_enabled
        self._table = table
        self._placement = placement
        self._load = load
        self._outliers = outliers
        self._slow_start = slow_start
        self._outcomes = outcomes
        self._overdue = overdue
        self._zone_evacuation = zone_evacuation

    def response_started(self, _now: int, event: ResponseStarted) -> None:
        """Release the attempt's load, as the server has done the work, and cancel the other attempts."""
        request = self._table.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.pending and not attempt.response_started:
            attempt.response_started = True
            self._load.attempt_released(attempt.server, request.body_open)
            self._table.cancel_attempts(request)

    def attempt_ended(self, now: int, event: AttemptEnded) -> None:
        """Record the outcome, and retry or give the final answer if the client has none."""
        request = self._table.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.pending:
            return
        attempt.pending = False
        attempt.may_have_run = event.outcome not in self._not_executed
        request.body_consumed = request.body_consumed or event.body_consumed
        if not attempt.response_started:
            self._load.attempt_released(attempt.server, request.body_open)
        self._record_health(now, request, attempt, event)
        self._outcomes.record(now, request, attempt, event)
        if event.answered:
            if not request.answered:
                self._table.mark_answered(request)
        elif not request.answered:
            self._follow_up(now, request, attempt, event.outcome)
        self._table.drop_if_complete(request)

    def attempt_overdue(self, now: int, request: Request, attempt: Attempt) -> None:
        """Hedge an overdue attempt if its server seems unresponsive."""
        finding = self._overdue.check(now, request, attempt)
        if finding is OverdueFinding.NOTHING:
            return
        if finding is OverdueFinding.UNRESPONSIVE:
            self._record_zone_health(now, attempt, False)
        if attempt.server.ejected_until is not None or attempt.unresponsive:
            self._placement.hedge(now, request, attempt)

    def _follow_up(self, now: int, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        request.failed_servers.append(attempt.server)
        if outcome is Outcome.REJECTED:
            request.rejections += 1
            self._placement.place(now, request)
            return
        if outcome is not Outcome.INVALID_REQUEST and self._placement.retry(now, request):
            return
        if not request.has_pending_attempt():
            self._table.reject_or_fail(request)

    def _record_health(self, now: int, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        server = attempt.server
        if event.outcome is Outcome.DELIVERED:
            self._slow_start.response_received(now, server, request.cost)
        success = self._outliers.attempt_ended(now, request, attempt, event.outcome)
        if success is not None:
            self._record_zone_health(now, attempt, success)
        is_superseded = event.outcome is Outcome.CANCELLED and event.answered  # a hedge got the response
        if is_superseded and attempt.unresponsive and server.last_response_at < attempt.sent_at:
            self._record_zone_health(now, attempt, False)

    def _record_zone_health(self, now: int, attempt: Attempt, success: bool) -> None:
        """Record whether the server responded; if that evacuates its zone, hedge the attempts there."""
        if not self._zones_enabled:
            return
        zone = self._zone_evacuation.outcome_recorded(now, attempt.server, attempt.sent_at, success)
        if zone is None:
            return
        for request in list(self._table.requests.values()):
            for other in request.attempts:
                is_waiting = other.pending and not (other.response_started or request.answered)
                if is_waiting and other.server.zone == zone.name:
                    self._placement.hedge(now, request, other)
