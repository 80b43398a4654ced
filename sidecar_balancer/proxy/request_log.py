"""Log lines for requests that were rejected, failed, late or abandoned by their client."""

from __future__ import annotations

import logging

from sidecar_balancer.proxy.in_flight import InFlightRequest
from sidecar_balancer.runtime.clock import Clock

log = logging.getLogger(__name__)

_MAX_LOGGED_FAILURES = 20  # limit between resets; logging every rejection would cost more than the rejections
_MAX_NAME_LENGTH = 40


class RequestLog:
    """Logger of unsuccessful and late requests, with a quota of lines."""

    def __init__(self, clock: Clock) -> None:
        """Measure elapsed times on the engine's clock."""
        self._clock = clock
        self._logged_failures = 0

    def reset_quota(self) -> None:
        """Allow as many lines as the quota again."""
        self._logged_failures = 0

    def log_failure(self, request: InFlightRequest, end: str) -> None:
        """Log how a request ended, if the quota is not used up."""
        self._logged_failures += 1
        if self._logged_failures > _MAX_LOGGED_FAILURES:
            return
        client_request = request.client_request
        request_id = client_request.request_id[:_MAX_NAME_LENGTH]
        service_class = client_request.service_class[:_MAX_NAME_LENGTH]
        elapsed_ms = (self._clock.now() - request.received_at) / 1000
        attempts = ", ".join(request.attempt_outcomes)
        if request.attempts:
            attempts += f" ({len(request.attempts)} in flight)"
        log.info(
            "request %s (%s) from port %d, %.3f s remaining: attempts [%s], ended with %s after %.1f ms",
            request_id,
            service_class,
            client_request.client_port,
            client_request.remaining_us / 1e6,
            attempts,
            end,
            elapsed_ms,
            extra={
                "event": "request_ended",
                "request": request_id,
                "class": service_class,
                "status": end,
                "took_ms": round(elapsed_ms, 1),
                "attempts": request.attempt_outcomes,
            },
        )
