"""Limits on the memory for bodies."""

from __future__ import annotations

from sidecar_balancer.runtime import streams
from sidecar_balancer.runtime.streams import MAX_BUFFERED_BODY_BYTES, BodyMemory


def test_read_size_shrinks_with_streams_and_buffered_bodies_are_bounded() -> None:
    body_memory = BodyMemory(memory_mb=32)
    sizes = []
    for number in (1, 16, 64, 256, 10_000):
        body_memory.active_streams = number
        sizes.append(body_memory.read_size())
    assert sizes == sorted(sizes, reverse=True)
    assert sizes[0] == 65_536
    assert sizes[-1] == 4_096
    body_memory.active_streams = 256
    assert 256 * 4 * body_memory.read_size() <= 32 * 1024 * 1024 // 8
    assert body_memory.may_buffer(MAX_BUFFERED_BODY_BYTES)
    assert not body_memory.may_buffer(MAX_BUFFERED_BODY_BYTES + 1)
    body_memory.buffered_bytes = 5 * 1024 * 1024
    assert not body_memory.may_buffer(10)
    assert streams.MAX_BUFFERED_BODY_BYTES == 65_536
