"""The verdict table: merging gives the same result in any order, and the capacity is respected."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_balancer.membership.messages import VerdictUpdate, WireVerdict
from sidecar_balancer.membership.verdict_table import VerdictTable

_US_PER_MS = 1000


@pytest.fixture
def updates() -> list[VerdictUpdate]:
    """Six versions from each of four origins, each with one subject."""
    return [
        VerdictUpdate(origin, incarnation, counter, f"s{origin % 3}", WireVerdict.EJECTED, 1, 5000)
        for origin in range(4)
        for incarnation in range(2)
        for counter in range(3)
    ]


def _merged(updates: list[VerdictUpdate], seed: int) -> list[tuple[int, str, int, int]]:
    """Return the content of a table after merging each update twice, in an order determined by `seed`."""
    table, shuffled = VerdictTable(100), list(updates) * 2
    random.Random(seed).shuffle(shuffled)
    for update in shuffled:
        table.merge(0, update)
    live = (update for update, _ in table.live(0))
    return sorted((update.origin, update.subject, update.incarnation, update.counter) for update in live)


def test_merging_in_any_order_gives_the_same_table(updates: list[VerdictUpdate]) -> None:
    tables = [_merged(updates, seed) for seed in range(3)]
    assert tables[0] == tables[1] == tables[2]


def test_one_version_of_each_origin_and_subject_remains(updates: list[VerdictUpdate]) -> None:
    assert len(_merged(updates, seed=0)) == 4


def test_a_full_table_evicts_entries_and_counts_them() -> None:
    table = VerdictTable(2)
    for origin in range(5):
        update = VerdictUpdate(origin, 0, 1, "s", WireVerdict.REJECTING, 1, 1000 + origin)
        table.merge(origin * _US_PER_MS, update)
    assert len(table) == 2
    assert table.evicted_count == 3


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), min_size=1, max_size=30))
def test_the_highest_version_of_an_origin_remains(versions: list[tuple[int, int]]) -> None:
    table = VerdictTable(100)
    for incarnation, counter in versions:
        table.merge(0, VerdictUpdate(0, incarnation, counter, "s", WireVerdict.SLOW, 1, 5000))
    [(update, _)] = table.live(0)
    assert (update.incarnation, update.counter) == max(versions)
