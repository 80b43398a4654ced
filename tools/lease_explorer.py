"""An exhaustive explorer of the lease protocol: it runs `sidecar_balancer.lease.protocol` itself.

`explore(bound)` visits every state reachable within `bound`.  Members run `LeaseProtocol` on clocks
that are real time plus an offset in `0 .. drift`, moved by one at a tick, `drift_steps` times in all:
over any span a clock gains or loses at most `drift` against real time.  A message may be delivered in the
tick it was sent or in the next, in any order, twice (`duplicates`), or never.  A member may
crash and restart with nothing
remembered.  At a tick one member may believe itself alone (`suspicions`), and so ask though another ranks
first.  In each state:

- safety: never do two members hold the duty, and no member holds a token older than one held before;
- liveness, from each state at the last tick: if faults stop (messages arrive in order, clocks keep their
  offsets, members see each other), some member holds the duty within `settle` ticks.

`python tools/lease_explorer.py` prints the bound and the counts.
"""

from __future__ import annotations

import argparse
from collections import deque
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NamedTuple

from sidecar_balancer.lease.protocol import Kind, LeaseProtocol, LeaseState, LeaseTiming, Message

Flying = tuple[int, int, Message, int]  # sender, target, message, ticks in flight
MemberKey = tuple[object, ...]
Posts = tuple[tuple[int, Message], ...]


@dataclass(frozen=True)
class Bound:
    members: int = 3
    ticks: int = 7  # real time explored
    drift: int = 1
    drift_steps: int = 1
    crashes: int = 0
    duplicates: int = 0
    suspicions: int = 1
    in_flight: int = 4  # what would go beyond is lost
    settle: int = 24  # ticks allowed for a holder to appear once faults stop
    terms: LeaseTiming = field(
        default_factory=lambda: LeaseTiming(term_us=4, renew_us=1, skew_us=1, retry_us=2)
    )


class State(NamedTuple):
    """Times in a member's key count from its own clock's now: what differs in the hour alone is one."""

    offsets: tuple[int, ...]
    members: tuple[MemberKey, ...]
    flight: tuple[Flying, ...]
    crashes: int
    duplicates: int
    drift_steps: int
    suspicions: int
    top: int  # the highest token held so far
    top_holder: int


Step = tuple[str, State]


@dataclass
class Found:
    states: int = 0
    transitions: int = 0
    deepest: int = 0
    handovers: int = 0  # states in which another member than before holds a newer token
    violation: str = ""
    trace: list[str] = field(default_factory=list)


class Explorer:
    """The transitions of one bound; each member's are memoized, since few distinct ones occur."""

    def __init__(self, bound: Bound) -> None:
        self.bound = bound
        self._quiet = bound.terms.term_us + 2 * bound.terms.skew_us
        self._ticked = lru_cache(maxsize=None)(self._tick_member)
        self._received = lru_cache(maxsize=None)(self._receive_member)
        self._held = lru_cache(maxsize=None)(self._token)

    def start(self) -> State:
        bound = self.bound
        old = tuple((*self._fresh(me, -self._quiet)[:-2], _KNOWS, 0) for me in range(bound.members))
        budgets = (bound.crashes, bound.duplicates, bound.drift_steps, bound.suspicions)
        return State((0,) * bound.members, old, (), *budgets, 0, -1)

    def explore(self, check_liveness: bool = True) -> Found:
        """Tick by tick, up to the first violation; `trace` is then a path to it of the fewest ticks."""
        first, found = self.start(), Found()
        seen: dict[State, tuple[State | None, str]] = {first: (None, "start")}
        queue = deque([(first, 0)])
        while queue:
            state, ticks = queue.popleft()
            found.states += 1
            found.deepest = max(found.deepest, ticks)
            last = check_liveness and ticks == self.bound.ticks
            problem = self.safety(state) or (self.liveness(state) if last else "")
            if problem:
                found.violation, found.trace = problem, _path(seen, state)
                return found
            for step, after, took in self.successors(state, ticks):
                found.transitions += 1
                if after not in seen:
                    seen[after] = (state, step)
                    found.handovers += state.top_holder not in (-1, after.top_holder)
                    if took:
                        queue.append((after, ticks + 1))
                    else:
                        queue.appendleft((after, ticks))
        return found

    # -- One member's moves, by the protocol's own code ------------------------------------------------

    def _lease(self, me: int, key: MemberKey) -> LeaseProtocol:
        started, *fields = key
        table = [LeaseState(*fields)]  # type: ignore[arg-type]
        since: int = started  # type: ignore[assignment]
        return LeaseProtocol(me, self.bound.members, 1, self.bound.terms, since, table, asks=1)

    def _fresh(self, me: int, started: int) -> MemberKey:
        return self._key(LeaseProtocol(me, self.bound.members, 1, self.bound.terms, started), 0)

    def _key(self, lease: LeaseProtocol, now: int) -> MemberKey:
        """What of a member decides its future: times from its own now, what ran out as 0, asks as 0 or 1."""
        duty = lease.table[0]
        started = max(lease.started - now, -self._quiet)
        promised = (duty.promised_to, duty.promised_epoch, max(duty.promised_until - now, 0))
        held = (duty.epoch, max(duty.until - now, 0))
        ask = (1, duty.ask_epoch, duty.ask_sent - now, duty.grants) if duty.asking else (0, 0, 0, frozenset())
        learned = (_KNOWS, 0) if lease.knows(0) else (duty.learned, duty.learned_at and duty.learned_at - now)
        return (started, duty.highest, *promised, *held, *ask, *learned)

    def _tick_member(self, me: int, key: MemberKey, lapse: int, alone: bool) -> tuple[MemberKey, Posts]:
        lease = self._lease(me, key)
        sent = lease.tick(lapse, [] if alone else range(self.bound.members))
        return self._key(lease, lapse), tuple(
            (to, message._replace(ask=1) if message.kind is Kind.ASK else message) for to, message in sent
        )

    def _receive_member(
        self, me: int, key: MemberKey, sender: int, message: Message
    ) -> tuple[MemberKey, Posts]:
        lease = self._lease(me, key)
        sent = lease.receive(0, sender, message)
        return self._key(lease, 0), tuple(sent)

    def _token(self, me: int, key: MemberKey) -> int:
        return self._lease(me, key).holds(0, 0)

    # -- The tier's moves ------------------------------------------------------------------------------

    def holders(self, state: State) -> list[tuple[int, int]]:
        """Who holds the duty, with its token."""
        told = ((me, self._held(me, key)) for me, key in enumerate(state.members))
        return [(me, token) for me, token in told if token]

    def safety(self, state: State) -> str:
        held = self.holders(state)
        if len(held) > 1:
            return f"two holders: {held}"
        for me, token in held:
            if token < state.top or (token == state.top and me != state.top_holder):
                return f"member {me} holds token {token}, after {state.top} went to {state.top_holder}"
        return ""

    def successors(self, state: State, ticks: int) -> list[tuple[str, State, bool]]:
        """Each next state, how it comes about, and whether a tick passes."""
        out: list[tuple[str, State, bool]] = []
        for index, (sender, target, message, _) in enumerate(state.flight):
            rest = state.flight[:index] + state.flight[index + 1 :]
            name = f"deliver {sender}->{target} {message.kind.name} {message.epoch}"
            out.append((name, self.deliver(state, index, rest), False))
            if state.duplicates:
                kept = self.deliver(state, index, state.flight)
                out.append((name + " and keep it", kept._replace(duplicates=state.duplicates - 1), False))
        if ticks < self.bound.ticks:
            out += [(step, after, True) for step, after in self._ticks(state)]
        if state.crashes:
            for me in range(self.bound.members):
                out.append((f"crash and restart {me}", self._crash(state, me), False))
        return [(step, self._with_holders(after), took) for step, after, took in out]

    def _ticks(self, state: State) -> list[Step]:
        out: list[Step] = []
        for offsets in self._offsets(state):
            drifted = state._replace(drift_steps=state.drift_steps - (offsets != state.offsets))
            for alone in range(-1, self.bound.members if state.suspicions else 0):
                after = self.tick(drifted, offsets, alone)._replace(
                    suspicions=state.suspicions - (alone >= 0)
                )
                out.append((f"tick, offsets {offsets}, alone {alone}", after))
        return out

    def _offsets(self, state: State) -> list[tuple[int, ...]]:
        out = [state.offsets]
        for me, offset in enumerate(state.offsets):
            for step in (-1, 1) if state.drift_steps else ():
                if 0 <= offset + step <= self.bound.drift:
                    out.append((*state.offsets[:me], offset + step, *state.offsets[me + 1 :]))
        return out

    def deliver(self, state: State, index: int, rest: tuple[Flying, ...]) -> State:
        sender, target, message, _ = state.flight[index]
        key, sent = self._received(target, state.members[target], sender, message)
        return self._after(state, target, key, rest, sent)

    def tick(self, state: State, offsets: tuple[int, ...], alone: int = -1) -> State:
        """Real time goes on by one; every member ticks and sees all the others, but `alone` sees none."""
        late = tuple((sender, target, message, 1) for sender, target, message, age in state.flight if not age)
        state, before = state._replace(offsets=offsets, flight=late), state.offsets
        for me in range(self.bound.members):
            lapse = 1 + offsets[me] - before[me]
            key, sent = self._ticked(me, state.members[me], lapse, me == alone)
            state = self._after(state, me, key, state.flight, sent, ticked=True)
        return state

    def _crash(self, state: State, me: int) -> State:
        members = (*state.members[:me], self._fresh(me, 0), *state.members[me + 1 :])
        return state._replace(members=members, crashes=state.crashes - 1)

    def _after(
        self,
        state: State,
        me: int,
        key: MemberKey,
        flight: tuple[Flying, ...],
        sent: Posts,
        ticked: bool = False,
    ) -> State:
        before = state.members[me]
        if before != key and before[_ASKING] and (not key[_ASKING] or (ticked and _asks(sent))):
            flight = tuple(_outdated(me, each) for each in flight)  # its ask is over, or another began
        if sent:
            flight = (*flight, *((me, to, message, 0) for to, message in sent))
        members = (*state.members[:me], key, *state.members[me + 1 :])
        state = state._replace(members=members)
        return state._replace(flight=tuple(sorted(self._telling(state, flight)))[: self.bound.in_flight])

    def _telling(self, state: State, flight: tuple[Flying, ...]) -> tuple[Flying, ...]:
        """Without replies that would change nothing, now or later (a crash forgets what they tell)."""
        if state.crashes:
            return flight
        return tuple(
            each
            for each in flight
            if each[2].kind in (Kind.ASK, Kind.LEARN)
            or self._received(each[1], state.members[each[1]], each[0], each[2])[0] != state.members[each[1]]
        )

    def _with_holders(self, state: State) -> State:
        held = self.holders(state)
        if held and held[0][1] > state.top:
            return state._replace(top=held[0][1], top_holder=held[0][0])
        return state

    def liveness(self, state: State) -> str:
        for _ in range(self.bound.settle):
            if self.holders(state):
                return ""
            while state.flight:
                state = self.deliver(state, 0, state.flight[1:])
            state = self.tick(state, state.offsets)
        return "" if self.holders(state) else f"no holder {self.bound.settle} ticks after faults stop"


def explore(bound: Bound, check_liveness: bool = True) -> Found:
    return Explorer(bound).explore(check_liveness)


_ASKING = 7  # its place in a member's key
_KNOWS = frozenset(range(-9, 0))  # stands for any that are enough
_OF_AN_ASK = (Kind.ASK, Kind.GRANT, Kind.REFUSE)


def _asks(sent: Posts) -> bool:
    return any(message.kind is Kind.ASK for _, message in sent)


def _outdated(me: int, flying: Flying) -> Flying:
    """A message of an ask of `me` that is no longer open."""
    sender, target, message, age = flying
    mine = message.kind in _OF_AN_ASK and (sender if message.kind is Kind.ASK else target) == me
    return (sender, target, message._replace(ask=0), age) if mine and message.ask else flying


def _path(seen: dict[State, tuple[State | None, str]], state: State) -> list[str]:
    steps: list[str] = []
    at: State | None = state
    while at is not None:
        at, step = seen[at]
        steps.append(step)
    return steps[::-1]


def main() -> None:
    parser = argparse.ArgumentParser(description="explore every state of the lease protocol within a bound")
    for name in ("ticks", "drift", "drift_steps", "crashes", "duplicates", "suspicions", "in_flight"):
        parser.add_argument("--" + name.replace("_", "-"), type=int, default=getattr(Bound, name))
    parser.add_argument("--no-margin", action="store_true", help="leave out the skew margin (finds the bug)")
    args = vars(parser.parse_args())
    terms = LeaseTiming(term_us=4, renew_us=1, skew_us=0 if args.pop("no_margin") else 1, retry_us=2)
    bound = Bound(terms=terms, **args)
    found = explore(bound)
    print(f"bound: {bound}")
    print(f"states {found.states}, transitions {found.transitions}, handovers {found.handovers}")
    print(f"violation: {found.violation or 'none'}")
    for step in found.trace:
        print("  " + step)


if __name__ == "__main__":
    main()
