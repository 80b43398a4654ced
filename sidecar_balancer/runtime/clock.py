"""The clock of one process, in whole microseconds."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Unix time in microseconds, anchored once: monotonic, and comparable with the list's start times."""

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self._turn_time_us: int | None = None

    def now(self) -> int:
        """Return the current time in microseconds."""
        return time.monotonic_ns() // 1000 + self._offset_us

    def step(self) -> int:
        """Return the time of the event loop's current turn in microseconds, one for all of its input.

        After a stall, input of one turn came at unknown times; equal times keep the balancer from learning
        from them.
        """
        if self._turn_time_us is None:
            self._turn_time_us = self.now()
            asyncio.get_running_loop().call_soon(self._end_turn)  # before the input of the next turn
        return self._turn_time_us

    def _end_turn(self) -> None:
        self._turn_time_us = None

    def on_loop(self, at_us: int) -> float:
        """Convert a time of this clock to seconds on the event loop's clock."""
        return (at_us - self._offset_us) / 1e6
