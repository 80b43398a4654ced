"""Errors of discovery: what a source answers, and the lists it sends."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of the errors of this package."""


class MalformedListError(DiscoveryError, ValueError):
    """A body that is no endpoint list; the message names the part that is wrong."""


class MalformedEntryError(DiscoveryError, ValueError):
    """An entry of a list with a member of the wrong type or range."""


class MalformedAgeError(DiscoveryError, ValueError):
    """A source's age header that is no number of milliseconds."""


class SourceDisconnectedError(DiscoveryError, ConnectionResetError):
    """The connection to a source broke before its response was complete."""


class SourceStatusError(DiscoveryError, ConnectionRefusedError):
    """A source answered with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status
