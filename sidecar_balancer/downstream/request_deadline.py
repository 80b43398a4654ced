"""Time limits for receiving a request."""

from __future__ import annotations

REQUEST_TIMEOUT_S = 2.5  # time limit that starts at the first byte of a head; slow clients take 2 s
_BODY_START_TIMEOUT_S = 0.9  # time limit from the head to the first byte of the body
_BODY_IDLE_TIMEOUT_S = 2.5  # time limit from one part of a body to the next, however much came before
_MIN_BODY_BYTES_PER_S = 32_000.0  # the slowest clients that must be served send twice as fast
_HEAD_STALL_S = 0.5  # silence that is longer than the usual pause of a client that sends in pieces
_BODY_STALL_S = 1.0  # the same within a body: time of 64 kB at the rate of the slowest clients


class RequestDeadline:
    """The deadline of a request that is being received; all times are on the event loop's clock.

    Attributes:
        awaited_since: The time at which the wait for the request began.
        body_due_at: The time by which more of its body must arrive, from the end of its head.
        last_input_at: The time at which the last input arrived.
    """

    __slots__ = ("awaited_since", "body_due_at", "last_input_at")

    def __init__(self) -> None:
        """Start without a request."""
        self.awaited_since = 0.0
        self.body_due_at = 0.0
        self.last_input_at = 0.0

    def restart_body(self, now: float) -> None:
        """Restart the limit of the body after its head was received or reading was resumed."""
        self.body_due_at = now + _BODY_START_TIMEOUT_S
        self.last_input_at = now

    def body_received(self, now: float, size: int) -> None:
        """Move the limit of the body on by the time that the slowest client may take for `size` bytes."""
        due_at = self.body_due_at + size / _MIN_BODY_BYTES_PER_S
        self.body_due_at = min(due_at, now + _BODY_IDLE_TIMEOUT_S)

    def due_at(self, head_received: bool) -> float:
        """Return the deadline; that of a body moves on as long as the body arrives."""
        limit = self.awaited_since + REQUEST_TIMEOUT_S
        return max(limit, self.body_due_at) if head_received else limit

    def is_stalled(self, now: float, head_received: bool) -> bool:
        """Return whether nothing has arrived for longer than a client that sends in pieces usually pauses."""
        idle_s = now - max(self.last_input_at, self.awaited_since)
        return idle_s > (_BODY_STALL_S if head_received else _HEAD_STALL_S)
