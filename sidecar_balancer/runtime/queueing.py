"""Queueing delay: bounds on how long input waited in the kernel before this process read it.

A client's deadline starts when it sends a request.  A process that was busy or stopped, or that had paused
accepting or reading, reads the request later and subtracts that delay from the remaining time.
Times are in seconds on the event loop's clock.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import socket
import struct
import time

from sidecar_balancer.runtime.turns import ClientEventLimit

_IMMEDIATE_POLL_S = 0.001  # a poll that returns within this time did not wait, so its input may be older
_LATE_RETURN_S = 0.01  # a poll that returns this long after its timeout was delayed
_TCP_INFO_BYTES = 104  # size of the part of Linux' struct tcp_info that is read
_TCP_INFO_STATE_OFFSET = 0  # offset of tcpi_state, one byte; 0 is invalid: the kernel filled in nothing
_TCP_INFO_LAST_DATA_RECV_OFFSET = 52  # offset of tcpi_last_data_recv: milliseconds, 32 bits
_UINT32 = struct.Struct("=I")


class PollTimes:
    """Times of the event loop's latest polls, which bound the age of the input of its current turn."""

    def __init__(self, now: float = 0.0) -> None:
        self._last_return = now
        self.unread_since = now  # the input of the current turn arrived after this

    def record_poll(
        self, entered: float, returned: float, timeout: float | None, deferred_since: float | None = None
    ) -> None:
        """Record a poll.

        Args:
            entered: When it was entered.
            returned: When it returned.
            timeout: Its timeout in seconds; None: no timeout.
            deferred_since: The time since which events of earlier polls wait to be handled; None: none wait.
        """
        waited_s = returned - entered
        if waited_s < _IMMEDIATE_POLL_S:
            self.unread_since = self._last_return
        elif timeout is not None and waited_s > timeout + _LATE_RETURN_S:
            self.unread_since = entered
        else:
            self.unread_since = returned  # the poll was waiting when the input arrived
        if deferred_since is not None:
            self.unread_since = min(self.unread_since, deferred_since)
        self._last_return = returned


class TimedSelector(selectors.EpollSelector):
    """The selector of asyncio's default loop, with the times of its polls and a limit on clients' events."""

    def __init__(self) -> None:
        super().__init__()
        self.times = PollTimes(time.monotonic())
        self.client_events = ClientEventLimit()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll, and record the times."""
        entered = time.monotonic()
        deferred_since = self.client_events.oldest_deferral()
        events = super().select(timeout)
        returned = time.monotonic()
        self.times.record_poll(entered, returned, timeout, deferred_since)
        return self.client_events.select(events, entered)


class TimedLoop(asyncio.SelectorEventLoop):
    """An event loop with `poll_times`, which bound the age of the input of its current turn."""

    def __init__(self) -> None:
        selector = TimedSelector()
        self.poll_times = selector.times
        self.client_events = selector.client_events
        super().__init__(selector)


def running_poll_times() -> PollTimes:
    """Return the poll times of the running loop; if it has none, input never counts as delayed."""
    poll_times: PollTimes | None = getattr(asyncio.get_running_loop(), "poll_times", None)
    return poll_times or PollTimes(math.inf)


def running_client_events() -> ClientEventLimit:
    """Return the running loop's limit on clients' events; if it has none, one without effect."""
    client_events: ClientEventLimit | None = getattr(asyncio.get_running_loop(), "client_events", None)
    return client_events or ClientEventLimit()


class BacklogAge:
    """Bound on how long connections waited in the backlog of a listening socket, a first-in-first-out queue.

    If the backlog was empty when it was last checked, its connections are no older than other input.
    If connections remained in it, the next ones may be as old as that moment, until as many have been
    accepted as it can hold.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._oldest_arrival: float | None = None  # bound for the next connections; None: backlog emptied
        self._next_oldest_arrival = 0.0  # applies once `_to_accept` more connections are accepted
        self._to_accept = 0

    def oldest_arrival(self, unread_since: float) -> float:
        """Return the earliest time at which the next connection can have arrived.

        Args:
            unread_since: The bound from the poll that reported the connection.
        """
        return unread_since if self._oldest_arrival is None else self._oldest_arrival

    def record_accepted(self, now: float) -> None:
        """Record that a connection was accepted."""
        if self._oldest_arrival is None:
            return
        self._to_accept -= 1
        if self._to_accept <= 0:
            self._oldest_arrival = self._next_oldest_arrival
            self._start_round(now)

    def record_emptied(self) -> None:
        """Record that the backlog was found empty."""
        self._oldest_arrival = None

    def record_remaining(self, unread_since: float, now: float) -> None:
        """Record that accepting stopped while connections remained in the backlog."""
        if self._oldest_arrival is None:
            self._oldest_arrival = min(unread_since, now)
            self._start_round(now)

    def _start_round(self, now: float) -> None:
        self._next_oldest_arrival, self._to_accept = now, self._capacity


def since_last_data_s(sock: socket.socket) -> float | None:
    """Return the seconds since the kernel last received data on a TCP socket; None if that is unknown.

    Zero counts as unknown, because a kernel that does not provide the value returns zero too.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except (OSError, AttributeError):
        return None
    has_value = len(info) >= _TCP_INFO_LAST_DATA_RECV_OFFSET + _UINT32.size
    if not has_value or info[_TCP_INFO_STATE_OFFSET] == 0:
        return None
    (milliseconds,) = _UINT32.unpack_from(info, _TCP_INFO_LAST_DATA_RECV_OFFSET)
    return float(milliseconds) / 1000 if milliseconds else None
