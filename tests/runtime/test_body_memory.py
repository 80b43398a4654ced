"""The bounds on the memory of bodies."""

from __future__ import annotations

from sidecar_balancer.runtime import streams
from sidecar_balancer.runtime.streams import MAX_BUFFERED_BODY_BYTES, BodyMemory


def test_read_size_shrinks_with_streams_and_buffered_bodies_are_bounded() -> None:
    budget = BodyMemory(memory_mb=32)
    pieces = []
    for number in (1, 16, 64, 256, 10_000):
        budget.active_streams = number
        pieces.append(budget.read_size())
    assert pieces == sorted(pieces, reverse=True)
    assert pieces[0] == 65_536
    assert pieces[-1] == 4_096
    budget.active_streams = 256
    assert 256 * 4 * budget.read_size() <= 32 * 1024 * 1024 // 8
    assert budget.may_buffer(MAX_BUFFERED_BODY_BYTES)
    assert not budget.may_buffer(MAX_BUFFERED_BODY_BYTES + 1)
    budget.buffered_bytes = 5 * 1024 * 1024
    assert not budget.may_buffer(10)
    assert streams.MAX_BUFFERED_BODY_BYTES == 65_536
