"""Time limits for receiving a request."""

from __future__ import annotations

REQUEST_TIMEOUT_S = 2.5  # time limit that starts at the first byte of a head; slow clients take 2 s
_BODY_START_TIMEOUT_S = 0.9  # time limit from the head to the first byte of the body
_BODY_SILENCE_TIMEOUT_S = 2.5  # time limit from one part of a body to the next
_STALL_S = 0.5  # clients that send a request in pieces seldom pause for longer
_SLOWEST_BODY_BYTES_PER_S = 64_000.0  # rate of the slowest clients that must be served
_MIN_BODY_BYTES_PER_S = _SLOWEST_BODY_BYTES_PER_S / 2


class RequestDeadline:
    """The deadline of a request that is being received; all times are on the event loop's clock.

    Attributes:
        awaited_since: The time at which the wait for the request began.
        body_counted_since: The time from which the bytes of its body are counted.
        body_bytes: The number of bytes received since then.
        last_input_at: The time at which the last input arrived.
    """

    __slots__ = ("awaited_since", "body_bytes", "body_counted_since", "last_input_at")

    def __init__(self) -> None:
        """Start without a request."""
        self.awaited_since = 0.0
        self.body_counted_since = 0.0
        self.body_bytes = 0
        self.last_input_at = 0.0

    def restart_body(self, now: float) -> None:
        """Restart the count of the body after its head was received or reading was resumed."""
        self.body_counted_since = self.last_input_at = now
        self.body_bytes = 0

    def due_at(self, head_received: bool) -> float:
        """Return the deadline; that of a body moves on as long as the body arrives."""
        if not head_received:
            return self.awaited_since + REQUEST_TIMEOUT_S
        rate_limit = self.body_counted_since + _BODY_START_TIMEOUT_S + self.body_bytes / _MIN_BODY_BYTES_PER_S
        silence_limit = self.last_input_at + _BODY_SILENCE_TIMEOUT_S
        return max(self.awaited_since + REQUEST_TIMEOUT_S, min(rate_limit, silence_limit))

    def is_stalled(self, now: float, head_received: bool) -> bool:
        """Return whether nothing arrived for some time, though the slowest clients would have sent more."""
        if now - max(self.last_input_at, self.awaited_since) <= _STALL_S:
            return False
        on_schedule_s = _BODY_START_TIMEOUT_S + self.body_bytes / _SLOWEST_BODY_BYTES_PER_S
        return not head_received or now - self.body_counted_since > on_schedule_s
