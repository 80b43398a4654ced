"""The lease channel: lease messages in both directions, and notification of accepted commands."""

from __future__ import annotations

import pytest

from sidecar_balancer.lease.fencing import CommandVerb, FencedCommand
from sidecar_balancer.lease.manager import LeaseManager, TierLease
from sidecar_balancer.lease.protocol import LeaseMessageKind, LeaseTiming
from sidecar_balancer.membership.lease_channel import LeaseChannel
from sidecar_balancer.membership.messages import DirectUpdate, LeaseUpdate

COMMAND = FencedCommand(TierLease.ZONES, 5, 1, "zone-a", CommandVerb.ZONE_RECOVERED)


@pytest.fixture
def manager() -> LeaseManager:
    """The leases of member 0 of three."""
    return LeaseManager(0, 3, 1, LeaseTiming(), now_us=0)


def test_an_epoch_query_is_answered_to_its_sender(manager: LeaseManager) -> None:
    query = LeaseUpdate(LeaseMessageKind.EPOCH_QUERY, TierLease.ZONES, 0, 7)
    reply = LeaseUpdate(LeaseMessageKind.EPOCH_REPLY, TierLease.ZONES, 0, 7)
    assert LeaseChannel(manager).receive_update(10, 2, query) == [DirectUpdate(2, reply)]


def test_a_message_of_an_unknown_kind_is_dropped_and_counted(manager: LeaseManager) -> None:
    assert LeaseChannel(manager).receive_update(10, 2, LeaseUpdate(255, TierLease.ZONES, 0, 7)) == []
    assert manager.counters.dropped == 1


def test_the_listener_is_notified_of_a_command_once(manager: LeaseManager) -> None:
    channel, notified = LeaseChannel(manager), list[FencedCommand]()
    channel.command_listener = notified.append
    assert channel.accept_command(COMMAND)
    assert not channel.accept_command(COMMAND)
    assert notified == [COMMAND]
