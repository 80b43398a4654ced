"""The lease manager: only a holder issues commands; each is accepted once, and only with a current token."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sidecar_balancer.lease.fencing import CommandVerb, FencedCommand
from sidecar_balancer.lease.manager import LeaseManager, TierLease
from sidecar_balancer.lease.protocol import LeaseTiming

TIMING = LeaseTiming(term_us=3_000, renew_us=1_000, skew_us=100, retry_us=250)
COMMAND = FencedCommand(TierLease.ZONES, 5, 1, "zone-a", CommandVerb.ZONE_RECOVERED)


@pytest.fixture
def manager() -> LeaseManager:
    """A member of three that holds no lease and has accepted `COMMAND`."""
    manager = LeaseManager(0, 3, 1, TIMING, now_us=0)
    assert manager.accept_command(COMMAND)
    return manager


def test_a_command_is_accepted_once(manager: LeaseManager) -> None:
    assert not manager.accept_command(COMMAND)
    assert manager.accepted_count == 1


def test_the_next_command_of_the_holder_is_accepted(manager: LeaseManager) -> None:
    assert manager.accept_command(replace(COMMAND, sequence=2))


def test_a_command_with_an_outdated_token_is_rejected_and_counted(manager: LeaseManager) -> None:
    assert not manager.accept_command(replace(COMMAND, token=4, subject="zone-b"))
    assert manager.fenced_count == 1


def test_a_command_of_an_unknown_lease_is_not_accepted(manager: LeaseManager) -> None:
    assert not manager.accept_command(replace(COMMAND, lease=len(TierLease)))


def test_a_member_without_the_lease_issues_no_command(manager: LeaseManager) -> None:
    assert manager.issue_command(10, TierLease.ZONES, "zone-a", CommandVerb.ZONE_RECOVERED) is None
    assert manager.issued_commands == []


def test_a_restored_epoch_never_lowers_the_highest_one(manager: LeaseManager) -> None:
    manager.restore_epoch(TierLease.SNAPSHOT, 9)
    manager.restore_epoch(TierLease.SNAPSHOT, 3)
    assert manager.highest_epochs() == {TierLease.ZONES: 0, TierLease.SNAPSHOT: 9}
