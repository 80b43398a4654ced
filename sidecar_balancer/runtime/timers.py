"""Timers with one owner, which cancels all of them at its end."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from functools import partial


class Timers:
    """Schedules calls until `close`."""

    def __init__(self) -> None:
        self._handles: dict[int, asyncio.TimerHandle] = {}
        self._numbers = itertools.count()
        self._is_closed = False

    def later(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call after a delay in seconds; not at all once the timers are closed."""
        if self._is_closed:
            return
        number = next(self._numbers)
        run = partial(self._run, number, callback, *arguments)
        self._handles[number] = asyncio.get_running_loop().call_later(delay_s, run)

    def every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call now and after each interval; an error in one call doesn't prevent the next."""
        self.later(interval_s, self.every, interval_s, callback)
        callback()

    def _run(self, number: int, callback: Callable[..., None], *arguments: object) -> None:
        del self._handles[number]
        callback(*arguments)

    def close(self) -> None:
        """Cancel what is scheduled, and schedule nothing any more."""
        self._is_closed = True
        for handle in self._handles.values():
            handle.cancel()
        self._handles.clear()
