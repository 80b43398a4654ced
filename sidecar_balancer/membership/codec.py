"""Datagrams between sidecars: msgpack, versioned, at most `DATAGRAM_MAX_BYTES`, every field checked.

A datagram is the msgpack array `[VERSION, kind, incarnation, sequence, argument, updates]` (see
`Message`); an update is an array too, its first element an `UpdateTag`:

- `[0, member, incarnation, status]`: `MemberUpdate`;
- `[1, origin, incarnation, counter, subject, scope, verdict, evidence, ttl_ms]`: `VerdictUpdate`;
- `[2, kind, lease, epoch, request_id]`: `LeaseUpdate`;
- `[3, lease, token, sequence, subject, verb]`: `FencedCommand`;
- `[4, server, percent]`: `LatencyUpdate`.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.lease.fencing import FencedCommand
from sidecar_balancer.membership.errors import DatagramTooLongError, MalformedDatagramError
from sidecar_balancer.membership.messages import (
    DATAGRAM_MAX_BYTES,
    EVIDENCE_MAX,
    LEASES_MAX,
    MEMBERS_MAX,
    NAME_MAX_BYTES,
    NO_ARGUMENT,
    RELATIVE_LATENCY_MAX_PERCENT,
    SERVICE_CLASSES_MAX,
    UINT8_MAX,
    UINT32_MAX,
    UPDATES_MAX,
    VERDICT_TTL_MAX_MS,
    DatagramKind,
    LatencyUpdate,
    LeaseUpdate,
    MemberStatus,
    MemberUpdate,
    Message,
    Update,
    VerdictScope,
    VerdictUpdate,
    WireVerdict,
)

VERSION = 2
_MESSAGE_FIELDS = 6
_ARRAY_MAX_ELEMENTS = 24  # no array of a datagram is longer; a bound for the unpacker alone


class UpdateTag(enum.IntEnum):
    """The first element of an update."""

    MEMBER = 0
    VERDICT = 1
    LEASE = 2
    COMMAND = 3
    LATENCY = 4


class EncodedMessage(NamedTuple):
    """A datagram's bytes, and how many of the candidate updates they include."""

    data: bytes
    included: int


def encode(message: Message, candidates: Sequence[Update] = ()) -> EncodedMessage:
    """Pack `message` and as many of `candidates`, in order, as fit into one datagram.

    Raises:
        DatagramTooLongError: the message alone is too long.
    """
    head = [VERSION, int(message.kind), message.incarnation, message.sequence, message.argument]
    updates = [update_to_list(update) for update in message.updates]
    data = msgpack.packb([*head, updates])
    if len(data) > DATAGRAM_MAX_BYTES:
        raise DatagramTooLongError(f"a message of {len(data)} bytes, over {DATAGRAM_MAX_BYTES}")
    included = 0
    for candidate in candidates[: UPDATES_MAX - len(updates)]:
        updates.append(update_to_list(candidate))
        longer = msgpack.packb([*head, updates])
        if len(longer) > DATAGRAM_MAX_BYTES:
            break
        data, included = longer, included + 1
    return EncodedMessage(data, included)


def update_to_list(update: Update) -> list[Any]:
    """An update as the array that a datagram carries."""
    match update:
        case MemberUpdate():
            return [int(UpdateTag.MEMBER), update.member, update.incarnation, int(update.status)]
        case VerdictUpdate():
            version = [update.origin, update.incarnation, update.counter]
            content = [int(update.scope), int(update.verdict), update.evidence, update.ttl_ms]
            return [int(UpdateTag.VERDICT), *version, update.subject, *content]
        case LeaseUpdate():
            return [int(UpdateTag.LEASE), int(update.kind), update.lease, update.epoch, update.request_id]
        case FencedCommand():
            version = [int(update.lease), update.token, update.sequence]
            return [int(UpdateTag.COMMAND), *version, update.subject, int(update.verb)]
        case LatencyUpdate():
            return [int(UpdateTag.LATENCY), update.server, update.percent]


def decode(data: bytes) -> Message:
    """Read one datagram.

    Raises:
        MalformedDatagramError: it is anything but a well-formed message of this version.
    """
    if len(data) > DATAGRAM_MAX_BYTES:
        raise MalformedDatagramError(f"{len(data)} bytes, over {DATAGRAM_MAX_BYTES}")
    fields = _unpack(data)
    if not isinstance(fields, list) or len(fields) != _MESSAGE_FIELDS:
        raise MalformedDatagramError(f"a message of {_MESSAGE_FIELDS} fields is needed")
    version, kind, incarnation, sequence, argument, updates = fields
    if version != VERSION:
        raise MalformedDatagramError(f"version {version!r:.20}")
    if not isinstance(updates, list):
        raise MalformedDatagramError("updates: a list is needed")
    return Message(
        DatagramKind(_integer(kind, 0, len(DatagramKind) - 1, "kind")),
        _integer(incarnation, 0, UINT32_MAX, "incarnation"),
        _integer(sequence, 0, UINT32_MAX, "sequence"),
        _integer(argument, NO_ARGUMENT, MEMBERS_MAX - 1, "argument"),
        tuple(update_from_list(update) for update in updates),
    )


def _unpack(data: bytes) -> Any:
    try:
        return msgpack.unpackb(
            data,
            max_str_len=NAME_MAX_BYTES,
            max_bin_len=0,
            max_array_len=_ARRAY_MAX_ELEMENTS,
            max_map_len=0,
            max_ext_len=0,
            strict_map_key=True,
        )
    except Exception as error:  # msgpack raises several kinds; all mean the same here
        raise MalformedDatagramError(f"not msgpack: {type(error).__name__}") from None


def update_from_list(value: Any) -> Update:
    """An update from the array that a datagram carries.

    Raises:
        MalformedDatagramError: the array is no well-formed update.
    """
    if not isinstance(value, list) or not value or type(value[0]) is not int:
        raise MalformedDatagramError("update: a list is needed")
    reader = _UPDATE_READERS.get((value[0], len(value)))
    if reader is None:
        raise MalformedDatagramError(f"update: tag {value[0]} with {len(value)} fields is unknown")
    return reader(value)


def _read_member(value: list[Any]) -> Update:
    _, member, incarnation, status = value
    return MemberUpdate(
        _integer(member, 0, MEMBERS_MAX - 1, "member"),
        _integer(incarnation, 0, UINT32_MAX, "incarnation"),
        MemberStatus(_integer(status, 0, len(MemberStatus) - 1, "status")),
    )


def _read_verdict(value: list[Any]) -> Update:
    _, origin, incarnation, counter, subject, scope, verdict, evidence, ttl_ms = value
    return VerdictUpdate(
        _integer(origin, 0, MEMBERS_MAX - 1, "origin"),
        _integer(incarnation, 0, UINT32_MAX, "incarnation"),
        _integer(counter, 0, UINT32_MAX, "counter"),
        _name(subject),
        WireVerdict(_integer(verdict, 0, len(WireVerdict) - 1, "verdict")),
        _integer(evidence, 0, EVIDENCE_MAX, "evidence"),
        _integer(ttl_ms, 1, VERDICT_TTL_MAX_MS, "ttl_ms"),
        _integer(scope, min(VerdictScope), SERVICE_CLASSES_MAX - 1, "scope"),
    )


def _read_lease(value: list[Any]) -> Update:
    _, kind, lease, epoch, request_id = value
    return LeaseUpdate(
        _integer(kind, 0, UINT8_MAX, "kind"),
        _integer(lease, 0, LEASES_MAX - 1, "lease"),
        _integer(epoch, 0, UINT32_MAX, "epoch"),
        _integer(request_id, 0, UINT32_MAX, "request_id"),
    )


def _read_command(value: list[Any]) -> Update:
    _, lease, token, sequence, subject, verb = value
    return FencedCommand(
        _integer(lease, 0, LEASES_MAX - 1, "lease"),
        _integer(token, 1, UINT32_MAX, "token"),
        _integer(sequence, 0, UINT32_MAX, "sequence"),
        _name(subject, may_be_empty=True),
        _integer(verb, 0, UINT8_MAX, "verb"),
    )


def _read_latency(value: list[Any]) -> Update:
    _, server, percent = value
    return LatencyUpdate(_name(server), _integer(percent, 1, RELATIVE_LATENCY_MAX_PERCENT, "percent"))


_UPDATE_READERS: dict[tuple[int, int], Callable[[list[Any]], Update]] = {  # by tag and number of fields
    (UpdateTag.MEMBER, 4): _read_member,
    (UpdateTag.VERDICT, 9): _read_verdict,
    (UpdateTag.LEASE, 5): _read_lease,
    (UpdateTag.COMMAND, 6): _read_command,
    (UpdateTag.LATENCY, 3): _read_latency,
}


def _name(value: Any, may_be_empty: bool = False) -> str:
    if not isinstance(value, str) or not (value or may_be_empty):
        raise MalformedDatagramError(f"a name is needed, not {value!r:.80}")
    return value


def _integer(value: Any, minimum: int, maximum: int, field: str) -> int:
    if type(value) is not int or not minimum <= value <= maximum:
        raise MalformedDatagramError(f"{field}: {value!r:.40} is not a whole number in {minimum}..{maximum}")
    return value
