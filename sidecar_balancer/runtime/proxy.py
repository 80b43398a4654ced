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

from sidecar_balancer.downstream.request import ClientRequest
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
from sidecar_balancer.runtime.headers import Headers
from sidecar_balancer.runtime.streams import ResponseSink, ResponseSource
from sidecar_balancer.upstream.endpoint_pool import EndpointPool
from sidecar_balancer.upstream.exchange import Exchange, UpstreamRequest
from sidecar_balancer.upstream.load_report import parse_health_report, parse_load_report
from sidecar_balancer.upstream.response import Response

if TYPE_CHECKING:
    from sidecar_balancer.observability.latency import LatencyHistograms

log = logging.getLogger(__name__)

# requests that ended badly, at most, that are logged until the log is told how things stand
_MAX_LOGGED_FAILURES = 20
_CONTENT_HEADERS = (b"content-type", b"content-encoding")  # of a server's headers, these go to the client


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is not over: unanswered, or with attempts still out."""

    request_id: int
    call: ClientRequest
    received_at: int  # when its last byte came, once that is so
    deadline: int | None  # None: its body is still coming
    answered: bool = False
    attempts_started: int = 0  # attempts so far
    attempts: dict[int, Exchange | None] = field(default_factory=dict)  # those that have not ended, by number
    failsafe_timer: asyncio.TimerHandle | None = None
    streamed_attempt: int | None = None  # the attempt whose answer is passed on as it comes
    first_byte_us: int = 0  # how long it took to the first byte of that
    attempt_outcomes: list[str] = field(default_factory=list)  # how its attempts ended, for the log


class Proxy:
    """The requests that are not over, and what is owed for each: one answer, and an end to each attempt."""

    def __init__(
        self,
        settings: Settings,
        engine: Engine,
        endpoint_pool: EndpointPool,
        latencies: LatencyHistograms | None,
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._endpoint_pool = endpoint_pool
        self._latencies = latencies
        self._latency_objectives_us = {each.name: each.latency_objective_us for each in settings.classes}
        self._longest_s = max(each.deadline_us for each in settings.classes) / 1e6
        self._request_ids = itertools.count(1)
        self.in_flight: dict[int, InFlightRequest] = {}
        self.by_client_request: dict[ClientRequest, InFlightRequest] = {}
        self.response_counts: Counter[int] = Counter()  # by status
        self._logged_failures = 0  # logged since `allow_trails`
        engine.on_defect = self.abandon
        engine.executors |= {
            SendAttempt: self.send,
            Reject: self.reject,
            Fail: self.fail,
            CancelAttempt: self.cancel,
            HealthCheck: self.check_health,
        }

    def reset_log_quota(self) -> None:
        """Let requests that end badly be logged again, up to a bound."""
        self._logged_failures = 0

    def fail_all(self) -> None:
        """Answer all that is held: the run ends."""
        for request in list(self.by_client_request.values()):
            self.respond(request, 500, [], b"")

    def request_received(self, call: ClientRequest) -> None:
        now = self._engine.clock.now()
        request = InFlightRequest(next(self._request_ids), call, now, None)
        self.in_flight[request.request_id] = self.by_client_request[call] = request
        if call.upload is None:
            self._start_deadline(request)
        self._engine.handle(
            RequestReceived(
                request.request_id,
                call.service_class,
                call.tenant,
                call.key,
                call.remaining_us,
                call.cost_us,
                call.is_retry,
                body_open=call.upload is not None,
            )
        )

    def _start_deadline(self, request: InFlightRequest) -> None:
        """A client waits for its answer from its request's last byte on."""
        request.received_at = self._engine.clock.now()
        request.deadline = request.received_at + request.call.remaining_us
        at = self._engine.clock.on_loop(request.deadline)
        request.failsafe_timer = asyncio.get_running_loop().call_at(at, self.abandon, request.request_id)

    def body_completed(self, call: ClientRequest) -> None:
        request = self.by_client_request.get(call)
        if request is None or request.answered:
            return
        self._start_deadline(request)
        assert request.deadline is not None
        attempt_deadline = self._engine.clock.on_loop(request.deadline)
        for attempt in request.attempts.values():
            if attempt is not None:
                self._endpoint_pool.set_deadline(attempt, attempt_deadline)
        self._engine.handle(RequestBodyEnded(request.request_id, call.remaining_us))

    def client_disconnected(self, call: ClientRequest) -> None:
        request = self.by_client_request.pop(call, None)
        if request is not None and request.streamed_attempt is not None:
            if (attempt := request.attempts.get(request.streamed_attempt)) is not None:
                if self._settings.limits.may_cancel:
                    self._endpoint_pool.cancel(attempt)
                elif attempt.connection is not None:
                    attempt.connection.resume()  # it comes to its end, and nobody reads it; some have none
                    self._endpoint_pool.set_deadline(
                        attempt, asyncio.get_running_loop().time() + self._longest_s
                    )
        elif request is not None and not request.answered:
            self._log_failure(request, "client gone")
            self._mark_answered(request)
            self._engine.handle(ClientDisconnected(request.request_id))

    def respond(self, request: InFlightRequest, status: int, headers: Headers, body: bytes) -> None:
        if request.answered:
            return
        elapsed_us = self._engine.clock.now() - request.received_at
        if status != 200 or elapsed_us > self._latency_objectives_us.get(request.call.service_class, 0):
            self._log_failure(request, str(status))
        self.response_counts[status] += 1
        if status == 200 and self._latencies is not None:
            self._latencies.record_response(request.call.service_class, elapsed_us)
        self._mark_answered(request)
        request.call.respond(status, headers, body)

    def _log_failure(self, request: InFlightRequest, end: str) -> None:
        """Tell of a request that ended badly: refused, failed, late or given up by its client.

        Only of some: a line for each refusal would cost a busy sidecar more than the refusal itself.
        """
        self._logged_failures += 1
        if self._logged_failures > _MAX_LOGGED_FAILURES:
            return
        call = request.call
        took_ms = (self._engine.clock.now() - request.received_at) / 1000
        about = {"event": "request_ended", "request": call.request_id[:40], "class": call.service_class[:40]}
        log.info(
            "%s %s from port %d, %.3f s given: %s -> %s after %.1f ms",
            call.request_id[:40],
            call.service_class[:40],
            call.port,
            call.remaining_us / 1e6,
            ", ".join(request.attempt_outcomes)
            + (f" ({len(request.attempts)} out)" if request.attempts else ""),
            end,
            took_ms,
            extra=about | {"status": end, "took_ms": round(took_ms, 1), "attempts": request.attempt_outcomes},
        )

    def _mark_answered(self, request: InFlightRequest) -> None:
        request.answered = True
        if request.streamed_attempt is None:
            self.by_client_request.pop(request.call, None)
        if request.failsafe_timer is not None:
            request.failsafe_timer.cancel()
        for attempt_index, attempt in list(request.attempts.items()):
            if attempt is not None and attempt_index != request.streamed_attempt:
                self._endpoint_pool.cancel_unsent(attempt)  # nothing is sent for a request that is over
        self._forget_if_over(request)

    def _forget_if_over(self, request: InFlightRequest) -> None:
        if request.answered and not request.attempts:
            self.in_flight.pop(request.request_id, None)
            self.by_client_request.pop(request.call, None)

    def reject(self, action: Reject) -> None:
        request = self.in_flight.get(action.request)
        if request is not None:
            headers = (
                [(b"Retry-After", b"%.3f" % (action.retry_after_us / 1e6))] if action.retry_after_us else []
            )
            self.respond(request, 503, headers, b"")

    def fail(self, action: Fail) -> None:
        request = self.in_flight.get(action.request)
        if request is not None:
            self.respond(request, 500, [], b"")

    def send(self, action: SendAttempt) -> None:
        request = self.in_flight.get(action.request)
        if request is not None and not request.answered:
            request.call.check_connected()  # what its client has left behind is not sent on
        attempt_index = request.attempts_started if request is not None else 0
        if request is None or request.answered:
            if request is not None:
                request.attempts_started += 1
            self._engine.handle(
                AttemptEnded(action.request, attempt_index, action.server, Outcome.UNSENT, 0, True)
            )
            return
        request.attempts_started += 1
        request.attempts[attempt_index] = None
        attempt_deadline = math.inf
        if request.deadline is not None:
            attempt_deadline = self._engine.clock.on_loop(
                min(action.deadline or request.deadline, request.deadline)
            )
        sent_at = self._engine.clock.now()
        on_outcome = partial(self._attempt_ended, request, attempt_index, action.server, sent_at)
        start_streaming = partial(self._start_streaming, request, attempt_index, action.server, sent_at)
        upstream_request = UpstreamRequest(
            partial(_head, request.call),
            request.call.body,
            request.call.upload,
            start_streaming,
            request.call.check_connected,
        )
        try:
            exchange = self._endpoint_pool.send(action.server, upstream_request, attempt_deadline, on_outcome)
        except Exception:
            on_outcome(Outcome.CONNECTION_LOST, None)  # a defect; nobody knows how far it went
            raise
        if attempt_index in request.attempts:
            request.attempts[attempt_index] = exchange

    def _start_streaming(
        self,
        request: InFlightRequest,
        attempt_index: int,
        server: str,
        sent_at: int,
        head: h11.Response,
        length: int | None,
        source: ResponseSource,
    ) -> ResponseSink | None:
        """A long answer begins: from here on it is passed on as it comes, and no other may answer."""
        attempt = request.attempts.get(attempt_index)
        if request.answered or attempt is None:
            return None
        sink = request.call.begin_streaming(_content_headers(head.headers), length, source)
        if sink is None:
            return None
        self._endpoint_pool.clear_deadline(attempt)
        request.streamed_attempt, request.first_byte_us = (
            attempt_index,
            self._engine.clock.now() - max(sent_at, request.received_at),
        )
        self.response_counts[200] += 1
        # A copy elsewhere that this ends would else close the request, and so call off this very attempt.
        with self._engine.handle_first(
            ResponseStarted(request.request_id, attempt_index, server, request.first_byte_us)
        ):
            self._mark_answered(request)
        return sink

    def _attempt_ended(
        self,
        request: InFlightRequest,
        attempt_index: int,
        server: str,
        sent_at: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        if attempt_index not in request.attempts:
            return
        del request.attempts[attempt_index]
        elapsed = self._engine.clock.now() - max(sent_at, request.received_at)
        description = outcome.value if response is None else f"{outcome.value} {response.status}"
        request.attempt_outcomes.append(f"{server} {description} {elapsed / 1000:.1f} ms")
        if attempt_index == request.streamed_attempt:
            if outcome is not Outcome.DELIVERED:
                self._log_failure(request, "answer broken off")
            elapsed = request.first_byte_us
        elif outcome is Outcome.DELIVERED and response is not None:
            if self._latencies is not None:
                self._latencies.record_attempt(server, elapsed)
            self.respond(request, 200, _content_headers(response.headers), response.body)
        report = self._report(response)
        self._forget_if_over(request)
        body_consumed = request.call.upload is not None and request.call.upload.consumed
        self._engine.handle(
            AttemptEnded(
                request.request_id,
                attempt_index,
                server,
                outcome,
                elapsed,
                request.answered,
                report,
                body_consumed,
            )
        )

    def _report(self, response: Response | None) -> dict[str, float] | None:
        if response is None:
            return None
        return parse_load_report(response.header(b"x-load-report"), self._settings.report_columns)

    def cancel(self, action: CancelAttempt) -> None:
        request = self.in_flight.get(action.request)
        attempt = request.attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            self._endpoint_pool.cancel(attempt)

    def check_health(self, action: HealthCheck) -> None:
        reports = self._settings.report_source is not ReportSource.NONE
        on_outcome = partial(self._health_check_ended, action.server, self._engine.clock.now())
        self._endpoint_pool.check_health(action.server, "/stats" if reports else "/health/live", on_outcome)

    def _health_check_ended(
        self, server: str, sent_at: int, outcome: Outcome, response: Response | None
    ) -> None:
        report = None
        if response is not None and outcome is Outcome.DELIVERED:
            report = parse_health_report(response.body, self._settings.report_columns)
        self._engine.handle(HealthCheckEnded(server, outcome, self._engine.clock.now() - sent_at, report))

    def abandon(self, request_id: int | None) -> None:
        """Guards against a defect that would leave its request unanswered: it fails, and the module hears so.

        What is whole at a server is called off where the settings let it, and else ends at its own time.
        """
        request = self.in_flight.get(request_id) if request_id is not None else None
        if request is None:
            return
        was_answered = request.answered
        self.respond(request, 500, [], b"")
        for attempt in list(request.attempts.values()):
            if attempt is not None and self._settings.limits.may_cancel:
                self._endpoint_pool.cancel(attempt)
        if not was_answered:
            self._engine.handle(ClientDisconnected(request.request_id))


def _content_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    return [each for each in headers if each[0] in _CONTENT_HEADERS]


def _head(call: ClientRequest, remaining_s: float) -> h11.Request:
    """The head of an attempt: the application's, with the time that is left for it."""
    headers = [*call.headers, (b"X-Budget", b"%.6f" % min(remaining_s, call.remaining_us / 1e6))]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"Host", b"sidecar"))  # HTTP/1.0 allows none, HTTP/1.1 needs one
    if call.upload is not None and call.upload.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif call.upload is not None:
        headers.append((b"Content-Length", str(call.upload.length).encode()))
    elif call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", str(len(call.body)).encode()))
    return h11.Request(method=call.method, target=call.target, headers=headers)


def count_by_status(response_counts: Counter[int]) -> dict[str, int]:
    """Return counts of answers by their status, in its order."""
    return {str(status): count for status, count in sorted(response_counts.items())}
