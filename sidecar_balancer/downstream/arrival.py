"""Estimate of the time at which a client sent its input, which may be long before it was read."""

from __future__ import annotations

import asyncio
import socket

from sidecar_balancer.runtime.queueing import PollTimes, since_last_data_s

_MIN_QUEUE_DELAY_S = 0.01  # shorter delays are not subtracted from the remaining time of a request
MIN_RECEIVE_WINDOW_BYTES = 32 * 1024  # a client can send at least this much that is not read
_WINDOW_UPDATE_S = 0.25  # a client whose data did not fit into the receive window may retry only after 0.2 s


class ArrivalEstimate:
    """The earliest time at which a client can have sent the input that was read last, or is still unread.

    A client has sent its input once its own kernel has it, which may be long before this process reads it:
    while reading is paused, or while more arrives than is read.

    Attributes:
        unread_since: The time since which input may have been unread; None while all input has been read.
    """

    def __init__(self, sock: socket.socket, poll_times: PollTimes, unread_since: float) -> None:
        """Start for a connection that has not been read since `unread_since` on the event loop's clock."""
        self._sock = sock
        self._poll_times = poll_times
        self.unread_since: float | None = unread_since
        self._unread_bytes = 0  # bytes that were read since then
        self._paused_at: float | None = None  # set while reading is paused
        self._limited_until = -_WINDOW_UPDATE_S  # end of the last pause in which the window may have closed
        self._arrived_at = 0.0

    def reading_paused(self, now: float) -> None:
        """Record that reading is paused from now on."""
        self._paused_at = now
        if self.unread_since is None:
            self.unread_since = now

    def reading_resumed(self, now: float) -> None:
        """Record that reading is resumed."""
        if self._paused_at is not None and now - self._paused_at >= _MIN_QUEUE_DELAY_S:
            self._limited_until = now
        self._paused_at = None

    def input_received(self, now: float, size: int, is_drained: bool) -> None:
        """Record that `size` bytes were read; `is_drained` says that the kernel has no more of them."""
        unread_since = min(self._poll_times.unread_since, now)
        if self.unread_since is not None:
            unread_since = min(unread_since, self.unread_since)
        self._unread_bytes += size
        delay_s = now - unread_since
        if delay_s >= _MIN_QUEUE_DELAY_S and (data_age_s := self._data_age_s()) is not None:
            delay_s = min(delay_s, data_age_s)
        self._arrived_at = now - delay_s
        self.unread_since = unread_since
        if is_drained:
            self.input_drained(now)

    def _data_age_s(self) -> float | None:
        """Return the age of the last data, unless the client may have had to wait with it."""
        return since_last_data_s(self._sock) if self._unread_bytes < MIN_RECEIVE_WINDOW_BYTES else None

    def input_drained(self, now: float) -> None:
        """Record that the kernel has no unread input, which the client may still be about to transmit."""
        limited_until = self._limited_until if self._paused_at is None else self._paused_at
        if self._unread_bytes < MIN_RECEIVE_WINDOW_BYTES or now - limited_until >= _WINDOW_UPDATE_S:
            self.unread_since = None if self._paused_at is None else now
            self._unread_bytes = 0

    def subtract_delay(self, remaining_us: int) -> int:
        """Return the remaining time of a request, reduced by the time since its last byte arrived."""
        delay_s = asyncio.get_running_loop().time() - self._arrived_at
        return remaining_us if delay_s < _MIN_QUEUE_DELAY_S else max(remaining_us - int(delay_s * 1e6), 0)
