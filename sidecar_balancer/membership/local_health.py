"""Lifeguard's local health: a member that misses acks lengthens its timeouts, so that it suspects less."""

from __future__ import annotations

_US_PER_MS = 1000


class LocalHealth:
    """Health score from 0 (healthy) to `score_max`; timeouts are multiplied by score + 1."""

    def __init__(self, score_max: int) -> None:
        self.score = 0
        self._score_max = score_max

    def worsen(self) -> None:
        """Raise the score for a probe without an ack, or a refuted suspicion of this member."""
        self.score = min(self.score + 1, self._score_max)

    def improve(self) -> None:
        """Lower the score for an acked probe."""
        self.score = max(self.score - 1, 0)

    def scaled_us(self, duration_ms: int) -> int:
        """Return a timeout of `duration_ms` in µs, multiplied according to the current score."""
        return duration_ms * (self.score + 1) * _US_PER_MS
