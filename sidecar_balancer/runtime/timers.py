"""Timers of one owner, which cancels them all when it closes."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from functools import partial


class Timers:
    """Schedules calls until `close`."""

    def __init__(self) -> None:
        self._handles: dict[int, asyncio.TimerHandle] = {}
        self._next_ids = itertools.count()
        self._is_closed = False

    def call_later(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call after a delay in seconds; has no effect once the timers are closed."""
        if self._is_closed:
            return
        timer_id = next(self._next_ids)
        run = partial(self._run, timer_id, callback, *arguments)
        self._handles[timer_id] = asyncio.get_running_loop().call_later(delay_s, run)

    def call_every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call now and after each interval in seconds; an exception in one call doesn't prevent the next."""
        self.call_later(interval_s, self.call_every, interval_s, callback)
        callback()

    def _run(self, timer_id: int, callback: Callable[..., None], *arguments: object) -> None:
        del self._handles[timer_id]
        callback(*arguments)

    def close(self) -> None:
        """Cancel all scheduled calls and ignore later ones."""
        self._is_closed = True
        for handle in self._handles.values():
            handle.cancel()
        self._handles.clear()
