"""Queueing delay: how long input may have waited in the kernel before this process read it.

A client counts its time from the moment it sends a request.  A process that was busy or stopped, or that had
paused accepting or reading, reads the request later and has to take that wait off the time that is left.
Times are seconds on the event loop's clock.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import socket
import struct
import time

_POLL_AT_ONCE_S = 0.001  # a poll that returns within this did not wait: its input may be older
_OVERSLEPT_S = 0.01  # a poll that returns so much after its time-out was held up
_TCP_INFO_BYTES = 104  # as much of Linux' struct tcp_info as is read
_TCP_INFO_STATE = 0  # offset of tcpi_state, one byte; 0 is no state, so nothing was filled in
_TCP_INFO_LAST_DATA_RECV = 52  # offset of tcpi_last_data_recv: milliseconds, 32 bits


class PollTimes:
    """When the event loop polled last, and so how old the input can be that the current step reads."""

    def __init__(self, now: float = 0.0) -> None:
        self._last_return = now
        self.unread_since = now  # what the current step reads arrived after this

    def polled(self, entered: float, returned: float, timeout: float | None) -> None:
        """Note a poll: when it began and returned, and how long it was to wait at most (None: for ever)."""
        waited = returned - entered
        if waited < _POLL_AT_ONCE_S:
            self.unread_since = self._last_return
        elif timeout is not None and waited > timeout + _OVERSLEPT_S:
            self.unread_since = entered
        else:
            self.unread_since = returned  # the input ended the wait
        self._last_return = returned


class TimedSelector(selectors.EpollSelector):
    """The selector of asyncio's default loop, noting when it polled."""

    def __init__(self) -> None:
        super().__init__()
        self.times = PollTimes(time.monotonic())

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        entered = time.monotonic()
        events = super().select(timeout)
        self.times.polled(entered, time.monotonic(), timeout)
        return events


class TimedLoop(asyncio.SelectorEventLoop):
    """An event loop that tells how old the input of its current step can be."""

    def __init__(self) -> None:
        selector = TimedSelector()
        self.poll_times = selector.times
        super().__init__(selector)


def running_poll_times() -> PollTimes:
    """Return the poll times of the running loop; where it keeps none, input is never known to have waited."""
    known: PollTimes | None = getattr(asyncio.get_running_loop(), "poll_times", None)
    return known or PollTimes(math.inf)


class BacklogAge:
    """Bounds how long connections waited in the backlog of a listening socket, which is a queue.

    While the backlog was last seen empty, its connections are as old as other input.  Where some were left in
    it, they may be as old as that moment, until as many have been accepted as it can hold.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._left_since: float | None = None  # those next in the queue came after this; None: it was emptied
        self._marked_at = 0.0  # all that are queued came after this once `_to_take` more are accepted
        self._to_take = 0

    def oldest(self, unread_since: float) -> float:
        """Return the moment after which the connection accepted next came; `unread_since` as of the poll."""
        return unread_since if self._left_since is None else self._left_since

    def accepted(self, now: float) -> None:
        """Note that a connection was taken from the queue."""
        if self._left_since is None:
            return
        self._to_take -= 1
        if self._to_take <= 0:
            self._left_since = self._marked_at
            self._mark(now)

    def emptied(self) -> None:
        """Note that the queue was seen empty."""
        self._left_since = None

    def left(self, unread_since: float, now: float) -> None:
        """Note that accepting stopped with connections left in the queue."""
        if self._left_since is None:
            self._left_since = min(unread_since, now)
            self._mark(now)

    def _mark(self, now: float) -> None:
        self._marked_at, self._to_take = now, self._capacity


def since_last_data_s(sock: socket.socket) -> float | None:
    """Return how long ago the kernel received data on a TCP socket; None where the system does not tell.

    Zero is taken for no answer: a kernel that does not count the time this process sees says the same.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except (OSError, AttributeError):
        return None
    if len(info) < _TCP_INFO_LAST_DATA_RECV + 4 or info[_TCP_INFO_STATE] == 0:
        return None
    (milliseconds,) = struct.unpack_from("=I", info, _TCP_INFO_LAST_DATA_RECV)
    return float(milliseconds) / 1000 if milliseconds else None
