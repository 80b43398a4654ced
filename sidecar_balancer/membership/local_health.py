"""Lifeguard's local health: a member that misses acks stretches its timeouts, so that it suspects less."""

from __future__ import annotations

_US_PER_MS = 1000


class LocalHealth:
    """A score from 0 (healthy) to `score_max`; timeouts are stretched by score + 1."""

    def __init__(self, score_max: int) -> None:
        self.score = 0
        self._score_max = score_max

    def worsen(self) -> None:
        """Note a probe without an ack, or a refuted suspicion of this member."""
        self.score = min(self.score + 1, self._score_max)

    def improve(self) -> None:
        """Note an ack."""
        self.score = max(self.score - 1, 0)

    def stretched_us(self, span_ms: int) -> int:
        """A timeout of `span_ms` at the present score, in µs."""
        return span_ms * (self.score + 1) * _US_PER_MS
