"""Hands events to the balancer and has its actions carried out.  Nothing is awaited between the two."""

from __future__ import annotations

import contextlib
import logging
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from sidecar_balancer.policy.actions import Action, SetTimer
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import Event, TimerFired
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.runtime.clock import Clock
from sidecar_balancer.runtime.timers import Timers

log = logging.getLogger(__name__)

_RETRY_AFTER_DEFECT_S = 0.05  # when the module is woken after it failed on an event


class Engine:
    """The module of one run, its clock, and who carries out its actions.

    `executors` holds a callable for each kind of action.  A defect in the module or in an executor is logged,
    and `give_up` is told of the request that it was about, if any.
    """

    def __init__(self, settings: Settings, seed: int, timers: Timers) -> None:
        self.clock = Clock()
        self.balancer = Balancer(settings, seed)
        self.executors: dict[type[Any], Callable[[Any], None]] = {SetTimer: self._set_timer}
        self.on_defect: Callable[[int | None], None] = lambda _: None
        self._timers = timers
        self._events: deque[Event] = deque()
        self._handling = False

    def handle(self, event: Event) -> None:
        """Give the module an event, and those that its actions cause, in order."""
        self._events.append(event)
        self._handle_queued()

    @contextlib.contextmanager
    def handle_first(self, event: Event) -> Iterator[None]:
        """Have the module hear an event before those of what ends within the block that goes with it."""
        handling, self._handling = self._handling, True
        self._events.append(event)
        try:
            yield
        finally:
            self._handling = handling
        self._handle_queued()

    def _handle_queued(self) -> None:
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._handling = False

    def _handle_one(self, event: Event) -> None:
        before = self.balancer.actions
        try:
            actions: Sequence[Action] = self.balancer.handle(self.clock.step(), event)
        except Exception:
            log.exception("the balancer failed on %.200r", event)
            # What it had decided by then it counts on; what else was due must not wait for another event.
            actions = self.balancer.actions if self.balancer.actions is not before else []
            self._timers.later(_RETRY_AFTER_DEFECT_S, self.handle, TimerFired("agenda"))
            self.execute(actions)
            self.on_defect(getattr(event, "request", None))
        else:
            self.execute(actions)

    def execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            try:
                self.executors[type(action)](action)
            except Exception:
                log.exception("could not carry out %.200r", action)
                self.on_defect(getattr(action, "request", None))

    def _set_timer(self, action: SetTimer) -> None:
        self._timers.later(action.in_us / 1e6, self.handle, TimerFired(action.token))
