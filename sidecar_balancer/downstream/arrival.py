"""Estimate of the time that a client's input waited in the kernel before it was read."""

from __future__ import annotations

import asyncio
import socket

from sidecar_balancer.runtime.queueing import PollTimes, since_last_data_s

_MIN_QUEUE_DELAY_S = 0.01  # shorter delays are not subtracted from the remaining time of a request


class ArrivalEstimate:
    """The earliest time at which the input that was read last may have arrived in the kernel."""

    def __init__(self, sock: socket.socket, poll_times: PollTimes, unread_since: float) -> None:
        """Start for a connection that has not been read since `unread_since` on the event loop's clock."""
        self._sock = sock
        self._poll_times = poll_times
        self._unread_since: float | None = unread_since  # None while each turn polls the connection
        self._arrived_at = 0.0

    def reading_paused(self, now: float) -> None:
        """Record that reading is paused from now on."""
        self._unread_since = now

    def input_received(self, now: float) -> None:
        """Record that input is being read."""
        unread_since = self._poll_times.unread_since
        if self._unread_since is not None:
            unread_since, self._unread_since = min(unread_since, self._unread_since), None
        delay_s = max(now - unread_since, 0.0)
        if delay_s >= _MIN_QUEUE_DELAY_S and (data_age_s := since_last_data_s(self._sock)) is not None:
            delay_s = min(delay_s, data_age_s)
        self._arrived_at = now - delay_s

    def subtract_delay(self, remaining_us: int) -> int:
        """Return the remaining time of a request, reduced by the time since its last byte arrived."""
        delay_s = asyncio.get_running_loop().time() - self._arrived_at
        return remaining_us if delay_s < _MIN_QUEUE_DELAY_S else max(remaining_us - int(delay_s * 1e6), 0)
