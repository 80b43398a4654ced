"""The clock of one process, in whole microseconds."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Monotonic Unix time in microseconds.

    Its offset from the monotonic clock is set once, so that times are comparable with the start times in the
    endpoint list.
    """

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self._turn_time_us: int | None = None

    def now(self) -> int:
        """Return the current time in microseconds."""
        return time.monotonic_ns() // 1000 + self._offset_us

    def turn_time(self) -> int:
        """Return the time of the event loop's current turn in microseconds, the same for all of its input.

        After a stall, the input of one turn arrived at unknown times; equal times keep the balancer from
        learning from them.
        """
        if self._turn_time_us is None:
            self._turn_time_us = self.now()
            asyncio.get_running_loop().call_soon(self._end_turn)  # runs before the input of the next turn
        return self._turn_time_us

    def _end_turn(self) -> None:
        self._turn_time_us = None

    def to_loop_time(self, at_us: int) -> float:
        """Convert a time of this clock to seconds on the event loop's clock."""
        return (at_us - self._offset_us) / 1e6
