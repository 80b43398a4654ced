"""The choice of the client connection that is evicted for a new one."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_balancer.downstream.connection_table import (
    NO_WAIT,
    CapacityWait,
    ConnectionTable,
    EvictionClass,
)

NOW = 100.0
LONG_WAIT = CapacityWait(1.0, 1.0)


@dataclass(eq=False)
class FakeConnection:
    """A connection in a given state."""

    state: EvictionClass
    request_awaited_since: float = NOW - 10.0
    unread: bool = False

    def eviction_class(self, _now: float) -> EvictionClass:
        return self.state

    def has_unread_input(self) -> bool:
        return self.unread


def table_of(*connections: FakeConnection) -> ConnectionTable[FakeConnection]:
    table: ConnectionTable[FakeConnection] = ConnectionTable()
    for connection in connections:
        table.add(connection)
    return table


def test_answered_clients_are_evicted_before_stalled_ones_and_these_before_new_ones() -> None:
    receiving, stalled, unused, kept_alive = (
        FakeConnection(EvictionClass.RECEIVING),
        FakeConnection(EvictionClass.IDLE),
        FakeConnection(EvictionClass.IDLE),
        FakeConnection(EvictionClass.IDLE),
    )
    table = table_of(receiving, stalled, unused, kept_alive)
    table.record_kept_alive(kept_alive)
    for expected in (kept_alive, stalled, unused, receiving):
        assert table.select_victim(NOW, LONG_WAIT) is expected
        table.remove(expected)
    assert table.select_victim(NOW, LONG_WAIT) is None


# Guards against a request that is lost because its connection is closed to make room for another.
def test_complete_and_unread_requests_are_never_given_up() -> None:
    states = (EvictionClass.IDLE, EvictionClass.IDLE, EvictionClass.RECEIVING)
    unread = [FakeConnection(state, unread=True) for state in states]
    table = table_of(FakeConnection(EvictionClass.BUSY), *unread)
    kept_alive = FakeConnection(EvictionClass.IDLE, unread=True)
    table.add(kept_alive)
    table.record_kept_alive(kept_alive)
    assert table.select_victim(NOW, LONG_WAIT) is None


def test_longest_silent_of_the_stalled_is_evicted() -> None:
    first, second = FakeConnection(EvictionClass.IDLE), FakeConnection(EvictionClass.IDLE)
    table = table_of(first, second)
    table.record_input(first)
    assert table.select_victim(NOW, NO_WAIT) is second


# Guards against a crowd that comes at once and pushes out slow clients that came before it.
def test_latest_of_the_arriving_requests_is_evicted_and_an_early_one_only_after_a_wait() -> None:
    early = FakeConnection(EvictionClass.RECEIVING, NOW - 1.0)
    late = FakeConnection(EvictionClass.RECEIVING, NOW - 0.02)
    latest = FakeConnection(EvictionClass.RECEIVING, NOW - 0.01)
    table = table_of(early, latest, late)
    assert table.select_victim(NOW, NO_WAIT) is None
    assert table.select_victim(NOW, CapacityWait(0.02, 0.02)) is latest
    table.remove(latest)
    table.remove(late)
    assert table.select_victim(NOW, CapacityWait(0.02, 0.02)) is None
    assert table.select_victim(NOW, CapacityWait(0.2, 0.02)) is None
    assert table.select_victim(NOW, CapacityWait(0.1, 0.1)) is early
    assert table.select_victim(NOW, CapacityWait(0.3, 0.02)) is early


# Guards against a slow client that is evicted while a later crowd has just sent more.
def test_input_of_the_latest_request_is_read_before_an_earlier_one_is_given_up() -> None:
    early = FakeConnection(EvictionClass.RECEIVING, NOW - 2.0)
    late = FakeConnection(EvictionClass.RECEIVING, NOW - 1.0, unread=True)
    table = table_of(early, late)
    assert table.select_victim(NOW, CapacityWait(0.15, 0.15)) is None
    assert table.select_victim(NOW, LONG_WAIT) is early


def test_connections_are_ordered_by_their_last_activity() -> None:
    first, second, third = (FakeConnection(EvictionClass.IDLE) for _ in range(3))
    table = table_of(first, second, third)
    table.record_input(first)
    table.record_kept_alive(second)
    assert list(table) == [third, first, second]
    table.remove(second)
    table.record_input(second)  # the last input of an evicted connection
    assert list(table) == [third, first]
    assert len(table) == 2
    assert first in table
    assert second not in table


def test_lingering_connections_are_evicted_before_those_that_may_carry_a_request() -> None:
    kept_alive, first, second = (FakeConnection(EvictionClass.IDLE) for _ in range(3))
    table = table_of(kept_alive, first, second)
    table.record_kept_alive(kept_alive)
    table.record_lingering(first, NOW - 1.0)
    table.record_lingering(second, NOW)
    for expected in (first, second, kept_alive):
        assert table.select_victim(NOW, NO_WAIT) is expected
        table.remove(expected)


def test_the_earliest_lingering_connections_are_in_excess_once_their_clients_had_time_to_read() -> None:
    connections = [FakeConnection(EvictionClass.IDLE) for _ in range(6)]
    table = table_of(*connections)
    for connection, since in zip(connections, (0.5, 0.4, 0.3, 0.05, 0.0), strict=False):
        table.record_lingering(connection, NOW - since)
    assert table.excess_lingering(5, NOW) == []
    assert table.excess_lingering(3, NOW) == connections[:2]
    assert table.excess_lingering(0, NOW) == connections[:3]
    table.remove(connections[0])
    assert table.excess_lingering(3, NOW) == [connections[1]]
