"""The timers of one run: none of them outlasts it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from functools import partial


class Timers:
    """Calls things later, until `close`."""

    def __init__(self) -> None:
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._numbers = itertools.count()
        self._is_closed = False

    def later(self, wait_s: float, call: Callable[..., None], *about: object) -> None:
        """Call after this wait, unless the run has ended by then."""
        if self._is_closed:
            return
        number = next(self._numbers)
        run = partial(self._timer_due, number, call, *about)
        self._timers[number] = asyncio.get_running_loop().call_later(wait_s, run)

    def every(self, wait_s: float, call: Callable[[], None]) -> None:
        """Call now and after each such wait; planned first, so that a defect in one call ends no other."""
        self.later(wait_s, self.every, wait_s, call)
        call()

    def _timer_due(self, number: int, call: Callable[..., None], *about: object) -> None:
        del self._timers[number]
        call(*about)

    def close(self) -> None:
        """Cancel what is planned, and plan nothing any more."""
        self._is_closed = True
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
