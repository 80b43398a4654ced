"""Lease protocol: leases granted by a majority of a tier's members, each with a fencing token.

Sans-IO: `tick` and `receive` take the time of the member's monotonic clock in µs and return the messages to
send.

Each member is both a candidate and an acceptor.  An acceptor grants a lease to one member for `term_us` on
its own clock, from the arrival of the request; it grants another member only an epoch above any that it has
granted.  A candidate with grants of a majority (itself included) for one request holds the lease until

    sent + term_us - 2 * skew_us        (on its own clock; `sent` is when the request was sent)

This is before any acceptor's grant ends, as long as no clock gains or loses more than `skew_us` against real
time over one term.  The holder renews the lease `renew_us` before its end.  A member that does not hold the
lease requests it only if it ranks first among the members that it believes alive (rendezvous hashing of lease
and member with xxh64).  The epoch is the fencing token: every command under the lease carries it, and
receivers (`Fence`) reject an older one.

A restarted member has lost its grants and their epochs.  A member that starts therefore grants nothing for
`term_us + 2 * skew_us`, so that any grant from before a crash has expired, and nothing until it has received
the highest known epoch from so many others that they include a member of every majority that it may have been
part of.  Otherwise an epoch could be granted twice.  Both safeguards hold while no more than a minority
restarts within that time; a tier that restarts entirely starts over, including its fences.  Sources: the
leases of Gray and Cheriton; majority and epochs are those of the first phase of Paxos.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

import xxhash

from sidecar_balancer.lease.errors import LeaseMemberError, LeaseTimingError

NO_MEMBER = -1


class LeaseMessageKind(IntEnum):
    """Kinds of messages, by their numbers in datagrams."""

    REQUEST = 8
    GRANT = 9
    REJECT = 10
    EPOCH_QUERY = 11
    EPOCH_REPLY = 12


class LeaseMessage(NamedTuple):
    """One message of the protocol.

    `request_id` numbers a candidate's requests, so that a late grant of an older request is not counted for a
    newer one.  In an EPOCH_QUERY it is the sender's incarnation, which the EPOCH_REPLY echoes.
    """

    kind: LeaseMessageKind
    lease: int
    epoch: int
    request_id: int


class OutgoingLeaseMessage(NamedTuple):
    """A message and the number of the member to send it to."""

    target: int
    message: LeaseMessage


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in µs of the member's own monotonic clock.

    `term_us` is the duration of a grant, `renew_us` the time before its end at which the holder renews it.
    `skew_us` is how much a clock may gain or lose against real time over one term.  `retry_us` is how long a
    request waits for a majority before it is sent again.

    Raises:
        LeaseTimingError: the times leave no time for a renewal.
    """

    term_us: int = 3_000_000
    renew_us: int = 1_000_000
    skew_us: int = 100_000
    retry_us: int = 250_000

    def __post_init__(self) -> None:
        renewal_fits = 0 <= 2 * self.skew_us < self.term_us - self.renew_us
        if not renewal_fits or self.renew_us <= 0 or self.retry_us <= 0:
            raise LeaseTimingError(
                "lease: expected renew_us, retry_us > 0, skew_us >= 0 and term_us > renew_us + 2 * skew_us"
            )

    @property
    def holder_term_us(self) -> int:
        """Time for which a holder may rely on a grant, counted from when its request was sent."""
        return self.term_us - 2 * self.skew_us

    @property
    def restart_wait_us(self) -> int:
        """Time after its start during which a member grants nothing."""
        return self.term_us + 2 * self.skew_us


@dataclass(slots=True)
class LeaseState:
    """State of one lease at one member, as an acceptor (`granted_*`) and as a candidate (the rest)."""

    highest_epoch: int = 0  # highest epoch granted by this member, or received
    granted_to: int = NO_MEMBER
    granted_epoch: int = 0
    granted_until_us: int = 0
    held_epoch: int = 0  # epoch under which this member last held the lease
    held_until_us: int = 0
    request_id: int = 0  # number of the open request; 0: none
    request_epoch: int = 0
    request_sent_us: int = 0
    grants: frozenset[int] = frozenset()
    epoch_sources: frozenset[int] = frozenset()  # members that sent this incarnation their highest epoch
    epochs_queried_us: int = 0  # time at which the highest epochs were last queried; 0: not yet


@dataclass(slots=True)
class LeaseCounters:
    """Counts since the start."""

    requested: int = 0
    granted: int = 0
    rejected: int = 0
    acquired: int = 0
    dropped: int = 0  # messages of an unknown kind, lease or member


@dataclass
class LeaseProtocol:
    """Leases 0 to `lease_count` - 1 at member `member` of `size`.

    `incarnation` must differ from that of every earlier run of this member.

    Raises:
        LeaseMemberError: `member` or `lease_count` is out of range.
    """

    member: int
    size: int
    lease_count: int
    timing: LeaseTiming
    started_us: int
    states: list[LeaseState] = field(default_factory=list)
    counters: LeaseCounters = field(default_factory=LeaseCounters)
    incarnation: int = 0
    last_request_id: int = -1  # number of the latest request, which continues from `incarnation`

    def __post_init__(self) -> None:
        if not 0 <= self.member < self.size or self.lease_count <= 0:
            raise LeaseMemberError(
                f"lease: member {self.member} of {self.size} with {self.lease_count} leases is out of range"
            )
        if self.last_request_id < 0:
            self.last_request_id = self.incarnation
        if not self.states:
            self.states = [LeaseState() for _ in range(self.lease_count)]

    # -- Events -----------------------------------------------------------------------------------------

    def tick(self, now_us: int, alive: Iterable[int]) -> list[OutgoingLeaseMessage]:
        """Renew each lease that this member holds and request each for which it ranks first.

        `alive` are the other members that this one believes alive.
        """
        candidates = {self.member, *alive}
        outgoing: list[OutgoingLeaseMessage] = []
        for lease, state in enumerate(self.states):
            outgoing += self._query_epochs(now_us, lease)
            if state.request_id and now_us >= state.request_sent_us + self.timing.retry_us:
                state.request_id = 0
            if state.request_id:
                continue
            if state.held_until_us > now_us:
                if now_us >= state.held_until_us - self.timing.renew_us:
                    outgoing += self._request(now_us, lease, state.held_epoch)
            elif preferred_candidate(lease, candidates) == self.member:
                outgoing += self._request(now_us, lease, max(state.highest_epoch, state.held_epoch) + 1)
        return outgoing

    def receive(self, now_us: int, sender: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handle a message and return the replies; drop one of an unknown member or lease."""
        is_peer = 0 <= sender < self.size and sender != self.member
        if not is_peer or not 0 <= message.lease < self.lease_count:
            self.counters.dropped += 1
            return []
        state = self.states[message.lease]
        if message.kind is LeaseMessageKind.REQUEST:
            return [OutgoingLeaseMessage(sender, self._reply_to_request(now_us, sender, message))]
        if message.kind is LeaseMessageKind.EPOCH_QUERY:
            reply = message._replace(kind=LeaseMessageKind.EPOCH_REPLY, epoch=state.highest_epoch)
            return [OutgoingLeaseMessage(sender, reply)]
        state.highest_epoch = max(state.highest_epoch, message.epoch)
        if message.kind is LeaseMessageKind.EPOCH_REPLY and message.request_id == self.incarnation:
            state.epoch_sources |= {sender}
        is_grant = message.kind is LeaseMessageKind.GRANT
        if is_grant and (state.request_id, state.request_epoch) == (message.request_id, message.epoch):
            self._count_grant(now_us, state, sender)
        return []

    def restore_epoch(self, lease: int, epoch: int) -> None:
        """Restore an epoch known to an earlier run."""
        state = self.states[lease]
        state.highest_epoch = max(state.highest_epoch, epoch)

    # -- Views ------------------------------------------------------------------------------------------

    def token(self, lease: int, now_us: int) -> int:
        """Return the fencing token of `lease` if this member holds it at `now_us`, else 0."""
        state = self.states[lease]
        return state.held_epoch if state.held_until_us > now_us else 0

    def highest_epoch(self, lease: int) -> int:
        """Return the highest epoch of `lease` that this member knows."""
        return self.states[lease].highest_epoch

    def due_us(self, now_us: int) -> int:
        """Return the latest time at which `tick` must be called next."""
        due_us = now_us + self.timing.retry_us
        for state in self.states:
            if state.request_id:
                due_us = min(due_us, state.request_sent_us + self.timing.retry_us)
            elif state.held_until_us > now_us:
                due_us = min(due_us, max(now_us, state.held_until_us - self.timing.renew_us))
        return due_us

    def knows_highest_epoch(self, lease: int) -> bool:
        """Return whether another member of every majority that included this one sent its highest epoch."""
        required = min(self.size - self._majority + 1, self.size - 1)
        return len(self.states[lease].epoch_sources) >= required

    @property
    def _majority(self) -> int:
        return self.size // 2 + 1

    # -- Candidate --------------------------------------------------------------------------------------

    def _query_epochs(self, now_us: int, lease: int) -> list[OutgoingLeaseMessage]:
        state = self.states[lease]
        if self.knows_highest_epoch(lease):
            return []
        if state.epochs_queried_us and now_us < state.epochs_queried_us + self.timing.retry_us:
            return []
        state.epochs_queried_us = now_us
        query = LeaseMessage(LeaseMessageKind.EPOCH_QUERY, lease, 0, self.incarnation)
        excluded = {self.member, *state.epoch_sources}
        return [OutgoingLeaseMessage(other, query) for other in range(self.size) if other not in excluded]

    def _request(self, now_us: int, lease: int, epoch: int) -> list[OutgoingLeaseMessage]:
        state = self.states[lease]
        self.last_request_id += 1
        state.request_id = self.last_request_id
        state.request_epoch = epoch
        state.request_sent_us = now_us
        state.grants = frozenset()
        self.counters.requested += 1
        request = LeaseMessage(LeaseMessageKind.REQUEST, lease, epoch, self.last_request_id)
        if self._reply_to_request(now_us, self.member, request).kind is LeaseMessageKind.GRANT:
            self._count_grant(now_us, state, self.member)
        return [OutgoingLeaseMessage(other, request) for other in range(self.size) if other != self.member]

    def _count_grant(self, now_us: int, state: LeaseState, sender: int) -> None:
        state.grants |= {sender}
        if len(state.grants) < self._majority:
            return
        until_us = state.request_sent_us + self.timing.holder_term_us
        if until_us > now_us:
            if state.held_until_us <= now_us or state.held_epoch != state.request_epoch:
                self.counters.acquired += 1
            state.held_epoch, state.held_until_us = state.request_epoch, until_us
        state.request_id = 0

    # -- Acceptor ---------------------------------------------------------------------------------------

    def _reply_to_request(self, now_us: int, sender: int, request: LeaseMessage) -> LeaseMessage:
        state = self.states[request.lease]
        restart_wait_over = now_us >= self.started_us + self.timing.restart_wait_us
        may_grant = restart_wait_over and self.knows_highest_epoch(request.lease)
        if not may_grant:
            state.highest_epoch = max(state.highest_epoch, request.epoch)
        granted_to_other = state.granted_until_us > now_us and state.granted_to != sender
        is_renewal = state.granted_to == sender and state.granted_epoch == request.epoch
        if not may_grant or granted_to_other or not (is_renewal or request.epoch > state.highest_epoch):
            self.counters.rejected += 1
            highest = max(state.highest_epoch, state.granted_epoch)
            return request._replace(kind=LeaseMessageKind.REJECT, epoch=highest)
        state.granted_to = sender
        state.granted_epoch = request.epoch
        state.granted_until_us = now_us + self.timing.term_us
        state.highest_epoch = max(state.highest_epoch, request.epoch)
        self.counters.granted += 1
        return request._replace(kind=LeaseMessageKind.GRANT)


def preferred_candidate(lease: int, members: Iterable[int]) -> int:
    """Return the member that ranks first: the lowest xxh64 of `lease:member` (rendezvous hashing)."""
    return min(members, key=lambda member: xxhash.xxh64_intdigest(f"{lease}:{member}".encode()))
