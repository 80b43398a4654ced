"""The relay's answers: who waits for changes, who for a whole list, and how old the news is said to be."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass

from sidecar_balancer.admin.server import RequestRejectedError
from sidecar_balancer.discovery.client import AGE_HEADER, TAG_HEADER
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.sources import STALE_AFTER_S
from sidecar_balancer.relay.caller import Caller, Headers
from sidecar_balancer.relay.changelog import ChangeLog
from sidecar_balancer.relay.requests import ListCall

log = logging.getLogger(__name__)

SNAPSHOT_WAIT_S = 1.5  # how long a caller waits for its turn for a whole list; then it is sent elsewhere
CATCH_UP_S = 1.0  # how long a caller with newer news than this relay's waits for it to catch up
BROADCAST_EVERY_S = 0.2  # changes that come faster go out together
_BROADCAST_STEP = 64  # callers answered in one step of the event loop


@dataclass(slots=True)
class Counters:
    """What the relay did since its start."""

    calls: int = 0
    unchanged: int = 0
    deltas: int = 0
    snapshots: int = 0
    not_ready: int = 0  # answered 503: no list yet, or behind its caller
    busy: int = 0  # answered 503: too many whole lists were wanted at once
    rejected: int = 0  # no proper calls
    over_capacity: int = 0  # connections closed unread
    too_slow: int = 0  # callers that did not read their answer in time
    bytes_out: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of a relay's work; from its configuration."""

    connections: int = 2048
    snapshots: int = 8  # whole lists under way at a time


class RelayService:
    """Answers callers from a change log.  It implements `CallHandler`."""

    def __init__(self, changelog: ChangeLog, limits: Limits, as_of: Callable[[], float]) -> None:
        """`as_of` tells when the list was current last, on the event loop's clock."""
        self._log = changelog
        self._limits = limits
        self._as_of = as_of
        self.counters = Counters()
        self._callers: set[Caller] = set()
        self._unasked: dict[Caller, None] = {}  # of these, whose call has not come, the oldest first
        self._watchers: dict[Caller, ListCall] = {}
        self._lagging: dict[Caller, tuple[ListCall, float]] = {}  # and as of when its caller's list is
        self._queue: deque[Caller] = deque()  # for a whole list
        self._sending: set[Caller] = set()  # a whole list
        self._broadcast: asyncio.TimerHandle | None = None
        self._broadcast_at = 0.0
        self._staleness: asyncio.TimerHandle | None = None
        self._is_closed = False

    # -- What comes from discovery ------------------------------------------------------------------------

    def update(self, update: ListUpdate) -> None:
        """Take an answer of discovery: tell those who wait, now or with what comes next."""
        if self._log.apply(update):
            self._plan_broadcast()
        self._recheck_lagging()
        self._plan_staleness()

    def _plan_broadcast(self) -> None:
        if self._broadcast is None and not self._is_closed:
            loop = asyncio.get_running_loop()
            due = max(self._broadcast_at + BROADCAST_EVERY_S, loop.time())
            self._broadcast = loop.call_at(due, self._start_broadcast)

    def _start_broadcast(self) -> None:
        self._broadcast = None
        self._broadcast_at = asyncio.get_running_loop().time()
        self._answer_watchers()

    def _answer_watchers(self) -> None:
        self._answer_in_steps(deque(self._watchers))

    def _answer_in_steps(self, callers: deque[Caller]) -> None:
        """Answer those who still wait, some in each step: other callers must have their turn."""
        for _ in range(min(_BROADCAST_STEP, len(callers))):
            caller = callers.popleft()
            if (call := self._watchers.pop(caller, None)) is not None:
                self._answer(caller, call)
        if callers and not self._is_closed:
            asyncio.get_running_loop().call_soon(self._answer_in_steps, callers)

    def _plan_staleness(self) -> None:
        """When nothing more is heard, those who wait are told so: they may know a fresher relay."""
        if self._staleness is not None:
            self._staleness.cancel()
        if not self._is_closed:
            due = self._as_of() + STALE_AFTER_S + 0.001
            self._staleness = asyncio.get_running_loop().call_at(due, self._answer_watchers)

    # -- Callers ------------------------------------------------------------------------------------------

    def connected(self, caller: Caller) -> bool:
        """Take a connection; beyond the bound the oldest that has asked nothing makes room, or none does."""
        if len(self._callers) >= self._limits.connections:
            self.counters.over_capacity += 1
            if not self._unasked:
                return False
            next(iter(self._unasked)).abort()
        self._callers.add(caller)
        self._unasked[caller] = None
        return True

    def called(self, caller: Caller, call: ListCall | None) -> None:
        self._unasked.pop(caller, None)
        if call is None:
            ready = self._log.index is not None
            caller.answer(200 if ready else 503, [], b"")
            return
        self.counters.calls += 1
        if self._log.index is None:
            self._decline(caller, "no list was heard yet")
        else:
            self._take(caller, call)

    def _take(self, caller: Caller, call: ListCall) -> None:
        revision = self._log.revision_of(call.tag, call.after) if call.after is not None else None
        loop = asyncio.get_running_loop()
        if revision is None:
            caller_as_of = loop.time() - call.age_s if call.age_s is not None else None
            if caller_as_of is not None and caller_as_of > self._as_of():
                self._lagging[caller] = (call, caller_as_of)
                caller.wait = loop.call_later(CATCH_UP_S, self._give_up_lagging, caller)
            else:
                self._want_snapshot(caller)
        elif not call.wait_ms or (revision < self._log.revision and self._broadcast is None):
            self._answer(caller, call)
        else:
            self._watchers[caller] = call
            caller.wait = loop.call_later(call.wait_ms / 1000, self._end_wait, caller)

    def _end_wait(self, caller: Caller) -> None:
        if (call := self._watchers.pop(caller, None)) is not None:
            self._answer(caller, call)

    def _recheck_lagging(self) -> None:
        as_of = self._as_of()
        for caller, (call, caller_as_of) in list(self._lagging.items()):
            if as_of >= caller_as_of:
                del self._lagging[caller]
                self._cancel_wait(caller)
                self._take(caller, call)

    def _give_up_lagging(self, caller: Caller) -> None:
        if self._lagging.pop(caller, None) is not None:
            self._decline(caller, "this relay is behind")

    def _answer(self, caller: Caller, call: ListCall) -> None:
        """Answer with what changed, or that nothing did."""
        revision = self._log.revision_of(call.tag, call.after)
        if revision is None:  # the ring has moved on meanwhile
            self._want_snapshot(caller)
            return
        if revision == self._log.revision:
            self.counters.unchanged += 1
        else:
            self.counters.deltas += 1
        self._write(caller, self._log.delta(revision))

    def _decline(self, caller: Caller, why: str) -> None:
        self.counters.not_ready += 1
        caller.answer(503, [("Content-Type", "text/plain")], f"{why}\n".encode())

    def _write(self, caller: Caller, body: bytes) -> None:
        self.counters.bytes_out += len(body)
        headers: Headers = [
            ("Content-Type", "application/json"),
            (TAG_HEADER, self._log.tag),
            (AGE_HEADER, str(self.age_ms())),
        ]
        caller.answer(200, headers, body)

    def age_ms(self) -> int:
        """How long ago the list was current last, in whole milliseconds, rounded up."""
        return max(int(1000 * (asyncio.get_running_loop().time() - self._as_of())) + 1, 0)

    # -- Whole lists: bounded in number, the rest wait their turn -----------------------------------------

    def _want_snapshot(self, caller: Caller) -> None:
        if len(self._sending) < self._limits.snapshots:
            self._send_snapshot(caller)
            return
        self._queue.append(caller)
        caller.wait = asyncio.get_running_loop().call_later(SNAPSHOT_WAIT_S, self._give_up_queued, caller)

    def _send_snapshot(self, caller: Caller) -> None:
        self._sending.add(caller)
        self.counters.snapshots += 1
        self._write(caller, self._log.snapshot())

    def _give_up_queued(self, caller: Caller) -> None:
        if caller in self._queue:
            self._queue.remove(caller)
            self.counters.busy += 1
            caller.answer(503, [("Retry-After", "1")], b"")

    # -- Ends ---------------------------------------------------------------------------------------------

    def rejected(self, caller: Caller, bad: RequestRejectedError) -> None:
        self._unasked.pop(caller, None)
        self.counters.rejected += 1
        log.info("a call was refused: %d %.80s", bad.status, bad, extra={"event": "relay_rejected"})

    def dropped(self, caller: Caller) -> None:
        self.counters.too_slow += 1
        log.info("a caller did not read its answer in time", extra={"event": "relay_slow_caller"})

    def lost(self, caller: Caller) -> None:
        self._callers.discard(caller)
        self._unasked.pop(caller, None)
        self._watchers.pop(caller, None)
        self._lagging.pop(caller, None)
        if caller in self._queue:
            self._queue.remove(caller)
        if caller in self._sending:
            self._sending.discard(caller)
            while self._queue and len(self._sending) < self._limits.snapshots:
                following = self._queue.popleft()
                self._cancel_wait(following)
                self._send_snapshot(following)

    @staticmethod
    def _cancel_wait(caller: Caller) -> None:
        if caller.wait is not None:
            caller.wait.cancel()
            caller.wait = None

    def close(self) -> None:
        """End all connections and timers."""
        self._is_closed = True
        for timer in (self._broadcast, self._staleness):
            if timer is not None:
                timer.cancel()
        for caller in list(self._callers):
            caller.abort()

    def status(self) -> dict[str, object]:
        """What the relay knows and bears now, and its counters."""
        return {
            "index": self._log.index,
            "servers": len(self._log),
            "age_ms": self.age_ms() if self._log.index is not None else None,
            "ring_entries": self._log.ring_entries,
            "connections": len(self._callers),
            "watching": len(self._watchers),
            "snapshots_under_way": len(self._sending),
            "snapshots_waiting": len(self._queue),
            "counters": asdict(self.counters),
        }
