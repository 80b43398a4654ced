"""Single-holder duties: a lease per named duty, granted by a majority of the tier, with a fencing token.

Sans-IO: `tick` and `receive` take the member's monotonic clock in µs and give `(target, Message)` to send.

Each member is both a candidate and an acceptor.  An acceptor promises a duty to one holder for `term_us` of
its own clock from the moment the ask arrives, and grants a new holder only an epoch above any it has granted.
A candidate that gathers grants of a majority (itself included) for one ask holds the duty until

    sent + term_us - 2 * skew_us        (its own clock, `sent` the moment the ask left)

which ends before any granting acceptor's promise does, as long as no clock gains or loses more than `skew_us`
against real time over one term.  The holder renews `renew_us` before the end; a member that holds nothing
asks only if it ranks first among the members it believes alive (rendezvous hash of duty and member, xxh64).
The epoch is the fencing token: every act of the duty carries it and receivers (`Fence`) refuse an older one.

A member that starts (or restarts: it forgets its promises and the epochs it granted) grants nothing for
`term_us + 2 * skew_us`, so a promise it made before the crash has run out, and nothing before so many others
told it the highest epoch they know that every majority it may have been part of is among them: else an epoch
could be given out twice (the explorer found that).  Both hold while no more than a minority restarts within
that span; a tier that restarts whole begins anew, fences and all.  Source: Gray and Cheriton's leases; the
majority and epochs are those of Paxos' first phase.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

import xxhash


class Kind(IntEnum):
    ASK = 8
    GRANT = 9
    REFUSE = 10
    LEARN = 11  # a member that started asks for the highest epoch known
    TOLD = 12


class Message(NamedTuple):
    """`ask` numbers a candidate's asks, so a late grant of an older ask is not counted for a newer one; of a
    LEARN it is the life that asks, and its TOLD repeats it."""

    kind: Kind
    duty: int
    epoch: int
    ask: int


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in µs of the member's own monotonic clock.  `skew_us`: what a clock may gain or lose against
    real time over one term.  `retry_us`: how long an ask waits for a majority before it is asked again."""

    term_us: int = 3_000_000
    renew_us: int = 1_000_000
    skew_us: int = 100_000
    retry_us: int = 250_000

    def __post_init__(self) -> None:
        if (
            not 0 <= 2 * self.skew_us < self.term_us - self.renew_us
            or self.renew_us <= 0
            or self.retry_us <= 0
        ):
            raise ValueError("lease: renew_us > 0 and term_us > renew_us + 2 * skew_us are needed")

    @property
    def held_us(self) -> int:
        return self.term_us - 2 * self.skew_us


@dataclass(slots=True)
class LeaseState:
    """One duty as one member knows it: acceptor side (`promised_to`, `promised_until`, `highest`) and
    candidate side (`epoch`, `until`, the open ask)."""

    highest: int = 0  # the highest epoch this member granted or heard of
    promised_to: int = -1
    promised_epoch: int = 0
    promised_until: int = 0
    epoch: int = 0  # the epoch this member holds or last held
    until: int = 0  # it holds while the clock is below this
    asking: int = 0  # the number of the open ask, 0: none
    ask_epoch: int = 0
    ask_sent: int = 0
    grants: frozenset[int] = frozenset()
    learned: frozenset[int] = frozenset()  # who told this life the highest epoch it knows
    learned_at: int = 0  # when that was last asked for; 0: not yet


@dataclass(slots=True)
class Counts:
    asked: int = 0
    granted: int = 0
    refused: int = 0
    taken: int = 0  # holdings begun
    dropped: int = 0  # messages that name no duty of ours or come from no member


Out = list[tuple[int, Message]]


@dataclass
class LeaseProtocol:
    """Member `me` of `size`; `duties` named by number (their names live with the caller).

    `life` tells this start from earlier ones of the same member: any number that they did not use."""

    me: int
    size: int
    duties: int
    terms: LeaseTiming
    started: int
    table: list[LeaseState] = field(default_factory=list)
    counts: Counts = field(default_factory=Counts)
    life: int = 0
    asks: int = -1  # the number of the last ask; it goes on from `life`

    def __post_init__(self) -> None:
        if not 0 <= self.me < self.size or self.duties <= 0:
            raise ValueError(f"lease: member {self.me} of {self.size}, {self.duties} duties")
        if self.asks < 0:
            self.asks = self.life
        if not self.table:
            self.table = [LeaseState() for _ in range(self.duties)]

    # -- Events -----------------------------------------------------------------------------------------

    def tick(self, now: int, alive: Iterable[int]) -> Out:
        """Renew what is held, ask for what this member ranks first for; `alive`: members it believes up."""
        ranked = {self.me, *alive}
        out: Out = []
        for number, duty in enumerate(self.table):
            out += self._learn(now, number)
            if duty.asking and now >= duty.ask_sent + self.terms.retry_us:
                duty.asking = 0
            if duty.asking:
                continue
            if duty.until > now:
                if now >= duty.until - self.terms.renew_us:
                    out += self._ask(now, number, duty.epoch)
            elif first(number, ranked) == self.me:
                out += self._ask(now, number, max(duty.highest, duty.epoch) + 1)
        return out

    def receive(self, now: int, sender: int, message: Message) -> Out:
        if not (0 <= sender < self.size and sender != self.me and 0 <= message.duty < self.duties):
            self.counts.dropped += 1
            return []
        duty = self.table[message.duty]
        if message.kind is Kind.ASK:
            return [(sender, self._accept(now, sender, message))]
        if message.kind is Kind.LEARN:
            return [(sender, Message(Kind.TOLD, message.duty, duty.highest, message.ask))]
        duty.highest = max(duty.highest, message.epoch)
        if message.kind is Kind.TOLD and message.ask == self.life:
            duty.learned |= {sender}
        elif message.kind is Kind.GRANT and duty.asking == message.ask and duty.ask_epoch == message.epoch:
            self._granted(now, duty, sender)
        return []

    # -- Reading ----------------------------------------------------------------------------------------

    def holds(self, duty: int, now: int) -> int:
        """The fencing token of `duty` while this member holds it at `now`, else 0."""
        held = self.table[duty]
        return held.epoch if held.until > now else 0

    def due(self, now: int) -> int:
        """When `tick` is next needed, at the latest."""
        due = now + self.terms.retry_us
        for duty in self.table:
            if duty.asking:
                due = min(due, duty.ask_sent + self.terms.retry_us)
            elif duty.until > now:
                due = min(due, max(now, duty.until - self.terms.renew_us))
        return due

    def knows(self, duty: int) -> bool:
        """Whether enough others told it their highest epoch: one of each majority it was in."""
        majority = self.size // 2 + 1
        return len(self.table[duty].learned) >= min(self.size - majority + 1, self.size - 1)

    # -- Inside -----------------------------------------------------------------------------------------

    def _learn(self, now: int, number: int) -> Out:
        duty = self.table[number]
        if self.knows(number) or (duty.learned_at and now < duty.learned_at + self.terms.retry_us):
            return []
        duty.learned_at = now
        learn = Message(Kind.LEARN, number, 0, self.life)
        return [(other, learn) for other in range(self.size) if other not in {self.me, *duty.learned}]

    def _ask(self, now: int, number: int, epoch: int) -> Out:
        duty = self.table[number]
        self.asks += 1
        duty.asking, duty.ask_epoch, duty.ask_sent, duty.grants = self.asks, epoch, now, frozenset()
        self.counts.asked += 1
        ask = Message(Kind.ASK, number, epoch, self.asks)
        if self._accept(now, self.me, ask).kind is Kind.GRANT:
            self._granted(now, duty, self.me)
        return [(other, ask) for other in range(self.size) if other != self.me]

    def _accept(self, now: int, sender: int, ask: Message) -> Message:
        duty = self.table[ask.duty]
        renewal = duty.promised_to == sender and duty.promised_epoch == ask.epoch
        busy = duty.promised_until > now and duty.promised_to != sender
        settled = now >= self.started + self.terms.term_us + 2 * self.terms.skew_us
        quiet = not (settled and self.knows(ask.duty))
        if quiet or busy or not (renewal or ask.epoch > duty.highest):
            duty.highest = max(duty.highest, ask.epoch) if quiet else duty.highest
            self.counts.refused += 1
            return Message(Kind.REFUSE, ask.duty, max(duty.highest, duty.promised_epoch), ask.ask)
        duty.promised_to, duty.promised_epoch, duty.promised_until = (
            sender,
            ask.epoch,
            now + self.terms.term_us,
        )
        duty.highest = max(duty.highest, ask.epoch)
        self.counts.granted += 1
        return Message(Kind.GRANT, ask.duty, ask.epoch, ask.ask)

    def _granted(self, now: int, duty: LeaseState, sender: int) -> None:
        duty.grants |= {sender}
        if len(duty.grants) < self.size // 2 + 1:
            return
        until = duty.ask_sent + self.terms.held_us
        if until > now:
            if duty.until <= now or duty.epoch != duty.ask_epoch:
                self.counts.taken += 1
            duty.epoch, duty.until = duty.ask_epoch, until
        duty.asking = 0


def first(duty: int, members: Iterable[int]) -> int:
    """The member that ranks first for `duty`: the lowest xxh64 of `duty:member` (rendezvous hashing)."""
    return min(members, key=lambda member: xxhash.xxh64_intdigest(f"{duty}:{member}".encode()))


class Fence:
    """The receiver's side of fencing: an act is taken only with a token at least the highest seen."""

    def __init__(self) -> None:
        self.highest: dict[int, int] = {}
        self.refused = 0

    def admit(self, duty: int, token: int) -> bool:
        if token <= 0 or token < self.highest.get(duty, 0):
            self.refused += 1
            return False
        self.highest[duty] = token
        return True
