"""The proxy: executes the balancer's decisions on requests and reports the results back to it."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
from collections import Counter
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
from sidecar_balancer.policy.settings import Idempotency, ReportSource, Settings
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.proxy.deadlines import RequestDeadlines
from sidecar_balancer.proxy.forwarding import attempt_head, content_headers
from sidecar_balancer.proxy.in_flight import InFlightRequest
from sidecar_balancer.proxy.request_log import RequestLog
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.runtime.headers import Headers
from sidecar_balancer.runtime.request_ids import ClaimsExhaustedError, RequestIds
from sidecar_balancer.runtime.streams import ResponseSink, ResponseSource
from sidecar_balancer.upstream.endpoint_pool import EndpointPool
from sidecar_balancer.upstream.exchange import Exchange, UpstreamRequest
from sidecar_balancer.upstream.load_report import parse_health_report, parse_load_report
from sidecar_balancer.upstream.response import Response

if TYPE_CHECKING:
    from sidecar_balancer.observability.latency import LatencyHistograms

log = logging.getLogger(__name__)


class Proxy:
    """The requests in flight; each gets one response, and each of its attempts is ended.

    Attributes:
        in_flight: The requests by the number that identifies them to the balancer.
        by_client_request: The requests whose client waits for the response or is receiving it.
        response_counts: The number of responses by status.
        request_log: Logs unsuccessful and late requests.
    """

    def __init__(
        self,
        settings: Settings,
        engine: Engine,
        endpoint_pool: EndpointPool,
        latencies: LatencyHistograms | None,
        request_ids: RequestIds | None = None,
    ) -> None:
        """Register with the engine as executor of the actions on requests, attempts and health checks."""
        self.in_flight: dict[int, InFlightRequest] = {}
        self.by_client_request: dict[ClientRequest, InFlightRequest] = {}
        self.response_counts: Counter[int] = Counter()
        self.request_log = RequestLog(engine.clock)
        self._settings = settings
        self._engine = engine
        self._endpoint_pool = endpoint_pool
        self._deadlines = RequestDeadlines(engine, endpoint_pool, self.abandon)
        self._latencies = latencies
        self._request_ids = request_ids or RequestIds()
        classes = settings.classes
        self._latency_objectives_us = {
            service_class.name: service_class.latency_objective_us for service_class in classes
        }
        self._longest_deadline_s = max(service_class.deadline_us for service_class in classes) / 1e6
        self._numbers = itertools.count(1)
        self._idempotent_classes = {
            each.name for each in classes if each.idempotency is Idempotency.IDEMPOTENT
        }
        engine.on_exception = self.abandon
        engine.executors |= {
            SendAttempt: self.send,
            Reject: self.reject,
            Fail: self.fail,
            CancelAttempt: self.cancel,
            HealthCheck: self.check_health,
        }

    # -- Clients

    def request_received(self, client_request: ClientRequest) -> None:
        """Pass a request to the balancer; if its body is streamed, the rest may still be arriving."""
        now = self._engine.clock.now()
        request = InFlightRequest(next(self._numbers), client_request, now, None)
        self.in_flight[request.request_id] = self.by_client_request[client_request] = request
        if client_request.upload is None:
            self._deadlines.start(request)
        else:
            self._deadlines.watch_body(request)
        self._engine.handle(
            RequestReceived(
                request.request_id,
                client_request.service_class,
                client_request.tenant,
                client_request.key,
                client_request.remaining_us,
                client_request.cost_us,
                client_request.is_retry,
                body_open=client_request.upload is not None,
            )
        )

    def body_completed(self, client_request: ClientRequest) -> None:
        """Record that the last byte of a streamed body has arrived."""
        request = self.by_client_request.get(client_request)
        if request is None or request.answered:
            return
        self._deadlines.start(request)
        self._engine.handle(RequestBodyEnded(request.request_id, client_request.remaining_us))

    def client_disconnected(self, client_request: ClientRequest) -> None:
        """Record that the client no longer waits for the response."""
        request = self.by_client_request.pop(client_request, None)
        if request is None:
            return
        if request.streamed_attempt is not None:
            self._abandon_streamed_response(request, request.streamed_attempt)
        elif not request.answered:
            self.request_log.log_failure(request, "client disconnected")
            self._mark_answered(request)
            self._engine.handle(ClientDisconnected(request.request_id))

    def _abandon_streamed_response(self, request: InFlightRequest, attempt_index: int) -> None:
        attempt = request.attempts.get(attempt_index)
        if attempt is None:
            return
        if self._settings.limits.may_cancel:
            self._endpoint_pool.cancel(attempt)
        elif attempt.connection is not None:
            attempt.connection.resume()  # reads the response to its end, though no client receives it
            deadline = asyncio.get_running_loop().time() + self._longest_deadline_s
            self._endpoint_pool.set_deadline(attempt, deadline)

    def respond(self, request: InFlightRequest, status: int, headers: Headers, body: bytes) -> None:
        """Send the response; a second call has no effect."""
        if request.answered:
            return
        client_request = request.client_request
        service_class = client_request.service_class
        elapsed_us = self._engine.clock.now() - request.received_at
        if status != 200 or elapsed_us > self._latency_objectives_us.get(service_class, 0):
            self.request_log.log_failure(request, str(status))
        self.response_counts[status] += 1
        if status == 200 and self._latencies is not None:
            self._latencies.record_response(service_class, elapsed_us)
        self._mark_answered(request)
        client_request.response_writer.respond(status, headers, body)

    def _mark_answered(self, request: InFlightRequest) -> None:
        request.answered = True
        if request.streamed_attempt is None:
            self.by_client_request.pop(request.client_request, None)
        self._deadlines.cancel(request)
        request.client_request.body = b""  # no further attempt is sent
        for attempt_index, attempt in list(request.attempts.items()):
            if attempt is not None and attempt_index != request.streamed_attempt:
                self._endpoint_pool.cancel_unsent(attempt)
        if request.client_request.upload is not None and request.streamed_attempt is None:
            request.client_request.upload.discard()
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: InFlightRequest) -> None:
        if request.answered and not request.attempts:
            self.in_flight.pop(request.request_id, None)
            if request.id_claimed and not request.may_have_run:
                self._request_ids.release(request.client_request.request_id)
            self.by_client_request.pop(request.client_request, None)

    # -- The balancer's actions

    def reject(self, action: Reject) -> None:
        """Send a response that the request was rejected and not executed."""
        request = self.in_flight.get(action.request)
        if request is not None:
            headers = []
            if action.retry_after_us:
                headers.append((b"Retry-After", b"%.3f" % (action.retry_after_us / 1e6)))
            self.respond(request, 503, headers, b"")

    def fail(self, action: Fail) -> None:
        """Send a response that the request failed."""
        request = self.in_flight.get(action.request)
        if request is not None:
            self.respond(request, 500, [], b"")

    def fail_all(self) -> None:
        """Send a failure response to all requests in flight, as the process is shutting down."""
        for request in list(self.by_client_request.values()):
            self.respond(request, 500, [], b"")

    def send(self, action: SendAttempt) -> None:
        """Start an attempt, unless the request has ended in the meantime."""
        request = self.in_flight.get(action.request)
        if request is not None and not request.answered:
            request.client_request.response_writer.check_connected()
            self._claim_id(request)
        attempt_index = request.attempts_started if request is not None else 0
        if request is not None:
            request.attempts_started += 1
        if request is None or request.answered:
            self._engine.handle(
                AttemptEnded(action.request, attempt_index, action.server, Outcome.UNSENT, 0, True)
            )
            return
        request.attempts[attempt_index] = None
        sent_at = self._engine.clock.now()
        on_outcome = partial(self._attempt_ended, request, attempt_index, action.server, sent_at)
        upstream_request = self._upstream_request(request, attempt_index, action.server, sent_at)
        deadline = math.inf  # no deadline applies until the body has ended
        if request.deadline is not None:
            deadline_us = min(action.deadline or request.deadline, request.deadline)
            deadline = self._engine.clock.to_loop_time(deadline_us)
        try:
            exchange = self._endpoint_pool.send(action.server, upstream_request, deadline, on_outcome)
        except Exception:  # unexpected: the request may have been executed
            on_outcome(Outcome.CONNECTION_LOST, None)
            raise
        if attempt_index in request.attempts:
            request.attempts[attempt_index] = exchange

    def _claim_id(self, request: InFlightRequest) -> None:
        """Claim the id of a request that may run once at most, or else end the request."""
        client_request = request.client_request
        is_idempotent = client_request.service_class in self._idempotent_classes
        if request.answered or request.id_claimed or is_idempotent:
            return
        status = 503
        try:
            request.id_claimed = self._request_ids.claim(client_request.request_id)
            status = 409
        except ClaimsExhaustedError as error:
            log.warning("no id can be claimed: %s", error, extra={"event": "request_ids_exhausted"})
        if not request.id_claimed:
            self.respond(request, status, [], b"")
            self._engine.handle(ClientDisconnected(request.request_id))

    def _upstream_request(
        self, request: InFlightRequest, attempt_index: int, server: str, sent_at: int
    ) -> UpstreamRequest:
        client_request = request.client_request
        return UpstreamRequest(
            partial(attempt_head, client_request),
            client_request.body,
            client_request.upload,
            partial(self._start_streaming, request, attempt_index, server, sent_at),
            client_request.response_writer.check_connected,
        )

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt that has not ended."""
        request = self.in_flight.get(action.request)
        attempt = request.attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            self._endpoint_pool.cancel(attempt)

    def check_health(self, action: HealthCheck) -> None:
        """Start a health check."""
        reads_reports = self._settings.report_source is not ReportSource.NONE
        on_outcome = partial(self._health_check_ended, action.server, self._engine.clock.now())
        self._endpoint_pool.check_health(
            action.server, "/stats" if reads_reports else "/health/live", on_outcome
        )

    def _health_check_ended(
        self, server: str, sent_at: int, outcome: Outcome, response: Response | None
    ) -> None:
        report = None
        if response is not None and outcome is Outcome.DELIVERED:
            report = parse_health_report(response.body, self._settings.report_columns)
        elapsed_us = self._engine.clock.now() - sent_at
        self._engine.handle(HealthCheckEnded(server, outcome, elapsed_us, report))

    def abandon(self, request_id: int | None) -> None:
        """Fail a request that would remain without a response after an error, and inform the balancer.

        Its attempts are cancelled if the settings allow that; otherwise they end at their own deadlines.
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

    # -- Responses of servers

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
        """Start streaming a long response; from then on, no other attempt can provide the response."""
        attempt = request.attempts.get(attempt_index)
        if request.answered or attempt is None:
            return None
        writer = request.client_request.response_writer
        sink = writer.begin_streaming(content_headers(head.headers), length, source)
        if sink is None:
            return None
        self._endpoint_pool.clear_deadline(attempt)
        first_byte_us = self._engine.clock.now() - max(sent_at, request.received_at)
        request.streamed_attempt, request.first_byte_us = attempt_index, first_byte_us
        self.response_counts[200] += 1
        # The end of an unsent hedge must reach the balancer after ResponseStarted, or the balancer could end
        # the request and cancel this attempt.
        with self._engine.handle_first(
            ResponseStarted(request.request_id, attempt_index, server, first_byte_us)
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
        if _may_have_run(outcome, request.attempts.pop(attempt_index)):
            request.may_have_run = True
        elapsed_us = self._engine.clock.now() - max(sent_at, request.received_at)
        description = outcome.value if response is None else f"{outcome.value} {response.status}"
        request.attempt_outcomes.append(f"{server} {description} {elapsed_us / 1000:.1f} ms")
        if attempt_index == request.streamed_attempt:
            if outcome is not Outcome.DELIVERED:
                self.request_log.log_failure(request, "response broken off")
            elapsed_us = request.first_byte_us
        elif outcome is Outcome.DELIVERED and response is not None:
            if self._latencies is not None:
                self._latencies.record_attempt(server, elapsed_us)
            self.respond(request, 200, content_headers(response.headers), response.body)
        report = self._load_report(response)
        self._remove_if_finished(request)
        upload = request.client_request.upload
        self._engine.handle(
            AttemptEnded(
                request.request_id,
                attempt_index,
                server,
                outcome,
                elapsed_us,
                request.answered,
                report,
                upload is not None and upload.consumed,
            )
        )

    def _load_report(self, response: Response | None) -> dict[str, float] | None:
        if response is None:
            return None
        return parse_load_report(response.header(b"x-load-report"), self._settings.report_columns)


def _may_have_run(outcome: Outcome, exchange: Exchange | None) -> bool:
    """Return whether an attempt that ended may have been executed."""
    if outcome in (Outcome.UNSENT, Outcome.CONNECT_FAILED, Outcome.REJECTED):
        return False
    if outcome is Outcome.CANCELLED and exchange is not None:
        return exchange.connection is not None and exchange.connection.written
    return True


def count_by_status(response_counts: Counter[int]) -> dict[str, int]:
    """Return the number of responses by status, ordered by status."""
    return {str(status): count for status, count in sorted(response_counts.items())}
