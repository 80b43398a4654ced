"""The time limits of a request that is being received."""

from __future__ import annotations

from sidecar_balancer.runtime.streams import STALL_TIMEOUT_S

REQUEST_TIMEOUT_S = 2.5  # from the first byte of a head; slow clients take 2 s
_BODY_START_TIMEOUT_S = 1.5  # from the head to the first byte of the body
_MIN_BODY_BYTES_PER_S = 32_000.0  # the slowest clients that must be served send twice as fast


class RequestDeadline:
    """When the request that is being received must have made progress; times are the event loop's.

    Attributes:
        awaited_since: When the request began to be awaited.
        body_counted_since: Since when the bytes of its body are counted.
        body_bytes: The bytes since then.
        last_input_at: When the last of them came.
    """

    __slots__ = ("awaited_since", "body_bytes", "body_counted_since", "last_input_at")

    def __init__(self) -> None:
        """Await nothing yet."""
        self.awaited_since = 0.0
        self.body_counted_since = 0.0
        self.body_bytes = 0
        self.last_input_at = 0.0

    def restart_body(self, now: float) -> None:
        """Count the body anew, as its head has come or as reading was resumed."""
        self.body_counted_since = self.last_input_at = now
        self.body_bytes = 0

    def due_at(self, head_received: bool) -> float:
        """Return the deadline; that of a body moves on while the body does."""
        if not head_received:
            return self.awaited_since + REQUEST_TIMEOUT_S
        rate_limit = self.body_counted_since + _BODY_START_TIMEOUT_S + self.body_bytes / _MIN_BODY_BYTES_PER_S
        stall_limit = self.last_input_at + STALL_TIMEOUT_S
        return max(self.awaited_since + REQUEST_TIMEOUT_S, min(rate_limit, stall_limit))
