"""Actions: the output of a balancer, to be carried out in order.

Times are whole microseconds; treat actions as immutable values.
"""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_balancer.policy.types import ServerVerdict, ZoneVerdict


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt; the attempts of a request are numbered from 0 in the order they are sent."""

    request: int
    server: str
    deadline: int  # clock time at which the attempt is abandoned


@dataclass(slots=True)
class Reject:
    """Final answer: rejected; a retry is safe."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have been executed."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired event."""

    delay_us: int
    token: str


@dataclass(slots=True)
class HealthCheck:
    """Check the health of a server."""

    server: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer of the fleet, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list, or end the watch."""

    enabled: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class ApplyDisabledServers:
    """Treat exactly these servers as draining from now on, whatever the endpoint list says."""

    servers: frozenset[str]


@dataclass(slots=True)
class PublishServerVerdict:
    """Publish a changed verdict of this balancer on a server to peers."""

    server: str
    verdict: ServerVerdict
    service_class: str | None = None  # None: all classes
    evidence: int = 1  # number of failures, or answers, that the verdict is based on


@dataclass(slots=True)
class PublishZoneVerdict:
    """Publish to peers that this balancer has evacuated a zone or that the zone has recovered."""

    zone: str
    verdict: ZoneVerdict
    evidence: int = 1  # number of servers whose failures the verdict is based on


@dataclass(slots=True)
class LogEvent:
    """A log line for the operators."""

    text: str
    name: str = ""  # name of the event
    subject: str = ""  # the server or zone concerned


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | HealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | WatchEndpoints
    | FetchEndpoints
    | ApplyDisabledServers
    | PublishServerVerdict
    | PublishZoneVerdict
    | LogEvent
)
