"""A bound on how many full lists a relay sends at a time; other callers wait in a queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sidecar_balancer.relay.connection import CallerConnection

MAX_QUEUED_S = 1.5  # a caller that has waited this long for a full list is rejected, to try another relay


class SnapshotQueue:
    """Sends the full list to callers, first come, first served."""

    def __init__(
        self,
        max_sending: int,
        send: Callable[[CallerConnection], None],
        reject: Callable[[CallerConnection], None],
    ) -> None:
        """`send` writes the full list to a caller; `reject` responds to one that waited too long."""
        self._max_sending = max_sending
        self._send = send
        self._reject = reject
        self._waiting: deque[CallerConnection] = deque()
        self._sending: set[CallerConnection] = set()

    @property
    def sending_count(self) -> int:
        """Number of full lists being sent."""
        return len(self._sending)

    @property
    def waiting_count(self) -> int:
        """Number of callers in the queue."""
        return len(self._waiting)

    def add(self, connection: CallerConnection) -> None:
        """Send the full list to a caller, at once or when its turn comes."""
        if len(self._sending) < self._max_sending:
            self._start_sending(connection)
            return
        self._waiting.append(connection)
        connection.start_wait(MAX_QUEUED_S, self._on_timeout)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended, and send to the callers that are next."""
        if connection in self._waiting:
            self._waiting.remove(connection)
        if connection in self._sending:
            self._sending.discard(connection)
            while self._waiting and len(self._sending) < self._max_sending:
                next_connection = self._waiting.popleft()
                next_connection.cancel_wait()
                self._start_sending(next_connection)

    def _start_sending(self, connection: CallerConnection) -> None:
        self._sending.add(connection)
        self._send(connection)

    def _on_timeout(self, connection: CallerConnection) -> None:
        if connection in self._waiting:
            self._waiting.remove(connection)
            self._reject(connection)
