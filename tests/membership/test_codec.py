"""The codec: messages come back from their bytes, and anything else raises one error."""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.errors import MalformedDatagramError
from sidecar_balancer.membership.messages import (
    DATAGRAM_MAX_BYTES,
    DatagramKind,
    Message,
    VerdictUpdate,
    WireVerdict,
)

UPDATE = VerdictUpdate(3, 2, 9, "10.0.0.1:80", WireVerdict.SLOW, 4, 1500)
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
def test_any_bytes_decode_or_raise_the_malformed_error(data: bytes) -> None:
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
