"""Passing of events to the balancer and execution of its actions, without awaiting in between."""

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

_WAKE_AFTER_EXCEPTION_S = 0.05  # delay of the wake-up without which due actions would wait for the next event


class Engine:
    """The balancer of one process, its clock, and the executors of its actions.

    Attributes:
        clock: The balancer's clock.
        balancer: The balancer.
        executors: The function that executes an action, by the action's type.
        on_exception: Called when the balancer or an executor has raised an exception, with the request that
            the event or action refers to, if any.
    """

    def __init__(self, settings: Settings, seed: int, timers: Timers) -> None:
        """Create the balancer; `timers` schedule its timer events."""
        self.clock = Clock()
        self.balancer = Balancer(settings, seed)
        self.executors: dict[type[Any], Callable[[Any], None]] = {SetTimer: self._set_timer}
        self.on_exception: Callable[[int | None], None] | None = None
        self._timers = timers
        self._events: deque[Event] = deque()
        self._is_handling = False

    def handle(self, event: Event) -> None:
        """Pass an event to the balancer, then the events that its actions cause, in order."""
        self._events.append(event)
        self._handle_queued()

    @contextlib.contextmanager
    def handle_first(self, event: Event) -> Iterator[None]:
        """Pass an event to the balancer after the block, ahead of the events that the block causes."""
        was_handling, self._is_handling = self._is_handling, True
        self._events.append(event)
        try:
            yield
        finally:
            self._is_handling = was_handling
        self._handle_queued()

    def _handle_queued(self) -> None:
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle_one(self, event: Event) -> None:
        actions_before = self.balancer.actions
        try:
            actions: Sequence[Action] = self.balancer.handle(self.clock.turn_time(), event)
        except Exception:
            log.exception("balancer raised an exception on %.200r", event, extra={"event": "balancer_failed"})
            # The balancer's state assumes that the actions decided before the exception are executed.
            actions = self.balancer.actions if self.balancer.actions is not actions_before else []
            self._timers.call_later(_WAKE_AFTER_EXCEPTION_S, self.handle, TimerFired("agenda"))
            self.execute(actions)
            self._report_exception(event)
        else:
            self.execute(actions)

    def execute(self, actions: Sequence[Action]) -> None:
        """Execute actions in order; an exception in one does not prevent the others."""
        for action in actions:
            try:
                self.executors[type(action)](action)
            except Exception:
                log.exception("failed to execute %.200r", action, extra={"event": "action_failed"})
                self._report_exception(action)

    def _report_exception(self, subject: Event | Action) -> None:
        if self.on_exception is not None:
            self.on_exception(getattr(subject, "request", None))

    def _set_timer(self, action: SetTimer) -> None:
        self._timers.call_later(action.delay_us / 1e6, self.handle, TimerFired(action.token))
