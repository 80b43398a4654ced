"""The retry budget: how many attempts may be made beyond the first ones."""

from __future__ import annotations

RETRIES_PER_REQUEST_RATIO = 0.2  # prevents retry storms
SAVED_REQUESTS_MAX = 50.0  # requests whose allowance may be saved up


class RetryBudget:
    """A token bucket that each new request fills a little."""

    def __init__(self) -> None:
        self._tokens = RETRIES_PER_REQUEST_RATIO * SAVED_REQUESTS_MAX / 2

    def request_received(self) -> None:
        """Add the allowance of a new request."""
        self._tokens = min(
            self._tokens + RETRIES_PER_REQUEST_RATIO, RETRIES_PER_REQUEST_RATIO * SAVED_REQUESTS_MAX
        )

    def has_token(self) -> bool:
        """Whether another attempt may be made."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take the token of an attempt."""
        self._tokens -= 1.0
