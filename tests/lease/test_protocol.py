"""The lease protocol between members: a majority grants a lease; a restarted member must first wait."""

from __future__ import annotations

import pytest

from sidecar_balancer.lease.fencing import Fence
from sidecar_balancer.lease.protocol import (
    LeaseMessage,
    LeaseMessageKind,
    LeaseProtocol,
    LeaseTiming,
    OutgoingLeaseMessage,
)

TIMING = LeaseTiming(term_us=3_000, renew_us=1_000, skew_us=100, retry_us=250)
LEASE = 0


@pytest.fixture
def holder() -> LeaseProtocol:
    """A member of three that was granted the lease at 300 µs, on the second attempt of its request."""
    members = [LeaseProtocol(member, 3, 1, TIMING, started_us=-10_000) for member in range(3)]
    for member in members:
        member.states[LEASE].epoch_sources = frozenset({0, 1, 2} - {member.member})
    candidate = next(member for member in members if member.tick(0, [0, 1, 2]))
    for target, request in candidate.tick(300, [0, 1, 2]):
        for _, reply in members[target].receive(300, candidate.member, request):
            candidate.receive(310, target, reply)
    return candidate


def test_a_majority_grants_a_lease(holder: LeaseProtocol) -> None:
    assert holder.token(LEASE, 310) >= 1


def test_a_holders_token_ends_before_the_grants_expire(holder: LeaseProtocol) -> None:
    assert holder.token(LEASE, 300 + TIMING.holder_term_us) == 0


def test_a_token_is_rejected_once_the_next_holders_token_was_seen(holder: LeaseProtocol) -> None:
    token, fence = holder.token(LEASE, 310), Fence()
    assert fence.admit(LEASE, token + 1)
    assert not fence.admit(LEASE, token)
    assert fence.rejected_count == 1


class StartedMember:
    """Member 1 of three, started at 0 µs, with helpers to send it requests and epoch replies."""

    incarnation = 40
    may_grant_us = TIMING.restart_wait_us

    def __init__(self) -> None:
        self.protocol = LeaseProtocol(1, 3, 1, TIMING, started_us=0, incarnation=self.incarnation)

    def reply_to_request(self, now_us: int, epoch: int, request_id: int) -> LeaseMessage:
        request = LeaseMessage(LeaseMessageKind.REQUEST, LEASE, epoch, request_id)
        [(_, reply)] = self.protocol.receive(now_us, 0, request)
        return reply

    def receive_epoch(self, sender: int, epoch: int, incarnation: int) -> None:
        reply = LeaseMessage(LeaseMessageKind.EPOCH_REPLY, LEASE, epoch, incarnation)
        self.protocol.receive(self.may_grant_us, sender, reply)


@pytest.fixture
def started() -> StartedMember:
    """A started member that has received nothing."""
    return StartedMember()


@pytest.mark.parametrize(("now_us", "epoch", "request_id"), [(10, 1, 1), (TIMING.restart_wait_us, 2, 2)])
def test_a_started_member_rejects_requests_before_it_knows_the_highest_epoch(
    started: StartedMember, now_us: int, epoch: int, request_id: int
) -> None:
    assert started.reply_to_request(now_us, epoch, request_id).kind is LeaseMessageKind.REJECT


def test_a_started_member_queries_the_epochs_of_all_others(started: StartedMember) -> None:
    query = LeaseMessage(LeaseMessageKind.EPOCH_QUERY, LEASE, 0, started.incarnation)
    sent = started.protocol.tick(started.may_grant_us, [])
    assert [outgoing for outgoing in sent if outgoing.message == query] == [
        OutgoingLeaseMessage(0, query),
        OutgoingLeaseMessage(2, query),
    ]


def test_an_epoch_reply_to_an_earlier_incarnation_does_not_count(started: StartedMember) -> None:
    started.receive_epoch(0, 7, started.incarnation)
    started.receive_epoch(2, 3, started.incarnation - 1)
    assert not started.protocol.knows_highest_epoch(LEASE)


def test_a_started_member_grants_only_epochs_above_the_highest_received(started: StartedMember) -> None:
    assert started.reply_to_request(10, 1, 1).kind is LeaseMessageKind.REJECT
    assert started.reply_to_request(started.may_grant_us, 2, 2).kind is LeaseMessageKind.REJECT
    started.receive_epoch(0, 7, started.incarnation)
    started.receive_epoch(2, 3, started.incarnation)
    rejection = LeaseMessage(LeaseMessageKind.REJECT, LEASE, 7, 3)
    assert started.reply_to_request(started.may_grant_us, 7, 3) == rejection
    assert started.reply_to_request(started.may_grant_us, 8, 4).kind is LeaseMessageKind.GRANT
