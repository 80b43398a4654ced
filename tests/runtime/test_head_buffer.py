"""Input before it is parsed, and the limits on heads."""

from __future__ import annotations

import pytest

from sidecar_balancer.runtime.head_buffer import (
    MAX_CHUNKS_PIECE_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    HeadBuffer,
    HeadTooLargeError,
)

HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize("step", [1, 2, 3, 7, len(HEAD) + 4])
@pytest.mark.parametrize("head", [HEAD, HEAD.replace(b"\r\n", b"\n")])
def test_a_head_that_comes_in_pieces_is_taken_whole(head: bytes, step: int) -> None:
    buffer = HeadBuffer()
    data, taken = head + b"rest", b""
    for start in range(0, len(data), step):
        buffer.append(data[start : start + step])
        assert buffer.has_head() == (not taken and start + step >= len(head))
        taken = taken or buffer.pop_head()
    assert taken == head
    assert buffer.pop_piece(is_chunked=False) == b"rest"


def test_as_many_fields_as_allowed_are_taken_and_one_more_is_not() -> None:
    for fields, is_allowed in ((MAX_HEAD_FIELDS, True), (MAX_HEAD_FIELDS + 1, False)):
        buffer = HeadBuffer()
        buffer.append(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * fields + b"\r\n")
        if is_allowed:
            assert buffer.pop_head()
        else:
            with pytest.raises(HeadTooLargeError):
                buffer.pop_head()


def test_a_head_without_an_end_is_refused_at_the_limit() -> None:
    buffer = HeadBuffer()
    buffer.append(b"x" * (MAX_HEAD_BYTES - 1))
    assert buffer.pop_head() == b""
    buffer.append(b"x")
    with pytest.raises(HeadTooLargeError):
        buffer.pop_head()


def test_input_that_can_not_begin_a_head_is_not_held() -> None:
    buffer = HeadBuffer()
    buffer.append(b"\x16\x03\x01")
    assert buffer.pop_head() == b"\x16\x03\x01"


def test_pieces_of_chunks_are_small_and_what_is_left_over_comes_first() -> None:
    buffer = HeadBuffer()
    buffer.append(bytes(10_000))
    assert len(buffer.pop_piece(is_chunked=True)) == MAX_CHUNKS_PIECE_BYTES
    buffer.prepend(HEAD)
    assert buffer.pop_head() == HEAD


def test_the_end_of_a_head_may_lie_across_unread_input() -> None:
    buffer = HeadBuffer()
    buffer.append(HEAD[:-2])
    assert buffer.may_have_head_with(b"\r\n")
    assert not buffer.may_have_head_with(b"a: 1\r\n")
