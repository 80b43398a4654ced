"""Plain types that the balancer's events, actions and components share."""

from __future__ import annotations

from enum import Enum, unique
from typing import NamedTuple


@unique
class ServerState(Enum):
    """The state of a server in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@unique
class ListKind(Enum):
    """How an endpoint list is to be read."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "snapshot"  # complete: servers without an entry are removed
    CACHED = "cached"  # complete, as it was before a restart
    FAILED = "failed"  # a call failed or the watch broke; no entries
    TIMED_OUT = "timed_out"  # a watch did not answer within its wait; no entries
    SOURCE_CHANGED = "source_changed"  # discovery has another address from now on; no entries


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    APPLICATION_ERROR = "application_error"
    INVALID_REQUEST = "invalid_request"  # the fault is the request's, not the server's
    REJECTED = "rejected"  # the server is at capacity
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


@unique
class ServerVerdict(Enum):
    """What a balancer holds against a server, for one class of requests or all."""

    EJECTED = "ejected"
    SLOW = "slow"
    REJECTING = "full"  # it rejects a class
    FAILING = "failing"  # it fails a class
    CLEARED = "cleared"  # nothing any more


@unique
class ZoneVerdict(Enum):
    """What a balancer holds against a zone as a whole."""

    EVACUATED = "evacuated"
    RECOVERED = "recovered"


@unique
class ZoneOverride(Enum):
    """What the operators have set for a zone."""

    DRAIN = "drain"  # no new requests
    NEVER_EVACUATE = "pin"  # it stays in use, whatever fails there


class Flow(NamedTuple):
    """Requests of one class and tenant."""

    service_class: str
    tenant: str | None
