"""Errors of the relay."""

from __future__ import annotations

from sidecar_balancer.admin.server import RequestRejectedError


class RelayError(Exception):
    """Base class of the errors of this package."""


class RelayRequestError(RelayError, RequestRejectedError):
    """A request that is malformed or late; its status and message are sent to the caller."""


class NotServingError(RelayError):
    """The relay has no listening socket yet."""
