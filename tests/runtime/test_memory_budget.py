"""The budget for what peers hold."""

from __future__ import annotations

import pytest

from sidecar_balancer.runtime.memory_budget import PROGRAM_BYTES, MemoryBudget, MemoryCharge

MIB = 1024 * 1024


def test_charges_add_up_and_are_replaced() -> None:
    budget = MemoryBudget(32)
    charges = [MemoryCharge(budget) for _ in range(3)]
    for charge in charges:
        charge.update(1_000)
    charges[0].update(0)
    charges[0].update(0)
    charges[1].update(5_000)
    assert budget.used_bytes == 6_000


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
def test_an_exhausted_budget_leaves_small_reads_alone(memory_mb: int) -> None:
    budget = MemoryBudget(memory_mb)
    assert budget.read_size() == 65_536
    assert not budget.is_exhausted()
    assert budget.total_bytes < memory_mb * MIB - PROGRAM_BYTES
    budget.used_bytes = budget.total_bytes
    assert budget.is_exhausted()
    assert not budget.may_buffer(1)
    assert {budget.read_size(), budget.read_ahead_size(), budget.stream_buffer_size()} == {4_096}


def test_another_process_takes_from_the_budget() -> None:
    budget = MemoryBudget(64)
    alone = budget.total_bytes
    budget.set_other_bytes(PROGRAM_BYTES + 20 * MIB)
    assert 0 < budget.total_bytes < alone
    budget.set_other_bytes(PROGRAM_BYTES + 100 * MIB)
    assert budget.total_bytes == MIB


@pytest.mark.parametrize(("memory_mb", "descriptors"), [(32, 256), (32, 1024), (192, 256), (192, 1024)])
def test_a_third_of_the_descriptors_may_carry_requests(memory_mb: int, descriptors: int) -> None:
    limit = MemoryBudget(memory_mb).connection_limit(descriptors, 64)
    assert descriptors // 3 <= limit <= (descriptors - 64) // 2
