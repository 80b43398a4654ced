"""The send gate: the only code path that sends attempts, which enforces the deployment's rules."""

from __future__ import annotations

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import SendAttempt
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.latency import LatencyTracker
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.outliers import OutlierDetector
from sidecar_balancer.policy.request import Attempt, Request
from sidecar_balancer.policy.settings import Limits
from sidecar_balancer.policy.slow_start import SlowStart
from sidecar_balancer.policy.stalls import StallDetector
from sidecar_balancer.policy.timer_queue import TimerKind, TimerQueue


class SendGate:
    """Sends an attempt if the rules permit it, whatever its callers have decided.

    1. Nothing is sent after the final answer, or too late to be answered in time.
    2. A request has no more attempts than allowed, no concurrent ones unless hedging is permitted, and no
       further one after it may have been executed, unless it is idempotent.
    3. Nothing is sent to a draining, removed or disabled server; the drain grace period is not used.
    4. A server in slow start gets no more than its slow start permits.
    """

    def __init__(
        self,
        limits: Limits,
        slow_start: SlowStart,
        load: LoadTracker,
        outliers: OutlierDetector,
        latency: LatencyTracker,
        stalls: StallDetector,
        timers: TimerQueue,
        actions: ActionQueue,
    ) -> None:
        self._limits = limits
        self._slow_start = slow_start
        self._load = load
        self._outliers = outliers
        self._latency = latency
        self._stalls = stalls
        self._timers = timers
        self._actions = actions

    def send(self, now: int, request: Request, server: Server) -> bool:
        """Send an attempt if the rules permit it; return whether it was sent."""
        if not self._is_permitted(now, request, server):
            return False
        self._slow_start.attempt_sent(now, server, request.cost)
        attempt = Attempt(
            len(request.attempts), server, now, self._stalls.stalled_us, self._outliers.responses
        )
        request.attempts.append(attempt)
        self._load.attempt_sent(server, request.body_open)
        if server.ejected_until is not None:
            attempt.is_trial = server.trial_pending = True
        if not request.body_open:
            overdue_at = now + self._latency.overdue_after_us(request, server)
            self._timers.schedule(overdue_at, TimerKind.ATTEMPT_OVERDUE, request.request_id, attempt.index)
        self._actions.append(SendAttempt(request.request_id, server.name, request.answer_deadline))
        return True

    def _is_permitted(self, now: int, request: Request, server: Server) -> bool:
        if request.answered or now >= request.answer_deadline:
            return False
        if not self._limits.may_hedge and request.has_pending_attempt():
            return False
        if len(request.attempts) >= self._limits.max_attempts or not request.permits_another_attempt():
            return False
        return server.is_ready() and self._slow_start.has_capacity(now, server, request.cost)
