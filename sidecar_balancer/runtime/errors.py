"""Errors that are reported to the client with an HTTP status."""

from __future__ import annotations


class RequestError(Exception):
    """A request is rejected with an HTTP status.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create an error with the status and the reason that are sent to the client."""
        super().__init__(reason)
        self.status = status
