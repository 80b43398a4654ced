"""Datagrams between sidecars: msgpack, versioned, at most `DATAGRAM_MOST` bytes, every field checked.

A datagram is the msgpack array `[VERSION, kind, incarnation, seq, target, updates]`:

- `kind`: `Kind` (ping, ack, ping-req);
- `incarnation`: the sender's own incarnation number (0 .. 2**32-1);
- `seq`: the probe's sequence number (0 .. 2**32-1), echoed by the ack;
- `target`: for ping-req the member to probe (its number in `peers`), else -1;
- `updates`: piggybacked gossip, each `[0, member, incarnation, status]` (membership) or
  `[1, origin, incarnation, counter, server, verdict, evidence, ttl_ms]` (a verdict on a server).

Anything else raises `Malformed`: the receiver drops it and counts it.  PROTOCOL caps a datagram at 256 bytes.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

import msgpack  # type: ignore[import-untyped]

VERSION = 1
DATAGRAM_MOST = 256  # bytes, PROTOCOL "Between sidecars": a longer one voids the run
MEMBERS_MOST = 1024  # numbers of members are below this
SERVER_NAME_MOST = 64  # bytes of a server's name
UPDATES_MOST = 16  # in one datagram
TTL_MOST_MS = 60_000  # no verdict is held longer than this
EVIDENCE_MOST = 1 << 16
_WORD = 1 << 32


class Kind(enum.IntEnum):
    PING = 0
    ACK = 1
    PING_REQ = 2


class Status(enum.IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Verdict(enum.IntEnum):
    """What one sidecar holds of a server: ejected after failures, slow, or full."""

    EJECTED = 0
    SLOW = 1
    FULL = 2
    CLEARED = 3  # the origin no longer holds any verdict on it


class Malformed(ValueError):
    """A datagram that is not one of ours, or is out of bounds."""


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """SWIM rumour: `member` is `status` at `incarnation`."""

    member: int
    incarnation: int
    status: Status


@dataclass(frozen=True, slots=True)
class VerdictUpdate:
    """A verdict of `origin` on `server`, versioned by the origin's (incarnation, counter); lives `ttl_ms`."""

    origin: int
    incarnation: int
    counter: int
    server: str
    verdict: Verdict
    evidence: int
    ttl_ms: int


Update = MemberUpdate | VerdictUpdate


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
    if isinstance(update, MemberUpdate):
        return [0, update.member, update.incarnation, int(update.status)]
    return [
        1,
        update.origin,
        update.incarnation,
        update.counter,
        update.server,
        int(update.verdict),
        update.evidence,
        update.ttl_ms,
    ]


def decode(data: bytes) -> Message:
    """Read one datagram; raise `Malformed` for anything that is not a well-formed message of this version."""
    if len(data) > DATAGRAM_MOST:
        raise Malformed(f"{len(data)} bytes, over {DATAGRAM_MOST}")
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
        raise Malformed(f"not msgpack: {type(bad).__name__}") from None
    if not isinstance(value, list) or len(value) != 6:
        raise Malformed("not a message")
    version, kind, incarnation, seq, target, updates = value
    if version != VERSION:
        raise Malformed(f"version {version!r:.20}")
    if not isinstance(updates, list):
        raise Malformed("updates: a list is needed")
    return Message(
        Kind(_whole(kind, 0, len(Kind) - 1, "kind")),
        _whole(incarnation, 0, _WORD - 1, "incarnation"),
        _whole(seq, 0, _WORD - 1, "seq"),
        _whole(target, -1, MEMBERS_MOST - 1, "target"),
        tuple(update_from(each) for each in updates),
    )


def update_from(value: Any) -> Update:
    """An update from the list that a datagram carries; raise `Malformed`."""
    if not isinstance(value, list) or not value:
        raise Malformed("update: a list is needed")
    if value[0] == 0 and len(value) == 4:
        _, member, incarnation, status = value
        return MemberUpdate(
            _whole(member, 0, MEMBERS_MOST - 1, "member"),
            _whole(incarnation, 0, _WORD - 1, "incarnation"),
            Status(_whole(status, 0, len(Status) - 1, "status")),
        )
    if value[0] == 1 and len(value) == 8:
        _, origin, incarnation, counter, server, verdict, evidence, ttl_ms = value
        if not isinstance(server, str) or not server:
            raise Malformed("server: a name is needed")
        return VerdictUpdate(
            _whole(origin, 0, MEMBERS_MOST - 1, "origin"),
            _whole(incarnation, 0, _WORD - 1, "incarnation"),
            _whole(counter, 0, _WORD - 1, "counter"),
            server,
            Verdict(_whole(verdict, 0, len(Verdict) - 1, "verdict")),
            _whole(evidence, 0, EVIDENCE_MOST, "evidence"),
            _whole(ttl_ms, 1, TTL_MOST_MS, "ttl_ms"),
        )
    raise Malformed("update: unknown kind")


def _whole(value: Any, low: int, high: int, name: str) -> int:
    if type(value) is not int or not low <= value <= high:
        raise Malformed(f"{name}: a whole number in {low}..{high} is needed")
    return value
