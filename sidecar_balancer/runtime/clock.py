"""The clock of one process: what the module and discovery count in."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Microseconds of Unix time, anchored once: monotonic, and comparable with discovery's `since_ms`."""

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self._step: int | None = None

    def now(self) -> int:
        return time.monotonic_ns() // 1000 + self._offset_us

    def step(self) -> int:
        """The time of this step of the event loop, one for all that the loop found at once.

        The balancer tells by it what came together: after a stall, it learns nothing from such times.
        """
        if self._step is None:
            self._step = self.now()
            asyncio.get_running_loop().call_soon(self._next_step)  # before what the next step finds
        return self._step

    def _next_step(self) -> None:
        self._step = None

    def on_loop(self, at_us: int) -> float:
        """A clock time as the event loop counts it."""
        return (at_us - self._offset_us) / 1e6
