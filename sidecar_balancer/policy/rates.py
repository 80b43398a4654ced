"""Rates over a sliding time span, as exponentially decaying counts.  Times are in microseconds."""

from __future__ import annotations

import math


class Rate:
    """The rate of the amounts added over about the last `span_us`; times must not decrease."""

    __slots__ = ("_at", "_count", "_span_us")

    def __init__(self, span_us: float) -> None:
        self._span_us = span_us
        self._count, self._at = 0.0, 0

    def set_span(self, span_us: float) -> None:
        """Change the span, keeping the rate."""
        self._count *= span_us / self._span_us
        self._span_us = span_us

    def add(self, now: int, amount: float) -> None:
        """Add an amount at clock time `now`."""
        self._decay(now)
        self._count += amount

    def per_us(self, now: int) -> float:
        """Return the rate per microsecond at clock time `now`."""
        self._decay(now)
        return self._count / self._span_us

    def count(self, now: int) -> float:
        """Return the decayed count at clock time `now`."""
        self._decay(now)
        return self._count

    def _decay(self, now: int) -> None:
        if now > self._at:
            self._count *= math.exp((self._at - now) / self._span_us)
            self._at = now
