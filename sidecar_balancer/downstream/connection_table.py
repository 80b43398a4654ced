"""The client connections of a sidecar, and the choice of the one that is evicted for a new one."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar

_ESTABLISHED_AFTER_S = 0.1  # time from its start after which a request that is arriving is given up last
_MAX_WAIT_S = 0.1  # longest time for which no connection is accepted before such a request is given up
_MAX_READ_WAIT_S = 0.2  # the same, while input of the request that would be given up is still to be read
_MIN_LINGER_S = 0.1  # time for a client to read its last response before its connection may be reset
_MAX_QUEUE_S = 0.3  # longest time for which connections wait, though some are accepted meanwhile


class EvictionClass(enum.Enum):
    """The state of a connection, as far as it decides which one is evicted."""

    IDLE = "idle"  # no part of a request has arrived, or nothing more of it for some time
    RECEIVING = "receiving"  # a request is arriving
    BUSY = "busy"  # a complete request waits for its response, or the response is being sent


@dataclass(frozen=True, slots=True)
class CapacityWait:
    """For how long new connections have waited for capacity, in seconds.

    Attributes:
        queued_s: The time since connections began to wait.
        since_accept_s: The part of it since the last one was accepted.
    """

    queued_s: float = 0.0
    since_accept_s: float = 0.0

    def is_over(self) -> bool:
        """Return whether an established request may be given up for a new connection."""
        return self.since_accept_s >= _MAX_WAIT_S or self.queued_s >= _MAX_QUEUE_S


NO_WAIT = CapacityWait()


class EvictableConnection(Protocol):
    """A client connection, as far as the choice depends on it; times are on the event loop's clock."""

    @property
    def request_awaited_since(self) -> float:
        """The time since which its request is awaited."""

    def eviction_class(self, now: float) -> EvictionClass:
        """Return its class at `now`."""

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds input, which may complete a request; costs a system call."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class ConnectionTable(Collection[ConnectionT]):
    """The open connections, the least recently active first.

    Whether a client has stopped within its request or only pauses can't be told, so those that have shown the
    least are evicted first: connections that only linger after their last response, then clients that were
    answered and only have to connect again, then the stalled ones,
    the longest silent first, then those that have sent nothing.  Of the requests that are still arriving the
    latest is evicted: a crowd that comes at once does not push out slow clients that came before it.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._connections: dict[ConnectionT, None] = {}
        self._kept_alive: dict[ConnectionT, None] = {}  # a part of `_connections`, the longest idle first
        self._lingering: dict[ConnectionT, float] = {}  # another part, with the times since which they do

    def __contains__(self, connection: object) -> bool:
        return connection in self._connections

    def __iter__(self) -> Iterator[ConnectionT]:
        return iter(self._connections)

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: ConnectionT) -> None:
        """Add a connection that waits for its first request."""
        self._connections[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection; no effect if it is not in the table."""
        self._connections.pop(connection, None)
        self._kept_alive.pop(connection, None)
        self._lingering.pop(connection, None)

    def record_input(self, connection: ConnectionT) -> None:
        """Record that a connection has received input."""
        if connection in self._connections:
            self.remove(connection)
            self._connections[connection] = None

    def record_kept_alive(self, connection: ConnectionT) -> None:
        """Record that a connection waits for another request after its last response."""
        if connection in self._connections:
            self.remove(connection)
            self._connections[connection] = self._kept_alive[connection] = None

    def record_lingering(self, connection: ConnectionT, now: float) -> None:
        """Record that a connection has had its last response and only discards further input."""
        if connection in self._connections:
            self.remove(connection)
            self._connections[connection] = None
            self._lingering[connection] = now

    def excess_lingering(self, limit: int, now: float) -> list[ConnectionT]:
        """Return the earliest lingering connections beyond `limit` whose clients had time to read."""
        excess = list(self._lingering)[: max(len(self._lingering) - limit, 0)]
        return [each for each in excess if now - self._lingering[each] >= _MIN_LINGER_S]

    def select_victim(self, now: float, wait: CapacityWait) -> ConnectionT | None:
        """Return the connection to evict, or None if all must stay for now.

        Args:
            now: The time on the event loop's clock.
            wait: For how long new connections have waited for capacity.
        """
        return next(self.victims(now, wait), None)

    def victims(self, now: float, wait: CapacityWait) -> Iterator[ConnectionT]:
        """Yield the connections to evict in this turn of the event loop, in their order.

        Lingering ones come first, then idle ones, the longest idle first, and then the latest requests.

        Args:
            now: The time on the event loop's clock.
            wait: For how long new connections have waited for capacity.
        """
        yield from list(self._lingering)
        yield from _without_input(list(self._kept_alive))
        receiving: list[ConnectionT] = []
        for connection in list(self._connections):
            eviction_class = connection.eviction_class(now)
            if eviction_class is EvictionClass.RECEIVING:
                receiving.append(connection)
            elif eviction_class is EvictionClass.IDLE and not connection.has_unread_input():
                yield connection
        yield from _latest(receiving, now, wait)


def _latest(receiving: list[ConnectionT], now: float, wait: CapacityWait) -> Iterator[ConnectionT]:
    """Yield the connections whose requests began last; established ones only after some time without room.

    Meanwhile requests end, clients stall, and the first input of new connections is read.
    """
    if wait == NO_WAIT:
        return
    if not wait.is_over():
        receiving = [each for each in receiving if now - each.request_awaited_since < _ESTABLISHED_AFTER_S]
    receiving.sort(key=lambda connection: connection.request_awaited_since, reverse=True)
    if wait.since_accept_s < _MAX_READ_WAIT_S and receiving and receiving[0].has_unread_input():
        return  # once that input is read, this request may be complete, and no earlier one is given up
    yield from _without_input(receiving)


def _without_input(connections: Iterable[ConnectionT]) -> Iterator[ConnectionT]:
    return (each for each in connections if not each.has_unread_input())
