"""Plain types shared by the balancer's events, actions and components."""

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
    """Kind of an endpoint list, or reason for its absence."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "snapshot"  # complete: servers without an entry are removed
    CACHED = "cached"  # complete, stored before a restart
    FAILED = "failed"  # a call failed or the watch broke; no entries
    TIMED_OUT = "timed_out"  # a watch got no answer within its wait time; no entries
    SOURCE_CHANGED = "source_changed"  # discovery has a different address from now on; no entries


@unique
class Outcome(Enum):
    """Result of an attempt."""

    DELIVERED = "delivered"
    APPLICATION_ERROR = "application_error"
    INVALID_REQUEST = "invalid_request"  # a fault of the request, not of the server
    REJECTED = "rejected"  # the server is at capacity
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


@unique
class ServerVerdict(Enum):
    """Verdict of a balancer on a server, for one class of requests or all."""

    EJECTED = "ejected"
    SLOW = "slow"
    REJECTING = "full"  # the server rejects a class of requests
    FAILING = "failing"  # the server fails a class of requests
    CLEARED = "cleared"  # an earlier verdict no longer holds


@unique
class ZoneVerdict(Enum):
    """Verdict of a balancer on a zone as a whole."""

    EVACUATED = "evacuated"
    RECOVERED = "recovered"


@unique
class ZoneOverride(Enum):
    """Operators' override of a zone."""

    DRAIN = "drain"  # the zone gets no new requests
    NEVER_EVACUATE = "pin"  # the zone stays in use, whatever fails there


class Flow(NamedTuple):
    """Requests of one class and tenant."""

    service_class: str
    tenant: str | None
