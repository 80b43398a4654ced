"""Requests under way: from the client's request to its one answer, through the attempts at servers."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import h11

from sidecar_balancer.downstream.frontend import Call
from sidecar_balancer.policy.actions import CancelAttempt, Fail, HealthCheck, Reject, SendAttempt
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    HealthCheckEnded,
    RequestBodyEnded,
    RequestReceived,
    ResponseStarted,
)
from sidecar_balancer.policy.settings import ReportSource, Settings
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.runtime.streams import Sink, Source
from sidecar_balancer.upstream import connection as upstream
from sidecar_balancer.upstream.connection import Exchange, Headers, Response

if TYPE_CHECKING:
    from sidecar_balancer.observability.latency import LatencyHistograms

log = logging.getLogger(__name__)

_TRAILS = 20  # requests that ended badly, at most, that are logged until the log is told how things stand
_ABOUT_BODY = (b"content-type", b"content-encoding")  # of a server's headers, these go to the client


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is not over: unanswered, or with attempts still out."""

    ident: int
    call: Call
    taken_at: int  # when its last byte came, once that is so
    answer_by: int | None  # None: its body is still coming
    answered: bool = False
    sent: int = 0  # attempts so far
    out: dict[int, Exchange | None] = field(default_factory=dict)  # those that have not ended, by number
    backstop: asyncio.TimerHandle | None = None
    streamed: int | None = None  # the attempt whose answer is passed on as it comes
    first_byte_us: int = 0  # how long it took to the first byte of that
    trail: list[str] = field(default_factory=list)  # how its attempts ended, for the log


class Proxy:
    """The requests that are not over, and what is owed for each: one answer, and an end to each attempt."""

    def __init__(
        self,
        settings: Settings,
        engine: Engine,
        connections: upstream.Upstream,
        latencies: LatencyHistograms | None,
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._upstream = connections
        self._latencies = latencies
        self._aims = {each.name: each.latency_objective_us for each in settings.classes}
        self._longest_s = max(each.deadline_us for each in settings.classes) / 1e6
        self._idents = itertools.count(1)
        self.in_flight: dict[int, InFlightRequest] = {}
        self.by_call: dict[Call, InFlightRequest] = {}
        self.answers: Counter[int] = Counter()  # by status
        self._trails = 0  # logged since `allow_trails`
        engine.give_up = self.give_up
        engine.executors |= {
            SendAttempt: self.send,
            Reject: self.refuse,
            Fail: self.fail,
            CancelAttempt: self.cancel,
            HealthCheck: self.probe,
        }

    def allow_trails(self) -> None:
        """Let requests that end badly be logged again, up to a bound."""
        self._trails = 0

    def fail_all(self) -> None:
        """Answer all that is held: the run ends."""
        for request in list(self.by_call.values()):
            self.answer(request, 500, [], b"")

    def taken(self, call: Call) -> None:
        now = self._engine.clock.now()
        request = InFlightRequest(next(self._idents), call, now, None)
        self.in_flight[request.ident] = self.by_call[call] = request
        if call.upload is None:
            self._start_clock(request)
        self._engine.handle(
            RequestReceived(
                request.ident,
                call.service_class,
                call.tenant,
                call.key,
                call.budget_us,
                call.cost_us,
                call.again,
                body_open=call.upload is not None,
            )
        )

    def _start_clock(self, request: InFlightRequest) -> None:
        """A client waits for its answer from its request's last byte on."""
        request.taken_at = self._engine.clock.now()
        request.answer_by = request.taken_at + request.call.budget_us
        at = self._engine.clock.on_loop(request.answer_by)
        request.backstop = asyncio.get_running_loop().call_at(at, self.give_up, request.ident)

    def body_ended(self, call: Call) -> None:
        request = self.by_call.get(call)
        if request is None or request.answered:
            return
        self._start_clock(request)
        assert request.answer_by is not None
        until = self._engine.clock.on_loop(request.answer_by)
        for attempt in request.out.values():
            if attempt is not None:
                self._upstream.limit(attempt, until)
        self._engine.handle(RequestBodyEnded(request.ident, call.budget_us))

    def gone(self, call: Call) -> None:
        request = self.by_call.pop(call, None)
        if request is not None and request.streamed is not None:
            if (attempt := request.out.get(request.streamed)) is not None:
                if self._settings.limits.may_cancel:
                    self._upstream.cancel(attempt)
                elif attempt.connection is not None:
                    attempt.connection.resume()  # it comes to its end, and nobody reads it; some have none
                    self._upstream.limit(attempt, asyncio.get_running_loop().time() + self._longest_s)
        elif request is not None and not request.answered:
            self._log_trail(request, "client gone")
            self._mark_answered(request)
            self._engine.handle(ClientDisconnected(request.ident))

    def answer(self, request: InFlightRequest, status: int, headers: Headers, body: bytes) -> None:
        if request.answered:
            return
        took_us = self._engine.clock.now() - request.taken_at
        if status != 200 or took_us > self._aims.get(request.call.service_class, 0):
            self._log_trail(request, str(status))
        self.answers[status] += 1
        if status == 200 and self._latencies is not None:
            self._latencies.record_response(request.call.service_class, took_us)
        self._mark_answered(request)
        request.call.answer(status, headers, body)

    def _log_trail(self, request: InFlightRequest, end: str) -> None:
        """Tell of a request that ended badly: refused, failed, late or given up by its client.

        Only of some: a line for each refusal would cost a busy sidecar more than the refusal itself.
        """
        self._trails += 1
        if self._trails > _TRAILS:
            return
        call = request.call
        took_ms = (self._engine.clock.now() - request.taken_at) / 1000
        about = {"event": "request_ended", "request": call.ident[:40], "class": call.service_class[:40]}
        log.info(
            "%s %s from port %d, %.3f s given: %s -> %s after %.1f ms",
            call.ident[:40],
            call.service_class[:40],
            call.port,
            call.budget_us / 1e6,
            ", ".join(request.trail) + (f" ({len(request.out)} out)" if request.out else ""),
            end,
            took_ms,
            extra=about | {"status": end, "took_ms": round(took_ms, 1), "attempts": request.trail},
        )

    def _mark_answered(self, request: InFlightRequest) -> None:
        request.answered = True
        if request.streamed is None:
            self.by_call.pop(request.call, None)
        if request.backstop is not None:
            request.backstop.cancel()
        for index, attempt in list(request.out.items()):
            if attempt is not None and index != request.streamed:
                self._upstream.unsend(attempt)  # nothing is sent for a request that is over
        self._forget_if_over(request)

    def _forget_if_over(self, request: InFlightRequest) -> None:
        if request.answered and not request.out:
            self.in_flight.pop(request.ident, None)
            self.by_call.pop(request.call, None)

    def refuse(self, action: Reject) -> None:
        request = self.in_flight.get(action.request)
        if request is not None:
            wait = (
                [(b"Retry-After", b"%.3f" % (action.retry_after_us / 1e6))] if action.retry_after_us else []
            )
            self.answer(request, 503, wait, b"")

    def fail(self, action: Fail) -> None:
        request = self.in_flight.get(action.request)
        if request is not None:
            self.answer(request, 500, [], b"")

    def send(self, action: SendAttempt) -> None:
        request = self.in_flight.get(action.request)
        if request is not None and not request.answered:
            request.call.look()  # what its client has left behind is not sent on
        index = request.sent if request is not None else 0
        if request is None or request.answered:
            if request is not None:
                request.sent += 1
            self._engine.handle(AttemptEnded(action.request, index, action.server, Outcome.UNSENT, 0, True))
            return
        request.sent += 1
        request.out[index] = None
        until = math.inf
        if request.answer_by is not None:
            until = self._engine.clock.on_loop(min(action.deadline or request.answer_by, request.answer_by))
        sent_at = self._engine.clock.now()
        ended = partial(self._attempt_ended, request, index, action.server, sent_at)
        starts = partial(self._answer_starts, request, index, action.server, sent_at)
        order = upstream.Order(
            partial(_head, request.call), request.call.body, request.call.upload, starts, request.call.look
        )
        try:
            exchange = self._upstream.send(action.server, order, until, ended)
        except Exception:
            ended(Outcome.CONNECTION_LOST, None)  # a defect; nobody knows how far it went
            raise
        if index in request.out:
            request.out[index] = exchange

    def _answer_starts(
        self,
        request: InFlightRequest,
        index: int,
        server: str,
        sent_at: int,
        head: h11.Response,
        length: int | None,
        source: Source,
    ) -> Sink | None:
        """A long answer begins: from here on it is passed on as it comes, and no other may answer."""
        attempt = request.out.get(index)
        if request.answered or attempt is None:
            return None
        sink = request.call.begin(_about_body(head.headers), length, source)
        if sink is None:
            return None
        self._upstream.unlimit(attempt)
        request.streamed, request.first_byte_us = (
            index,
            self._engine.clock.now() - max(sent_at, request.taken_at),
        )
        self.answers[200] += 1
        # A copy elsewhere that this ends would else close the request, and so call off this very attempt.
        with self._engine.event_first(ResponseStarted(request.ident, index, server, request.first_byte_us)):
            self._mark_answered(request)
        return sink

    def _attempt_ended(
        self,
        request: InFlightRequest,
        index: int,
        server: str,
        sent_at: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        if index not in request.out:
            return
        del request.out[index]
        elapsed = self._engine.clock.now() - max(sent_at, request.taken_at)
        told = outcome.value if response is None else f"{outcome.value} {response.status}"
        request.trail.append(f"{server} {told} {elapsed / 1000:.1f} ms")
        if index == request.streamed:
            if outcome is not Outcome.DELIVERED:
                self._log_trail(request, "answer broken off")
            elapsed = request.first_byte_us
        elif outcome is Outcome.DELIVERED and response is not None:
            if self._latencies is not None:
                self._latencies.record_attempt(server, elapsed)
            self.answer(request, 200, _about_body(response.headers), response.body)
        report = self._report(response)
        self._forget_if_over(request)
        spent = request.call.upload is not None and request.call.upload.spent
        self._engine.handle(
            AttemptEnded(request.ident, index, server, outcome, elapsed, request.answered, report, spent)
        )

    def _report(self, response: Response | None) -> dict[str, float] | None:
        if response is None:
            return None
        return upstream.parse_report(response.header(b"x-load-report"), self._settings.report_columns)

    def cancel(self, action: CancelAttempt) -> None:
        request = self.in_flight.get(action.request)
        attempt = request.out.get(action.attempt) if request is not None else None
        if attempt is not None:
            self._upstream.cancel(attempt)

    def probe(self, action: HealthCheck) -> None:
        reports = self._settings.report_source is not ReportSource.NONE
        ended = partial(self._probed, action.server, self._engine.clock.now())
        self._upstream.probe(action.server, "/stats" if reports else "/health/live", ended)

    def _probed(self, server: str, sent_at: int, outcome: Outcome, response: Response | None) -> None:
        report = None
        if response is not None and outcome is Outcome.DELIVERED:
            report = upstream.parse_probe(response.body, self._settings.report_columns)
        self._engine.handle(HealthCheckEnded(server, outcome, self._engine.clock.now() - sent_at, report))

    def give_up(self, ident: int | None) -> None:
        """Guards against a defect that would leave its request unanswered: it fails, and the module hears so.

        What is whole at a server is called off where the settings let it, and else ends at its own time.
        """
        request = self.in_flight.get(ident) if ident is not None else None
        if request is None:
            return
        over = request.answered
        self.answer(request, 500, [], b"")
        for attempt in list(request.out.values()):
            if attempt is not None and self._settings.limits.may_cancel:
                self._upstream.cancel(attempt)
        if not over:
            self._engine.handle(ClientDisconnected(request.ident))


def _about_body(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    return [each for each in headers if each[0] in _ABOUT_BODY]


def _head(call: Call, left_s: float) -> h11.Request:
    """The head of an attempt: the application's, with the time that is left for it."""
    headers = [*call.headers, (b"X-Budget", b"%.6f" % min(left_s, call.budget_us / 1e6))]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"Host", b"sidecar"))  # HTTP/1.0 allows none, HTTP/1.1 needs one
    if call.upload is not None and call.upload.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif call.upload is not None:
        headers.append((b"Content-Length", str(call.upload.length).encode()))
    elif call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", str(len(call.body)).encode()))
    return h11.Request(method=call.method, target=call.target, headers=headers)


def by_status(answers: Counter[int]) -> dict[str, int]:
    """Return counts of answers by their status, in its order."""
    return {str(status): count for status, count in sorted(answers.items())}
