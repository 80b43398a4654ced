"""Sharing of the event loop's turns, so that no peer's work keeps the others' waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

_MAX_CALLS_PER_TURN = 8
_MAX_CLIENT_EVENTS_PER_TURN = 16
Events = list[tuple[selectors.SelectorKey, int]]


class WaitingCall(NamedTuple):
    """A call that waits for its turn since a time on the event loop's clock."""

    callback: Callable[[], None]
    since: float


class TurnQueue:
    """Calls that continue longer work; a few of them run in each turn of the event loop, in their order.

    Attributes:
        longest_wait_s: The longest time that a call has waited since this was last read, in seconds.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._calls: deque[WaitingCall] = deque()
        self._is_scheduled = False
        self.longest_wait_s = 0.0

    def __len__(self) -> int:
        return len(self._calls)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call in one of the next turns."""
        self._calls.append(WaitingCall(callback, asyncio.get_running_loop().time()))
        self._schedule()

    def pop_longest_wait_s(self) -> float:
        """Return the longest wait since the last call of this method, in seconds."""
        longest_wait_s, self.longest_wait_s = self.longest_wait_s, 0.0
        return longest_wait_s

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        now = asyncio.get_running_loop().time()
        try:
            for _ in range(min(_MAX_CALLS_PER_TURN, len(self._calls))):
                callback, since = self._calls.popleft()
                self.longest_wait_s = max(self.longest_wait_s, now - since)
                callback()
        finally:
            if self._calls:
                self._schedule()


def running_turn_queue() -> TurnQueue:
    """Return the queue of the running event loop."""
    loop = asyncio.get_running_loop()
    queue: TurnQueue | None = getattr(loop, "turn_queue", None)
    if queue is None:
        queue = TurnQueue()
        setattr(loop, "turn_queue", queue)  # noqa: B010  # asyncio's loops do not declare it
    return queue


class ClientEventLimit:
    """Limits how many client connections are served in a turn; those that wait longest come first.

    Responses of servers and timers of requests that were taken on so wait for a few reads of clients at most.

    Attributes:
        file_descriptors: The sockets of the clients' connections.
    """

    def __init__(self) -> None:
        """Start without client connections."""
        self.file_descriptors: set[int] = set()
        self._deferred: dict[int, float] = {}  # by descriptor, the time since which events wait, oldest first

    def select(self, events: Events, polled_at: float) -> Events:
        """Return the events to handle in this turn; the others are reported again by the next poll."""
        if len(events) <= _MAX_CLIENT_EVENTS_PER_TURN and not self._deferred:
            return events
        client_events = {key.fd: (key, mask) for key, mask in events if key.fd in self.file_descriptors}
        waiting = [fd for fd in self._deferred if fd in client_events]
        waiting += [fd for fd in client_events if fd not in self._deferred]
        handled = waiting[:_MAX_CLIENT_EVENTS_PER_TURN]
        deferred = waiting[_MAX_CLIENT_EVENTS_PER_TURN:]
        self._deferred = {fd: self._deferred.get(fd, polled_at) for fd in deferred}
        others = [(key, mask) for key, mask in events if key.fd not in client_events]
        return others + [client_events[fd] for fd in handled]

    def oldest_deferral(self) -> float | None:
        """Return the time since which the events that wait longest have been deferred; None: none wait."""
        return next(iter(self._deferred.values()), None)
