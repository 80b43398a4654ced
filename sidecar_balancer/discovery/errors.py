"""Errors of discovery: failed requests to a source and malformed responses."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base class of the errors of this package."""


class MalformedListError(DiscoveryError, ValueError):
    """A body that is not an endpoint list; the message says what is wrong."""


class MalformedEntryError(DiscoveryError, ValueError):
    """A list entry with a member of the wrong type or out of range."""


class MalformedAgeError(DiscoveryError, ValueError):
    """An age header that is not a number of milliseconds."""


class SourceDisconnectedError(DiscoveryError, ConnectionResetError):
    """The connection to a source broke before its response was complete."""


class SourceStatusError(DiscoveryError, ConnectionRefusedError):
    """A source responded with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status
