"""Deadlines of requests in flight, counted from when their clients can have sent the last byte."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sidecar_balancer.policy.events import RequestBodyOverdue
from sidecar_balancer.proxy.in_flight import InFlightRequest
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

_MIN_BODY_CHECK_INTERVAL_S = 0.05  # a client may announce a budget near zero and never complete its body


class RequestDeadlines:
    """Timers that end the requests whose client's time is over."""

    def __init__(self, engine: Engine, endpoint_pool: EndpointPool, abandon: Callable[[int], None]) -> None:
        """Store the collaborators; `abandon` fails a request that the balancer has not answered."""
        self._engine = engine
        self._endpoint_pool = endpoint_pool
        self._abandon = abandon

    def watch_body(self, request: InFlightRequest) -> None:
        """Check the request when its client's time may be over, although the body is still arriving."""
        loop = asyncio.get_running_loop()
        remaining_s = request.client_request.remaining_s(loop.time())
        request.body_timer = loop.call_later(
            max(remaining_s, _MIN_BODY_CHECK_INTERVAL_S), self._check_body, request
        )

    def _check_body(self, request: InFlightRequest) -> None:
        """End a request whose client may have sent its last byte so long ago that its time is over."""
        if request.client_request.remaining_s(asyncio.get_running_loop().time()) > 0.0:
            self.watch_body(request)
            return
        with self._engine.handle_first(RequestBodyOverdue(request.request_id)):
            for attempt in list(request.attempts.values()):
                if attempt is not None:
                    self._endpoint_pool.end_if_blocked(attempt)
        if not request.answered:
            self._abandon(request.request_id)

    def start(self, request: InFlightRequest) -> None:
        """Start the deadline of a request whose last byte has arrived."""
        self.cancel(request)
        clock = self._engine.clock
        request.received_at = clock.now()
        request.deadline = request.received_at + request.client_request.remaining_us
        deadline = clock.to_loop_time(request.deadline)
        request.failsafe_timer = asyncio.get_running_loop().call_at(
            deadline, self._abandon, request.request_id
        )
        for attempt in request.attempts.values():
            if attempt is not None:
                self._endpoint_pool.set_deadline(attempt, deadline)

    @staticmethod
    def cancel(request: InFlightRequest) -> None:
        """Cancel the timers of a request; a second call has no effect."""
        for timer in (request.failsafe_timer, request.body_timer):
            if timer is not None:
                timer.cancel()
