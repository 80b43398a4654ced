"""The relay's responses to its callers, which may wait for changes or for a full list."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import NamedTuple

from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.protocol import AGE_HEADER, TAG_HEADER, Headers
from sidecar_balancer.discovery.sources import STALE_AFTER_S
from sidecar_balancer.relay.change_log import ChangeLog
from sidecar_balancer.relay.config import RelayLimits
from sidecar_balancer.relay.connection import CallerConnection
from sidecar_balancer.relay.errors import RelayRequestError
from sidecar_balancer.relay.requests import ListRequest, ReadinessRequest, RelayRequest
from sidecar_balancer.relay.snapshot_queue import SnapshotQueue

log = logging.getLogger(__name__)

CATCH_UP_TIMEOUT_S = 1.0  # time for which a caller with a newer list waits for this relay to catch up
BROADCAST_INTERVAL_S = 0.2  # changes at shorter intervals are sent together
_STALENESS_MARGIN_S = 0.001  # ensures that the age exceeds the bound when the timer fires
_RESPONSES_PER_ITERATION = 64  # limit for a broadcast, so that other callers are served in between


@dataclass(slots=True)
class Counters:
    """Counters since the relay's start; the names are those of the admin API."""

    calls: int = 0
    unchanged: int = 0
    deltas: int = 0
    snapshots: int = 0
    not_ready: int = 0  # 503: no list yet, or one older than the caller's
    busy: int = 0  # 503: too many full lists were requested at once
    rejected: int = 0  # malformed or late requests
    over_capacity: int = 0  # connections closed before a request was read
    too_slow: int = 0  # callers that did not read their response in time
    bytes_out: int = 0


class _AheadCaller(NamedTuple):
    """A request from a caller whose list is newer than the relay's."""

    request: ListRequest
    as_of: float  # when the caller's list was current, on the event loop's clock


class RelayService:
    """Responds to callers from a change log; implements `ConnectionHandler`."""

    def __init__(self, change_log: ChangeLog, limits: RelayLimits, as_of: Callable[[], float]) -> None:
        """`as_of` returns when the list was last up to date, on the event loop's clock."""
        self._change_log = change_log
        self._max_connections = limits.connections
        self._as_of = as_of
        self.counters = Counters()
        self._connections: set[CallerConnection] = set()
        self._without_request: dict[CallerConnection, None] = {}  # oldest first
        self._watchers: dict[CallerConnection, ListRequest] = {}
        self._ahead_callers: dict[CallerConnection, _AheadCaller] = {}
        self._snapshots = SnapshotQueue(limits.snapshots, self._send_snapshot, self._reject_busy)
        self._broadcast_timer: asyncio.TimerHandle | None = None
        self._last_broadcast_at = 0.0
        self._staleness_timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    # Updates from discovery

    def apply_update(self, update: ListUpdate) -> None:
        """Apply a response of discovery and schedule the broadcasts to watchers."""
        if self._change_log.apply(update):
            self._schedule_broadcast()
        self._recheck_ahead_callers()
        self._schedule_staleness_broadcast()

    def _schedule_broadcast(self) -> None:
        if self._broadcast_timer is None and not self._is_closed:
            loop = asyncio.get_running_loop()
            due_at = max(self._last_broadcast_at + BROADCAST_INTERVAL_S, loop.time())
            self._broadcast_timer = loop.call_at(due_at, self._start_broadcast)

    def _start_broadcast(self) -> None:
        self._broadcast_timer = None
        self._last_broadcast_at = asyncio.get_running_loop().time()
        self._respond_to_watchers()

    def _schedule_staleness_broadcast(self) -> None:
        """Schedule a response to watchers when the list becomes stale: they may know a fresher relay."""
        if self._staleness_timer is not None:
            self._staleness_timer.cancel()
        if not self._is_closed:
            due_at = self._as_of() + STALE_AFTER_S + _STALENESS_MARGIN_S
            self._staleness_timer = asyncio.get_running_loop().call_at(due_at, self._respond_to_watchers)

    def _respond_to_watchers(self) -> None:
        self._respond_in_batches(deque(self._watchers))

    def _respond_in_batches(self, connections: deque[CallerConnection]) -> None:
        """Respond to those that still wait, a bounded number in each event loop iteration."""
        for _ in range(min(_RESPONSES_PER_ITERATION, len(connections))):
            self._end_watch(connections.popleft())
        if connections and not self._is_closed:
            asyncio.get_running_loop().call_soon(self._respond_in_batches, connections)

    # Connections

    def connection_opened(self, connection: CallerConnection) -> bool:
        """Accept a connection; at the limit, only in place of the oldest one without a request, if any."""
        if len(self._connections) >= self._max_connections:
            self.counters.over_capacity += 1
            if not self._without_request:
                return False
            next(iter(self._without_request)).abort()
        self._connections.add(connection)
        self._without_request[connection] = None
        return True

    def request_rejected(self, connection: CallerConnection, error: RelayRequestError) -> None:
        """Count a request that was malformed or late."""
        self._without_request.pop(connection, None)
        self.counters.rejected += 1
        extra = {"event": "relay_rejected", "status": error.status}
        log.info("rejected a request: %d %.80s", error.status, error, extra=extra)

    def response_timed_out(self) -> None:
        """Count a caller that did not read its response in time."""
        self.counters.too_slow += 1
        log.info("a caller did not read its response in time", extra={"event": "relay_slow_caller"})

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
        self._without_request.pop(connection, None)
        self._watchers.pop(connection, None)
        self._ahead_callers.pop(connection, None)
        self._snapshots.remove(connection)

    # Requests

    def request_received(self, connection: CallerConnection, request: RelayRequest) -> None:
        """Respond to a request, now or later."""
        self._without_request.pop(connection, None)
        is_ready = self._change_log.index is not None
        if isinstance(request, ReadinessRequest):
            connection.respond(200 if is_ready else 503, [], b"")
            return
        self.counters.calls += 1
        if is_ready:
            self._serve(connection, request)
        else:
            self._reject_not_ready(connection, "no list was heard yet")

    def _serve(self, connection: CallerConnection, request: ListRequest) -> None:
        change_log, revision = self._change_log, None
        if request.after is not None:
            revision = change_log.revision_of(request.tag, request.after)
        if revision is None:
            self._serve_unknown_list(connection, request)
        elif not request.wait_ms or (revision < change_log.revision and self._broadcast_timer is None):
            self._respond(connection, request)
        else:
            self._watchers[connection] = request
            connection.start_wait(request.wait_ms / 1000, self._end_watch)

    def _serve_unknown_list(self, connection: CallerConnection, request: ListRequest) -> None:
        """Serve a caller whose list is not in the change log: it may be newer than this relay's."""
        now = asyncio.get_running_loop().time()
        caller_as_of = now - request.age_s if request.age_s is not None else None
        if caller_as_of is not None and caller_as_of > self._as_of():
            self._ahead_callers[connection] = _AheadCaller(request, caller_as_of)
            connection.start_wait(CATCH_UP_TIMEOUT_S, self._end_catch_up)
        else:
            self._snapshots.add(connection)

    def _end_watch(self, connection: CallerConnection) -> None:
        if (request := self._watchers.pop(connection, None)) is not None:
            self._respond(connection, request)

    def _recheck_ahead_callers(self) -> None:
        as_of = self._as_of()
        for connection, caller in list(self._ahead_callers.items()):
            if as_of >= caller.as_of:
                del self._ahead_callers[connection]
                connection.cancel_wait()
                self._serve(connection, caller.request)

    def _end_catch_up(self, connection: CallerConnection) -> None:
        if self._ahead_callers.pop(connection, None) is not None:
            self._reject_not_ready(connection, "this relay is behind")

    # Responses

    def _respond(self, connection: CallerConnection, request: ListRequest) -> None:
        """Respond with the changes since the caller's list, if there are any."""
        revision = self._change_log.revision_of(request.tag, request.after)
        if revision is None:  # the ring has dropped the changes meanwhile
            self._snapshots.add(connection)
            return
        if revision == self._change_log.revision:
            self.counters.unchanged += 1
        else:
            self.counters.deltas += 1
        self._send(connection, self._change_log.delta(revision))

    def _send_snapshot(self, connection: CallerConnection) -> None:
        self.counters.snapshots += 1
        self._send(connection, self._change_log.snapshot())

    def _send(self, connection: CallerConnection, body: bytes) -> None:
        self.counters.bytes_out += len(body)
        headers: Headers = [
            ("Content-Type", "application/json"),
            (TAG_HEADER, self._change_log.tag),
            (AGE_HEADER, str(self.age_ms())),
        ]
        connection.respond(200, headers, body)

    def _reject_not_ready(self, connection: CallerConnection, reason: str) -> None:
        self.counters.not_ready += 1
        connection.respond(503, [("Content-Type", "text/plain")], f"{reason}\n".encode())

    def _reject_busy(self, connection: CallerConnection) -> None:
        self.counters.busy += 1
        connection.respond(503, [("Retry-After", "1")], b"")

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def age_ms(self) -> int:
        """Return how long ago the list was last up to date, in whole milliseconds, rounded up."""
        return max(int(1000 * (asyncio.get_running_loop().time() - self._as_of())) + 1, 0)

    # State

    def close(self) -> None:
        """Close all connections and cancel all timers."""
        self._is_closed = True
        for timer in (self._broadcast_timer, self._staleness_timer):
            if timer is not None:
                timer.cancel()
        for connection in list(self._connections):
            connection.abort()

    def status(self) -> dict[str, object]:
        """Return the list's state, the load and the counters, in the form of the admin API."""
        return {
            "index": self._change_log.index,
            "servers": len(self._change_log),
            "age_ms": self.age_ms() if self._change_log.index is not None else None,
            "ring_entries": self._change_log.ring_entries,
            "connections": self.connection_count,
            "watching": len(self._watchers),
            "snapshots_under_way": self._snapshots.sending_count,
            "snapshots_waiting": self._snapshots.waiting_count,
            "counters": asdict(self.counters),
        }
