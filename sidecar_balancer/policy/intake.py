"""Intake of client events: requests arrive, their bodies end, and clients disconnect."""

from __future__ import annotations

import math
from collections.abc import Iterable

from sidecar_balancer.policy.admission import AdmissionControl
from sidecar_balancer.policy.events import (
    ClientDisconnected,
    RequestBodyEnded,
    RequestBodyOverdue,
    RequestReceived,
)
from sidecar_balancer.policy.latency import LatencyTracker
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.outliers import OutlierDetector
from sidecar_balancer.policy.placement import Placement
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.request import NO_DEADLINE, Request
from sidecar_balancer.policy.request_table import RequestTable
from sidecar_balancer.policy.retry_budget import RetryBudget
from sidecar_balancer.policy.settings import ServiceClass, Tenant
from sidecar_balancer.policy.stalls import StallDetector
from sidecar_balancer.policy.timer_queue import TimerKind, TimerQueue
from sidecar_balancer.policy.types import Flow

DEADLINE_MARGIN_TICKS = 2  # a final answer is sent this many clock ticks before the client's deadline
MAX_UNDECLARED_TENANTS = 64  # state is kept by tenant, and clients may send any names
COST_EXPONENT_MIN, COST_EXPONENT_MAX = -3, 4


class RequestIntake:
    """Admits requests and starts their deadlines."""

    def __init__(
        self,
        classes: Iterable[ServiceClass],
        tenants: Iterable[Tenant],
        clock_tick_us: int,
        received: Rate,
        latency: LatencyTracker,
        load: LoadTracker,
        admission: AdmissionControl,
        placement: Placement,
        table: RequestTable,
        budget: RetryBudget,
        outliers: OutlierDetector,
        stalls: StallDetector,
        timers: TimerQueue,
    ) -> None:
        self._classes = {service_class.name: service_class for service_class in classes}
        self._tenants = {tenant.name for tenant in tenants}
        self._max_tenants = len(self._tenants) + MAX_UNDECLARED_TENANTS
        self._deadline_margin_us = DEADLINE_MARGIN_TICKS * clock_tick_us
        self._received = received
        self._latency = latency
        self._load = load
        self._admission = admission
        self._placement = placement
        self._table = table
        self._budget = budget
        self._outliers = outliers
        self._stalls = stalls
        self._timers = timers

    def request_received(self, now: int, event: RequestReceived) -> None:
        """Send the request to a server or reject it."""
        service_class = self._classes.get(event.service_class)
        if service_class is None:  # not in the settings: the least permissive class is assumed
            allowed_us = max(event.remaining_us, 1)
            service_class = ServiceClass(event.service_class, allowed_us, allowed_us)
        self._received.add(now, 1.0)
        self._budget.request_received()
        cost = self._latency.relative_cost(service_class, event.cost_us)
        exponent = max(COST_EXPONENT_MIN, min(math.frexp(cost)[1], COST_EXPONENT_MAX))
        flow = Flow(service_class.name, self._bounded_tenant(event.tenant))
        request = Request(event.request, service_class, NO_DEADLINE, cost, flow, exponent)
        request.is_streamed = event.body_open
        self._table.add(request)
        if not event.body_open:
            self._start_deadline(now, request, event.remaining_us)
        if self._admission.should_reject(now, request, event.remaining_us):
            self._table.reject_or_fail(request)
        else:
            self._placement.place(now, request)

    def _bounded_tenant(self, tenant: str | None) -> str | None:
        """Return the tenant, or None for one of too many that the settings do not declare."""
        if tenant is None or tenant in self._tenants:
            return tenant
        if len(self._tenants) >= self._max_tenants:
            return None
        self._tenants.add(tenant)
        return tenant

    def body_ended(self, now: int, event: RequestBodyEnded) -> None:
        """Start a request's deadline, and the latency of its pending attempts, at its last byte."""
        request = self._table.requests.get(event.request)
        if request is None or request.answered:
            return
        was_open = request.body_open
        self._start_deadline(now, request, event.remaining_us)
        for attempt in request.attempts:
            if attempt.pending:
                if was_open and not attempt.response_started:
                    self._load.body_completed(attempt.server)
                attempt.sent_at, attempt.stalled_us_at_send = now, self._stalls.stalled_us
                attempt.responses_at_send = self._outliers.responses
                overdue_at = now + self._latency.overdue_after_us(request, attempt.server)
                self._timers.schedule(
                    overdue_at, TimerKind.ATTEMPT_OVERDUE, request.request_id, attempt.index
                )

    def body_overdue(self, _now: int, event: RequestBodyOverdue) -> None:
        """Give the final answer to a request whose client may have waited its whole time."""
        request = self._table.requests.get(event.request)
        if request is not None and request.body_open:
            self._table.reject_or_fail(request)

    def client_disconnected(self, _now: int, event: ClientDisconnected) -> None:
        """Close a request whose client has disconnected: it needs no answer."""
        request = self._table.requests.get(event.request)
        if request is not None and not request.answered:
            self._table.mark_answered(request)

    def _start_deadline(self, now: int, request: Request, remaining_us: int) -> None:
        request.answer_deadline = now + remaining_us - self._deadline_margin_us
        self._timers.schedule(request.answer_deadline, TimerKind.REQUEST_DEADLINE, request.request_id)
