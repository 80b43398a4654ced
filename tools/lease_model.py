"""The state space of the lease protocol for one tier, whose steps run the protocol's own code.

Members run `LeaseProtocol` with one lease.  Their clocks show real time plus an offset in `0 .. drift`.
An offset changes by one at a tick, `drift_steps` times in total, so over any span a clock gains or loses at
most `drift` against real time.  A message may be delivered in the tick in which it was sent or in the next,
in any order, twice (`duplicates`), or never.  A member may crash and restart without any remembered state.
At a tick one member may believe that it is alone (`suspicions`), and then requests the lease although
another member ranks first.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from sidecar_balancer.lease.protocol import (
    NO_MEMBER,
    LeaseMessage,
    LeaseMessageKind,
    LeaseProtocol,
    LeaseState,
    LeaseTiming,
    OutgoingLeaseMessage,
)

_SUFFICIENT_EPOCH_SOURCES = frozenset(range(-9, 0))  # stands for every sufficiently large set of members
_OPEN_REQUEST_ID = 1  # id of every open request: only whether one is open matters, not its number
_REQUEST_RELATED_KINDS = (LeaseMessageKind.REQUEST, LeaseMessageKind.GRANT, LeaseMessageKind.REJECT)
_KINDS_WITH_REPLY = (LeaseMessageKind.REQUEST, LeaseMessageKind.EPOCH_QUERY)


DEFAULT_TIMING = LeaseTiming(term_us=4, renew_us=1, skew_us=1, retry_us=2)  # times in ticks, not in µs


@dataclass(frozen=True)
class Bound:
    """The part of the state space to explore."""

    members: int = 3
    ticks: int = 7  # duration in ticks of real time
    drift: int = 1
    drift_steps: int = 1
    crashes: int = 0
    duplicates: int = 0
    suspicions: int = 1
    in_flight: int = 4  # further messages are lost
    settle_ticks: int = 24  # a holder must appear within this time after faults stop
    timing: LeaseTiming = DEFAULT_TIMING


class MemberState(NamedTuple):
    """The part of a member's state that determines its behaviour.

    Times are relative to the current time of its clock, and expiry times in the past are 0.  All fields but
    the first are those of `LeaseState`, in its order.
    """

    started: int
    highest_epoch: int
    granted_to: int
    granted_epoch: int
    granted_until: int
    held_epoch: int
    held_until: int
    request_id: int
    request_epoch: int
    request_sent: int
    grants: frozenset[int]
    epoch_sources: frozenset[int]
    epochs_queried: int


class MessageInFlight(NamedTuple):
    """A message that was sent in this tick (age 0) or in the previous one."""

    sender: int
    target: int
    message: LeaseMessage
    age_ticks: int


class TierState(NamedTuple):
    """A state of the tier, with the faults that the bound still allows."""

    clock_offsets: tuple[int, ...]
    members: tuple[MemberState, ...]
    in_flight: tuple[MessageInFlight, ...]
    crashes: int
    duplicates: int
    drift_steps: int
    suspicions: int
    highest_token: int  # highest token held so far
    highest_token_holder: int


class Holder(NamedTuple):
    """A member that holds the lease, and its token."""

    member: int
    token: int


class Step(NamedTuple):
    """A transition: its cause, the state after it, and whether it is a tick."""

    description: str
    state: TierState
    is_tick: bool


class MemberStep(NamedTuple):
    """A member's state after an event, and the messages it sent."""

    state: MemberState
    sent: tuple[OutgoingLeaseMessage, ...]


class MemberModel:
    """The steps of one member, memoized because few distinct ones occur."""

    def __init__(self, size: int, timing: LeaseTiming) -> None:
        self._size = size
        self._timing = timing
        self.tick = lru_cache(maxsize=None)(self._tick)
        self.receive = lru_cache(maxsize=None)(self._receive)
        self.token = lru_cache(maxsize=None)(self._token)

    def established_state(self, member: int) -> MemberState:
        """Return the state of a member that has run for long enough to grant."""
        state = self.restarted_state(member, -self._timing.restart_wait_us)
        return state._replace(epoch_sources=_SUFFICIENT_EPOCH_SOURCES, epochs_queried=0)

    def restarted_state(self, member: int, started: int = 0) -> MemberState:
        """Return the state of a member that started without any remembered state."""
        protocol = LeaseProtocol(member, self._size, 1, self._timing, started)
        return self._state(protocol, 0)

    def _tick(self, member: int, state: MemberState, elapsed: int, sees_others: bool) -> MemberStep:
        protocol = self._protocol(member, state)
        alive = range(self._size) if sees_others else ()
        sent = protocol.tick(elapsed, alive)
        return MemberStep(
            self._state(protocol, elapsed), tuple(_with_common_request_id(outgoing) for outgoing in sent)
        )

    def _receive(self, member: int, state: MemberState, sender: int, message: LeaseMessage) -> MemberStep:
        protocol = self._protocol(member, state)
        sent = protocol.receive(0, sender, message)
        return MemberStep(self._state(protocol, 0), tuple(sent))

    def _token(self, member: int, state: MemberState) -> int:
        return self._protocol(member, state).token(0, 0)

    def _protocol(self, member: int, state: MemberState) -> LeaseProtocol:
        started, *fields = state
        lease = LeaseState(*fields)  # type: ignore[arg-type]  # mypy takes the union of all fields' types
        return LeaseProtocol(
            member, self._size, 1, self._timing, started, [lease], last_request_id=_OPEN_REQUEST_ID
        )

    def _state(self, protocol: LeaseProtocol, now: int) -> MemberState:
        lease = protocol.states[0]
        state = MemberState(
            started=max(protocol.started_us - now, -self._timing.restart_wait_us),
            highest_epoch=lease.highest_epoch,
            granted_to=lease.granted_to,
            granted_epoch=lease.granted_epoch,
            granted_until=max(lease.granted_until_us - now, 0),
            held_epoch=lease.held_epoch,
            held_until=max(lease.held_until_us - now, 0),
            request_id=0,
            request_epoch=0,
            request_sent=0,
            grants=frozenset(),
            epoch_sources=_SUFFICIENT_EPOCH_SOURCES,
            epochs_queried=0,
        )
        if lease.request_id:
            state = state._replace(
                request_id=_OPEN_REQUEST_ID,
                request_epoch=lease.request_epoch,
                request_sent=lease.request_sent_us - now,
                grants=lease.grants,
            )
        if not protocol.knows_highest_epoch(0):
            queried = lease.epochs_queried_us - now if lease.epochs_queried_us else 0
            state = state._replace(epoch_sources=lease.epoch_sources, epochs_queried=queried)
        return state


class TierModel:
    """The steps of a tier within `bound`."""

    def __init__(self, bound: Bound) -> None:
        self.bound = bound
        self._members = MemberModel(bound.members, bound.timing)

    def start(self) -> TierState:
        """Return the initial state: all members may grant, no lease is held, no message is in flight."""
        return TierState(
            clock_offsets=(0,) * self.bound.members,
            members=tuple(self._members.established_state(member) for member in range(self.bound.members)),
            in_flight=(),
            crashes=self.bound.crashes,
            duplicates=self.bound.duplicates,
            drift_steps=self.bound.drift_steps,
            suspicions=self.bound.suspicions,
            highest_token=0,
            highest_token_holder=NO_MEMBER,
        )

    def holders(self, state: TierState) -> list[Holder]:
        """Return the members that hold the lease."""
        tokens = (
            self._members.token(member, member_state) for member, member_state in enumerate(state.members)
        )
        return [Holder(member, token) for member, token in enumerate(tokens) if token]

    def steps(self, state: TierState, ticks: int) -> list[Step]:
        """Return each step from a state that was reached in `ticks` ticks."""
        steps = self._deliveries(state)
        if ticks < self.bound.ticks:
            steps += self._ticks(state)
        if state.crashes:
            for member in range(self.bound.members):
                steps.append(Step(f"crash and restart {member}", self._crash(state, member), False))
        return [step._replace(state=self._with_highest_token(step.state)) for step in steps]

    def deliver(self, state: TierState, index: int, *, keep: bool = False) -> TierState:
        """Deliver a message in flight; with `keep`, a duplicate of it remains in flight."""
        sender, target, message, _ = state.in_flight[index]
        in_flight = state.in_flight
        if not keep:
            in_flight = in_flight[:index] + in_flight[index + 1 :]
        step = self._members.receive(target, state.members[target], sender, message)
        return self._after_member_step(state, target, step, in_flight)

    def tick(self, state: TierState, clock_offsets: tuple[int, ...], isolated: int = NO_MEMBER) -> TierState:
        """Advance real time by one and tick every member; `isolated` believes that it is alone."""
        delayed = tuple(flight._replace(age_ticks=1) for flight in state.in_flight if not flight.age_ticks)
        offsets_before = state.clock_offsets
        state = state._replace(clock_offsets=clock_offsets, in_flight=delayed)
        for member in range(self.bound.members):
            elapsed = 1 + clock_offsets[member] - offsets_before[member]
            step = self._members.tick(member, state.members[member], elapsed, member != isolated)
            state = self._after_member_step(state, member, step, state.in_flight, ticked=True)
        return state

    def _deliveries(self, state: TierState) -> list[Step]:
        steps: list[Step] = []
        for index, (sender, target, message, _) in enumerate(state.in_flight):
            description = f"deliver {sender}->{target} {message.kind.name} {message.epoch}"
            steps.append(Step(description, self.deliver(state, index), False))
            if state.duplicates:
                after = self.deliver(state, index, keep=True)._replace(duplicates=state.duplicates - 1)
                steps.append(Step(description + " and keep a duplicate", after, False))
        return steps

    def _ticks(self, state: TierState) -> list[Step]:
        steps: list[Step] = []
        for offsets in self._next_clock_offsets(state):
            drift_steps = state.drift_steps - (offsets != state.clock_offsets)
            drifted = state._replace(drift_steps=drift_steps)
            for isolated in range(NO_MEMBER, self.bound.members if state.suspicions else 0):
                suspicions = state.suspicions - (isolated != NO_MEMBER)
                after = self.tick(drifted, offsets, isolated)._replace(suspicions=suspicions)
                steps.append(Step(f"tick, offsets {offsets}, alone {isolated}", after, True))
        return steps

    def _next_clock_offsets(self, state: TierState) -> list[tuple[int, ...]]:
        current = state.clock_offsets
        if not state.drift_steps:
            return [current]
        changed = [
            (*current[:member], offset + change, *current[member + 1 :])
            for member, offset in enumerate(current)
            for change in (-1, 1)
            if 0 <= offset + change <= self.bound.drift
        ]
        return [current, *changed]

    def _crash(self, state: TierState, member: int) -> TierState:
        members = _replaced(state.members, member, self._members.restarted_state(member))
        return state._replace(members=members, crashes=state.crashes - 1)

    def _after_member_step(
        self,
        state: TierState,
        member: int,
        step: MemberStep,
        in_flight: tuple[MessageInFlight, ...],
        ticked: bool = False,
    ) -> TierState:
        before = state.members[member]
        if before != step.state and before.request_id:
            new_request = ticked and _has_request(step.sent)
            if new_request or not step.state.request_id:
                in_flight = tuple(_mark_outdated(member, flight) for flight in in_flight)
        in_flight += tuple(MessageInFlight(member, target, message, 0) for target, message in step.sent)
        state = state._replace(members=_replaced(state.members, member, step.state))
        relevant = sorted(self._effective_messages(state, in_flight))
        return state._replace(in_flight=tuple(relevant)[: self.bound.in_flight])

    def _effective_messages(
        self, state: TierState, in_flight: tuple[MessageInFlight, ...]
    ) -> tuple[MessageInFlight, ...]:
        """Drop replies that have no effect now or later; while a crash may follow, they could have one."""
        if state.crashes:
            return in_flight
        return tuple(
            flight
            for flight in in_flight
            if flight.message.kind in _KINDS_WITH_REPLY or self._has_effect(state, flight)
        )

    def _has_effect(self, state: TierState, flight: MessageInFlight) -> bool:
        before = state.members[flight.target]
        return self._members.receive(flight.target, before, flight.sender, flight.message).state != before

    def _with_highest_token(self, state: TierState) -> TierState:
        holders = self.holders(state)
        if not holders or holders[0].token <= state.highest_token:
            return state
        return state._replace(highest_token=holders[0].token, highest_token_holder=holders[0].member)


def _replaced(members: tuple[MemberState, ...], member: int, state: MemberState) -> tuple[MemberState, ...]:
    return (*members[:member], state, *members[member + 1 :])


def _has_request(sent: tuple[OutgoingLeaseMessage, ...]) -> bool:
    return any(message.kind is LeaseMessageKind.REQUEST for _, message in sent)


def _with_common_request_id(outgoing: OutgoingLeaseMessage) -> OutgoingLeaseMessage:
    if outgoing.message.kind is not LeaseMessageKind.REQUEST:
        return outgoing
    return outgoing._replace(message=outgoing.message._replace(request_id=_OPEN_REQUEST_ID))


def _mark_outdated(member: int, flight: MessageInFlight) -> MessageInFlight:
    """Set `request_id` to 0 if the message belongs to a request of `member`, which is no longer open."""
    message = flight.message
    if message.kind not in _REQUEST_RELATED_KINDS or not message.request_id:
        return flight
    requester = flight.sender if message.kind is LeaseMessageKind.REQUEST else flight.target
    return flight._replace(message=message._replace(request_id=0)) if requester == member else flight
