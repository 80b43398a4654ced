"""The datagram codec: messages survive a round trip, and any other bytes raise one error."""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_balancer.lease.fencing import FencedCommand
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.errors import MalformedDatagramError
from sidecar_balancer.membership.messages import (
    DATAGRAM_MAX_BYTES,
    EVIDENCE_MAX,
    LEASES_MAX,
    MEMBERS_MAX,
    RELATIVE_LATENCY_MAX_PERCENT,
    SERVICE_CLASSES_MAX,
    UINT8_MAX,
    UINT32_MAX,
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

UPDATE = VerdictUpdate(3, 2, 9, "10.0.0.1:80", WireVerdict.SLOW, 4, 1500)
UINT32 = st.integers(0, UINT32_MAX)
MEMBERS = st.integers(0, MEMBERS_MAX - 1)
LEASES = st.integers(0, LEASES_MAX - 1)
NAMES = st.text(st.characters(max_codepoint=127), min_size=1, max_size=64)
VERDICT_UPDATES = st.builds(
    VerdictUpdate,
    MEMBERS,
    UINT32,
    UINT32,
    NAMES,
    st.sampled_from(WireVerdict),
    st.integers(0, EVIDENCE_MAX),
    st.integers(1, VERDICT_TTL_MAX_MS),
    st.integers(min(VerdictScope), SERVICE_CLASSES_MAX - 1),
)
MEMBER_UPDATES = st.builds(MemberUpdate, MEMBERS, UINT32, st.sampled_from(MemberStatus))
LEASE_UPDATES = st.builds(LeaseUpdate, st.integers(0, UINT8_MAX), LEASES, UINT32, UINT32)
COMMANDS = st.builds(
    FencedCommand, LEASES, st.integers(1, UINT32_MAX), UINT32, NAMES | st.just(""), st.integers(0, UINT8_MAX)
)
LATENCY_UPDATES = st.builds(LatencyUpdate, NAMES, st.integers(1, RELATIVE_LATENCY_MAX_PERCENT))
MESSAGE = Message(DatagramKind.PING_REQ, 5, 77, 2)


def test_a_datagram_includes_as_many_updates_as_its_size_allows() -> None:
    data, included = codec.encode(MESSAGE, [UPDATE] * 40)
    assert 0 < included < 40
    assert len(data) <= DATAGRAM_MAX_BYTES


def test_a_message_decodes_to_what_was_encoded() -> None:
    data, included = codec.encode(MESSAGE, [UPDATE] * 40)
    decoded = codec.decode(data)
    header = (decoded.kind, decoded.incarnation, decoded.sequence, decoded.argument)
    assert header == (DatagramKind.PING_REQ, 5, 77, 2)
    assert decoded.updates == (UPDATE,) * included


@given(st.binary(max_size=400))
def test_any_bytes_decode_or_raise_the_malformed_datagram_error(data: bytes) -> None:
    try:
        message = codec.decode(data)
    except MalformedDatagramError:
        return
    assert len(data) <= DATAGRAM_MAX_BYTES
    assert isinstance(message, Message)


@given(st.lists(st.integers(-(2**40), 2**40) | st.text(max_size=80), max_size=12))
def test_a_verdict_with_wrong_fields_is_malformed(fields: list[object]) -> None:
    data = msgpack.packb([codec.VERSION, 0, 0, 0, -1, [[1, *fields]]])
    with pytest.raises(MalformedDatagramError):
        codec.decode(data)


@given(VERDICT_UPDATES | MEMBER_UPDATES | LEASE_UPDATES | COMMANDS | LATENCY_UPDATES)
def test_any_update_within_its_bounds_is_read_back_from_its_array(update: Update) -> None:
    assert codec.update_from_list(codec.update_to_list(update)) == update


@given(st.sampled_from(DatagramKind), UINT32, UINT32, st.integers(-1, MEMBERS_MAX - 1))
def test_any_header_within_its_bounds_decodes_to_what_was_encoded(
    kind: DatagramKind, incarnation: int, sequence: int, argument: int
) -> None:
    message = Message(kind, incarnation, sequence, argument)
    assert codec.decode(codec.encode(message).data) == message
