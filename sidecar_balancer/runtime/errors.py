"""Errors that are answered with an HTTP status."""

from __future__ import annotations


class RequestError(Exception):
    """A request that is rejected.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Reject with this status, for a reason that the client may read."""
        super().__init__(reason)
        self.status = status
