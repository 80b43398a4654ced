"""Limits on the memory for bodies."""

from __future__ import annotations

from sidecar_balancer.runtime import memory_budget as memory_budget_module
from sidecar_balancer.runtime.memory_budget import MAX_BUFFERED_BODY_BYTES, MemoryBudget


def test_read_size_shrinks_with_streams_and_buffered_bodies_are_bounded() -> None:
    memory_budget = MemoryBudget(memory_mb=32)
    sizes = []
    for number in (1, 16, 64, 256, 10_000):
        memory_budget.active_streams = number
        sizes.append(memory_budget.read_size())
    assert sizes == sorted(sizes, reverse=True)
    assert sizes[0] == 65_536
    assert sizes[-1] == 4_096
    memory_budget.active_streams = 256
    assert 256 * 4 * memory_budget.read_size() <= 32 * 1024 * 1024 // 8
    assert memory_budget.may_buffer(MAX_BUFFERED_BODY_BYTES)
    assert not memory_budget.may_buffer(MAX_BUFFERED_BODY_BYTES + 1)
    memory_budget.used_bytes = 5 * 1024 * 1024
    assert not memory_budget.may_buffer(10)
    assert memory_budget_module.MAX_BUFFERED_BODY_BYTES == 65_536
