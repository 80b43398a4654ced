"""Codec of the datagrams between sidecars: versioned msgpack with every field validated.

A datagram of at most `DATAGRAM_MAX_BYTES` is the array `[VERSION, kind, incarnation, sequence, argument,
updates]` (see `Message`).  Each update is an array too, with an `UpdateTag` as its first element:

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
_MESSAGE_FIELD_COUNT = 6
_ARRAY_MAX_ELEMENTS = 24  # limit for the unpacker only: no array in a datagram is longer


class UpdateTag(enum.IntEnum):
    """First element of an update's array; it identifies the type."""

    MEMBER = 0
    VERDICT = 1
    LEASE = 2
    COMMAND = 3
    LATENCY = 4


class EncodedMessage(NamedTuple):
    """A datagram's bytes and the number of candidate updates that they include."""

    data: bytes
    included_count: int


def encode(message: Message, candidates: Sequence[Update] = ()) -> EncodedMessage:
    """Pack `message` and as many of `candidates`, in order, as fit into one datagram.

    Raises:
        DatagramTooLongError: the message alone is too long.
    """
    header = [VERSION, int(message.kind), message.incarnation, message.sequence, message.argument]
    updates = [update_to_list(update) for update in message.updates]
    data = msgpack.packb([*header, updates])
    if len(data) > DATAGRAM_MAX_BYTES:
        raise DatagramTooLongError(f"message of {len(data)} bytes exceeds {DATAGRAM_MAX_BYTES}")
    included_count = 0
    for candidate in candidates[: UPDATES_MAX - len(updates)]:
        updates.append(update_to_list(candidate))
        extended_data = msgpack.packb([*header, updates])
        if len(extended_data) > DATAGRAM_MAX_BYTES:
            break
        data, included_count = extended_data, included_count + 1
    return EncodedMessage(data, included_count)


def update_to_list(update: Update) -> list[Any]:
    """Return an update as the array that a datagram carries."""
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
    """Decode one datagram.

    Raises:
        MalformedDatagramError: the data is not a well-formed message of this version.
    """
    if len(data) > DATAGRAM_MAX_BYTES:
        raise MalformedDatagramError(f"datagram of {len(data)} bytes exceeds {DATAGRAM_MAX_BYTES}")
    fields = _unpack(data)
    if not isinstance(fields, list) or len(fields) != _MESSAGE_FIELD_COUNT:
        raise MalformedDatagramError(f"expected an array of {_MESSAGE_FIELD_COUNT} fields")
    version, kind, incarnation, sequence, argument, updates = fields
    if version != VERSION:
        raise MalformedDatagramError(f"unsupported version {version!r:.20}, expected {VERSION}")
    if not isinstance(updates, list):
        raise MalformedDatagramError("updates: expected a list")
    return Message(
        DatagramKind(_validated_integer(kind, 0, len(DatagramKind) - 1, "kind")),
        _validated_integer(incarnation, 0, UINT32_MAX, "incarnation"),
        _validated_integer(sequence, 0, UINT32_MAX, "sequence"),
        _validated_integer(argument, NO_ARGUMENT, MEMBERS_MAX - 1, "argument"),
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
    except Exception as error:  # msgpack raises several types, all for malformed input
        raise MalformedDatagramError(f"invalid msgpack: {type(error).__name__}") from None


def update_from_list(value: Any) -> Update:
    """Return the update of an array that a datagram carries.

    Raises:
        MalformedDatagramError: the array is not a well-formed update.
    """
    if not isinstance(value, list) or not value or type(value[0]) is not int:
        raise MalformedDatagramError("update: expected a list with an integer tag first")
    reader = _UPDATE_READERS.get((value[0], len(value)))
    if reader is None:
        raise MalformedDatagramError(f"update: unknown tag {value[0]} with {len(value)} fields")
    return reader(value)


def _read_member(value: list[Any]) -> Update:
    _, member, incarnation, status = value
    return MemberUpdate(
        _validated_integer(member, 0, MEMBERS_MAX - 1, "member"),
        _validated_integer(incarnation, 0, UINT32_MAX, "incarnation"),
        MemberStatus(_validated_integer(status, 0, len(MemberStatus) - 1, "status")),
    )


def _read_verdict(value: list[Any]) -> Update:
    _, origin, incarnation, counter, subject, scope, verdict, evidence, ttl_ms = value
    return VerdictUpdate(
        _validated_integer(origin, 0, MEMBERS_MAX - 1, "origin"),
        _validated_integer(incarnation, 0, UINT32_MAX, "incarnation"),
        _validated_integer(counter, 0, UINT32_MAX, "counter"),
        _validated_name(subject),
        WireVerdict(_validated_integer(verdict, 0, len(WireVerdict) - 1, "verdict")),
        _validated_integer(evidence, 0, EVIDENCE_MAX, "evidence"),
        _validated_integer(ttl_ms, 1, VERDICT_TTL_MAX_MS, "ttl_ms"),
        _validated_integer(scope, min(VerdictScope), SERVICE_CLASSES_MAX - 1, "scope"),
    )


def _read_lease(value: list[Any]) -> Update:
    _, kind, lease, epoch, request_id = value
    return LeaseUpdate(
        _validated_integer(kind, 0, UINT8_MAX, "kind"),
        _validated_integer(lease, 0, LEASES_MAX - 1, "lease"),
        _validated_integer(epoch, 0, UINT32_MAX, "epoch"),
        _validated_integer(request_id, 0, UINT32_MAX, "request_id"),
    )


def _read_command(value: list[Any]) -> Update:
    _, lease, token, sequence, subject, verb = value
    return FencedCommand(
        _validated_integer(lease, 0, LEASES_MAX - 1, "lease"),
        _validated_integer(token, 1, UINT32_MAX, "token"),
        _validated_integer(sequence, 0, UINT32_MAX, "sequence"),
        _validated_name(subject, may_be_empty=True),
        _validated_integer(verb, 0, UINT8_MAX, "verb"),
    )


def _read_latency(value: list[Any]) -> Update:
    _, server, percent = value
    return LatencyUpdate(
        _validated_name(server), _validated_integer(percent, 1, RELATIVE_LATENCY_MAX_PERCENT, "percent")
    )


# Reader of each type of update, by tag and number of fields
_UPDATE_READERS: dict[tuple[int, int], Callable[[list[Any]], Update]] = {
    (UpdateTag.MEMBER, 4): _read_member,
    (UpdateTag.VERDICT, 9): _read_verdict,
    (UpdateTag.LEASE, 5): _read_lease,
    (UpdateTag.COMMAND, 6): _read_command,
    (UpdateTag.LATENCY, 3): _read_latency,
}


def _validated_name(value: Any, may_be_empty: bool = False) -> str:
    if not isinstance(value, str) or not (value or may_be_empty):
        raise MalformedDatagramError(f"expected a name, got {value!r:.80}")
    return value


def _validated_integer(value: Any, minimum: int, maximum: int, field: str) -> int:
    if type(value) is not int or not minimum <= value <= maximum:
        raise MalformedDatagramError(
            f"{field}: expected an integer in {minimum}..{maximum}, got {value!r:.40}"
        )
    return value
