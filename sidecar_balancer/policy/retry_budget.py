"""The retry budget, which limits the attempts beyond the first one of each request."""

from __future__ import annotations

RETRIES_PER_REQUEST_RATIO = 0.2  # tokens added per new request; prevents retry storms
SAVED_REQUESTS_MAX = 50.0  # capacity of the bucket: the tokens of this many requests


class RetryBudget:
    """A token bucket that new requests refill."""

    def __init__(self) -> None:
        self._tokens = RETRIES_PER_REQUEST_RATIO * SAVED_REQUESTS_MAX / 2

    def request_received(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(
            self._tokens + RETRIES_PER_REQUEST_RATIO, RETRIES_PER_REQUEST_RATIO * SAVED_REQUESTS_MAX
        )

    def has_token(self) -> bool:
        """Return whether the budget permits another attempt."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take the token of an attempt."""
        self._tokens -= 1.0
