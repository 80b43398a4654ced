"""The balancer's timers: a queue of typed entries that share the single timer run by the caller."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from enum import Enum, unique
from typing import NamedTuple

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import SetTimer

TIMER_TOKEN = "agenda"  # token of the balancer's timer, as in the simulator's protocol


@unique
class TimerKind(Enum):
    """The purpose of a timer entry."""

    REQUEST_DEADLINE = "request_deadline"
    ATTEMPT_OVERDUE = "attempt_overdue"
    DISCOVERY_POLL = "discovery_poll"
    STALL_TICK = "stall_tick"


class TimerEntry(NamedTuple):
    """An entry of the queue; entries due at the same time fire in the order they were scheduled."""

    due_at: int  # clock time in microseconds at which the entry fires
    sequence: int
    kind: TimerKind
    request_id: int | None = None
    attempt_index: int | None = None  # index of the attempt concerned; None: the request as a whole


class TimerQueue:
    """A priority queue of timer entries."""

    def __init__(self, actions: ActionQueue) -> None:
        self._actions = actions
        self._entries: list[TimerEntry] = []
        self._sequence = 0
        self._armed_for: int | None = None  # clock time at which the caller's timer fires

    def schedule(
        self, due_at: int, kind: TimerKind, request_id: int | None = None, attempt_index: int | None = None
    ) -> None:
        """Add an entry, with the request and attempt if its kind concerns one."""
        self._sequence += 1
        heapq.heappush(self._entries, TimerEntry(due_at, self._sequence, kind, request_id, attempt_index))

    def pop_due(self, now: int) -> Iterator[TimerEntry]:
        """Remove and yield the due entries; those scheduled during the iteration wait for the next timer.

        So an entry whose handler schedules another one for the same time can't hold up the caller.
        """
        if self._armed_for is not None and now >= self._armed_for:
            self._armed_for = None
        entries = self._entries
        last_sequence = self._sequence
        while entries and entries[0].due_at <= now and entries[0].sequence <= last_sequence:
            yield heapq.heappop(entries)

    def arm(self, now: int, is_obsolete: Callable[[TimerEntry], bool]) -> None:
        """Drop obsolete entries from the front; set a timer if the next entry is due before the armed one."""
        entries = self._entries
        while entries and is_obsolete(entries[0]):
            heapq.heappop(entries)
        if not entries:
            return
        due_at = entries[0][0]
        if self._armed_for is None or due_at < self._armed_for:
            self._armed_for = due_at
            self._actions.append(SetTimer(max(due_at - now, 0), TIMER_TOKEN))
