"""Types of the datagrams between sidecars: messages, updates, their wire numbers and bounds."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from sidecar_balancer.lease.fencing import FencedCommand

DATAGRAM_MAX_BYTES = 256  # PROTOCOL, "Between sidecars": a longer one makes the run invalid
MEMBERS_MAX = 1024
NAME_MAX_BYTES = 64  # maximum length of the name of a server, zone or tenant
UPDATES_MAX = 16  # maximum number of updates per datagram
VERDICT_TTL_MAX_MS = 60_000
EVIDENCE_MAX = 1 << 20
SERVICE_CLASSES_MAX = 256
RELATIVE_LATENCY_MAX_PERCENT = 10_000
LEASES_MAX = 16
UINT8_MAX = (1 << 8) - 1
UINT32_MAX = (1 << 32) - 1
NO_ARGUMENT = -1


class DatagramKind(enum.IntEnum):
    """Kinds of messages, by their numbers on the wire."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # asks the receiver to ping another member for the sender
    DIRECT = 3  # updates for the receiver only
    STATE_REQUEST = 4
    STATE_PART = 5


class MemberStatus(enum.IntEnum):
    """SWIM status of a member; at equal incarnations the higher number prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class WireVerdict(enum.IntEnum):
    """Numbers of verdicts, disabled servers and tenants' demand in a datagram."""

    EJECTED = 0
    SLOW = 1
    REJECTING = 2
    CLEARED = 3
    FAILING = 4
    DISABLED = 5
    ZONE_EVACUATED = 6
    DEMAND = 7
    ZONE_RECOVERED = 8


class VerdictScope(enum.IntEnum):
    """Scope of a verdict that is not on one service class (those are numbered from 0)."""

    ALL_CLASSES = -1  # a server, for all service classes
    DISABLED_SERVER = -2  # a server, disabled by operators
    ZONE = -3
    TENANT_DEMAND = -4  # a tenant; the evidence is its requests in 100 s


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """SWIM update: `member` has `status` at `incarnation`."""

    member: int
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class VerdictUpdate:
    """A verdict of `origin` on `subject`, valid for `ttl_ms`.

    Its version is the origin's (incarnation, counter).  `scope` is a `VerdictScope` or the
    number of a service class in the settings.
    """

    origin: int
    incarnation: int
    counter: int
    subject: str
    verdict: WireVerdict
    evidence: int
    ttl_ms: int
    scope: int = VerdictScope.ALL_CLASSES


@dataclass(frozen=True, slots=True)
class LeaseUpdate:
    """A message of the lease protocol, for its receiver only; `kind` may be unknown to this version."""

    kind: int
    lease: int
    epoch: int
    request_id: int


@dataclass(frozen=True, slots=True)
class LatencyUpdate:
    """A server's latency in percent of the baseline latency, for a starting member."""

    server: str
    percent: int


Update = MemberUpdate | VerdictUpdate | LeaseUpdate | FencedCommand | LatencyUpdate


@dataclass(frozen=True, slots=True)
class Message:
    """Content of one datagram.

    `incarnation` is the sender's.  `sequence` numbers a probe and is echoed by its ack; in a STATE_PART it is
    the part's index.  `argument` is the member to ping in a PING_REQ and the number of parts in a STATE_PART.
    """

    kind: DatagramKind
    incarnation: int
    sequence: int
    argument: int = NO_ARGUMENT
    updates: tuple[Update, ...] = ()


class OutgoingMessage(NamedTuple):
    """A message and the number of the member to send it to."""

    target: int
    message: Message


class DirectUpdate(NamedTuple):
    """An update for one member only."""

    target: int
    update: LeaseUpdate


class Datagram(NamedTuple):
    """Encoded message and the number of the member to send it to."""

    target: int
    data: bytes
