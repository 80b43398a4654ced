"""Datagrams between sidecars: msgpack, versioned, at most `DATAGRAM_MOST` bytes, every field checked.

A datagram is the msgpack array `[VERSION, kind, incarnation, seq, target, updates]`:

- `kind`: `Kind` (ping, ack, ping-req; direct: updates for the receiver alone; state-ask and state: what a
  member that starts asks of its peers, and one part of the answer);
- `incarnation`: the sender's own incarnation number (0 .. 2**32-1);
- `seq`: the probe's sequence number (0 .. 2**32-1), echoed by the ack; of a state its number among `target`;
- `target`: for ping-req the member to probe (its number in `peers`), for a state how many there are, else -1;
- `updates`: each `[0, member, incarnation, status]` (membership),
  `[1, origin, incarnation, counter, subject, slot, verdict, evidence, ttl_ms]` (see `VerdictUpdate`),
  `[2, kind, duty, epoch, ask]` (a lease's message), `[3, duty, token, counter, subject, verb]` (an act of
  a duty's holder) or `[4, server, pace]` (a server's learned pace, in hundredths of the usual).

Anything else raises `MalformedDatagramError`: the receiver drops it and counts it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

import msgpack  # type: ignore[import-untyped]

VERSION = 2
DATAGRAM_MOST = 256  # bytes, PROTOCOL "Between sidecars": a longer one voids the run
MEMBERS_MOST = 1024  # numbers of members are below this
SERVER_NAME_MOST = 64  # bytes of a server's name
UPDATES_MOST = 16  # in one datagram
TTL_MOST_MS = 60_000  # no verdict is held longer than this
EVIDENCE_MOST = 1 << 20
ALL_CLASSES, BAN, ZONE, ASKED = -1, -2, -3, -4  # slots that are no class's number
CLASSES_MOST = 256
PACE_MOST = 10_000  # hundredths
DUTIES_MOST = 16
_WORD = 1 << 32


class Kind(enum.IntEnum):
    PING = 0
    ACK = 1
    PING_REQ = 2
    DIRECT = 3
    STATE_ASK = 4
    STATE = 5


class Status(enum.IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class WireVerdict(enum.IntEnum):
    """The numbers that stand for verdicts, disabled servers and tenants' demand in a datagram."""

    EJECTED = 0
    SLOW = 1
    REJECTING = 2
    CLEARED = 3
    FAILING = 4
    DISABLED = 5
    ZONE_EVACUATED = 6
    DEMAND = 7
    ZONE_RECOVERED = 8


VERDICT_NAMES = {  # in the admin API
    WireVerdict.EJECTED: "ejected",
    WireVerdict.SLOW: "slow",
    WireVerdict.REJECTING: "full",
    WireVerdict.CLEARED: "cleared",
    WireVerdict.FAILING: "failing",
    WireVerdict.DISABLED: "banned",
    WireVerdict.ZONE_EVACUATED: "zone_left",
    WireVerdict.DEMAND: "asks",
    WireVerdict.ZONE_RECOVERED: "zone_back",
}


class MalformedDatagramError(ValueError):
    """A datagram that is not one of ours, or is out of bounds."""


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """SWIM rumour: `member` is `status` at `incarnation`."""

    member: int
    incarnation: int
    status: Status


@dataclass(frozen=True, slots=True)
class VerdictUpdate:
    """A verdict of `origin` on `server`, versioned by the origin's (incarnation, counter); lives `ttl_ms`.

    `slot` says what of it: a class of requests by its number in the settings, ALL_CLASSES, BAN (the
    operators'), ZONE (`server` is a zone's name) or ASKED (a tenant's name; `evidence` is requests a hundred
    seconds).
    """

    origin: int
    incarnation: int
    counter: int
    server: str
    verdict: WireVerdict
    evidence: int
    ttl_ms: int
    slot: int = ALL_CLASSES


@dataclass(frozen=True, slots=True)
class LeaseUpdate:
    """A message of the lease protocol (sidecar_balancer/lease/protocol.py), for its receiver alone."""

    kind: int
    duty: int
    epoch: int
    ask: int


@dataclass(frozen=True, slots=True)
class ActUpdate:
    """An act of the holder of a duty, under its fencing token; `counter` numbers the token's acts."""

    duty: int
    token: int
    counter: int
    subject: str
    verb: int


@dataclass(frozen=True, slots=True)
class FactUpdate:
    """What a peer learned of a server, for a member that starts: its pace in hundredths of the usual time."""

    server: str
    pace: int


Update = MemberUpdate | VerdictUpdate | LeaseUpdate | ActUpdate | FactUpdate


@dataclass(frozen=True, slots=True)
class Message:
    kind: Kind
    incarnation: int
    seq: int
    target: int = -1
    updates: tuple[Update, ...] = ()


def encode(message: Message, extra: list[Update] | None = None) -> tuple[bytes, int]:
    """Pack `message` and as many of `extra` as fit in `DATAGRAM_MOST` bytes; give bytes and how many fit."""
    head = [VERSION, int(message.kind), message.incarnation, message.seq, message.target]
    updates = [flat(each) for each in message.updates]
    data = msgpack.packb([*head, updates])
    if len(data) > DATAGRAM_MOST:
        raise ValueError("the message alone is over the datagram's size")
    taken = 0
    for each in (extra or [])[: UPDATES_MOST - len(updates)]:
        updates.append(flat(each))
        longer = msgpack.packb([*head, updates])
        if len(longer) > DATAGRAM_MOST:
            updates.pop()
            break
        data, taken = longer, taken + 1
    return data, taken


def flat(update: Update) -> list[Any]:
    """An update as the list that a datagram carries."""
    match update:
        case MemberUpdate():
            return [0, update.member, update.incarnation, int(update.status)]
        case LeaseUpdate():
            return [2, update.kind, update.duty, update.epoch, update.ask]
        case ActUpdate():
            return [3, update.duty, update.token, update.counter, update.subject, update.verb]
        case FactUpdate():
            return [4, update.server, update.pace]
    version = [update.origin, update.incarnation, update.counter]
    return [1, *version, update.server, update.slot, int(update.verdict), update.evidence, update.ttl_ms]


def decode(data: bytes) -> Message:
    """Read one datagram; raise `MalformedDatagramError` for anything but a well-formed message."""
    if len(data) > DATAGRAM_MOST:
        raise MalformedDatagramError(f"{len(data)} bytes, over {DATAGRAM_MOST}")
    try:
        value = msgpack.unpackb(
            data,
            max_str_len=SERVER_NAME_MOST,
            max_bin_len=0,
            max_array_len=UPDATES_MOST + 8,
            max_map_len=0,
            max_ext_len=0,
            strict_map_key=True,
        )
    except Exception as bad:  # msgpack raises several kinds; all mean the same here
        raise MalformedDatagramError(f"not msgpack: {type(bad).__name__}") from None
    if not isinstance(value, list) or len(value) != 6:
        raise MalformedDatagramError("not a message")
    version, kind, incarnation, seq, target, updates = value
    if version != VERSION:
        raise MalformedDatagramError(f"version {version!r:.20}")
    if not isinstance(updates, list):
        raise MalformedDatagramError("updates: a list is needed")
    return Message(
        Kind(_whole(kind, 0, len(Kind) - 1, "kind")),
        _whole(incarnation, 0, _WORD - 1, "incarnation"),
        _whole(seq, 0, _WORD - 1, "seq"),
        _whole(target, -1, MEMBERS_MOST - 1, "target"),
        tuple(update_from(each) for each in updates),
    )


def update_from(value: Any) -> Update:
    """An update from the list that a datagram carries; raise `MalformedDatagramError`."""
    if not isinstance(value, list) or not value or type(value[0]) is not int:
        raise MalformedDatagramError("update: a list is needed")
    reader = _READERS.get((value[0], len(value)))
    if reader is None:
        raise MalformedDatagramError("update: unknown kind")
    return reader(value)


def _member(value: list[Any]) -> Update:
    _, member, incarnation, status = value
    return MemberUpdate(
        _whole(member, 0, MEMBERS_MOST - 1, "member"),
        _whole(incarnation, 0, _WORD - 1, "incarnation"),
        Status(_whole(status, 0, len(Status) - 1, "status")),
    )


def _verdict(value: list[Any]) -> Update:
    _, origin, incarnation, counter, server, slot, verdict, evidence, ttl_ms = value
    return VerdictUpdate(
        _whole(origin, 0, MEMBERS_MOST - 1, "origin"),
        _whole(incarnation, 0, _WORD - 1, "incarnation"),
        _whole(counter, 0, _WORD - 1, "counter"),
        _name(server),
        WireVerdict(_whole(verdict, 0, len(WireVerdict) - 1, "verdict")),
        _whole(evidence, 0, EVIDENCE_MOST, "evidence"),
        _whole(ttl_ms, 1, TTL_MOST_MS, "ttl_ms"),
        _whole(slot, ASKED, CLASSES_MOST - 1, "slot"),
    )


def _lease(value: list[Any]) -> Update:
    _, kind, duty, epoch, ask = value
    return LeaseUpdate(
        _whole(kind, 0, 255, "kind"),
        _whole(duty, 0, DUTIES_MOST - 1, "duty"),
        _whole(epoch, 0, _WORD - 1, "epoch"),
        _whole(ask, 0, _WORD - 1, "ask"),
    )


def _act(value: list[Any]) -> Update:
    _, duty, token, counter, subject, verb = value
    return ActUpdate(
        _whole(duty, 0, DUTIES_MOST - 1, "duty"),
        _whole(token, 1, _WORD - 1, "token"),
        _whole(counter, 0, _WORD - 1, "counter"),
        _name(subject, empty=True),
        _whole(verb, 0, 255, "verb"),
    )


def _fact(value: list[Any]) -> Update:
    return FactUpdate(_name(value[1]), _whole(value[2], 1, PACE_MOST, "pace"))


_READERS = {(0, 4): _member, (1, 9): _verdict, (2, 5): _lease, (3, 6): _act, (4, 3): _fact}


def _name(value: Any, empty: bool = False) -> str:
    if not isinstance(value, str) or not (value or empty):
        raise MalformedDatagramError("a name is needed")
    return value


def _whole(value: Any, low: int, high: int, name: str) -> int:
    if type(value) is not int or not low <= value <= high:
        raise MalformedDatagramError(f"{name}: a whole number in {low}..{high} is needed")
    return value
