"""SWIM membership with Lifeguard's local health, and gossip of verdicts, sans-IO.

Members are the sidecars of one tier, numbered as in the configuration's `peers`.  Events go in
(`tick`, `receive`, `publish`) with the time in microseconds of a monotonic clock; datagrams come out as
`(member, bytes)`.  Each protocol period one member, in shuffled round-robin order, is pinged; without an
ack within the probe timeout `indirect` others are asked to ping it (ping-req); without any ack by the
period's end it is suspected.  A suspicion not refuted within the suspicion timeout makes it dead.  A member
that hears itself suspected or dead refutes with a higher incarnation, so a process that restarts under the
same number wins over stale rumours.  Now and then a dead member is pinged too: a partition that heals
joins again.

Local health (Lifeguard): a score 0..`health_most` that rises with each probe that went unanswered and each
refutation, and falls with each ack; timeouts are stretched by score + 1, so a slow process suspects less.

See docs/membership.md for the bounds on detection and dissemination.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.codec import (
    ActUpdate,
    FactUpdate,
    Kind,
    LeaseUpdate,
    MalformedDatagramError,
    MemberUpdate,
    Message,
    Status,
    Update,
    VerdictUpdate,
    WireVerdict,
)
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.verdict_table import VerdictTable

Datagram = tuple[int, bytes]  # to the member of that number
STATE_PARTS_MOST = 100  # datagrams of one answer to a member that starts
_STATE_AGAIN_US = 1_000_000
_US_PER_MS = 1000


@dataclass(slots=True)
class Member:
    incarnation: int = 0
    status: Status = Status.ALIVE
    changed_us: int = 0


class TierVerdict(NamedTuple):
    """What live members hold on a subject, by the slot of `codec.VerdictUpdate`."""

    subject: str
    slot: int
    verdict: WireVerdict
    members: int  # how many hold one; `verdict` is the most frequent


@dataclass(slots=True)
class Probe:
    target: int
    seq: int
    sent_us: int
    acked: bool = False
    indirect_sent: bool = False


@dataclass(slots=True)
class Relay:
    requester: int
    seq: int
    until_us: int


@dataclass(slots=True)
class Counts:
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: Counter[str] = field(default_factory=Counter)  # by why


class Swim:
    """One member's view of the tier.  `me` in `range(size)`; `seed` draws the probe order."""

    def __init__(
        self, me: int, size: int, seed: int, tuning: MembershipSettings | None = None, now_us: int = 0
    ) -> None:
        if not 0 <= me < size <= codec.MEMBERS_MOST:
            raise ValueError(f"peer_plane: member {me} of {size} is out of range")
        self.me, self.size, self.tuning = me, size, tuning or MembershipSettings()
        self.incarnation = 0
        self.health = 0
        self.members = {each: Member(changed_us=now_us) for each in range(size) if each != me}
        self.verdicts = VerdictTable(self.tuning.verdicts_most)
        self.counts = Counts()
        self._random = random.Random(seed)
        self._order: list[int] = []
        self._probes = 0
        self._seq = self._random.randrange(1 << 31)
        self._counter = 0
        self._probe: Probe | None = None
        self._next_probe_us = now_us
        self._relays: dict[int, Relay] = {}
        self._gossip: dict[tuple[int, int, str], tuple[Update, int]] = {}  # key -> update, sends left
        self.on_lease: Callable[[int, int, LeaseUpdate], list[tuple[int, LeaseUpdate]]] = lambda *_: []
        self.on_act: Callable[[int, ActUpdate], bool] = lambda *_: False  # whether it is new and in force
        self.own_latencies: dict[str, int] = {}  # what this member learned of servers, for those that start
        self.received_latencies: dict[str, int] = {}
        self.state_complete = False
        self._state_parts: dict[int, set[int]] = {}
        self._state_told: dict[int, int] = {}  # when each member was last told all

    # -- Events -----------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> list[Datagram]:
        """Advance the clock: probes, ping-reqs, suspicions that run out.  Call at least every `due_us()`."""
        out: list[Datagram] = []
        self._expire_suspicions(now_us)
        probe = self._probe
        if probe is not None and not probe.acked and not probe.indirect_sent:
            if now_us >= probe.sent_us + self._scaled(self.tuning.probe_timeout_ms):
                probe.indirect_sent = True
                out += self._ask_others(probe)
        if now_us >= self._next_probe_us:
            self._end_probe(now_us)
            out += self._start_probe(now_us)
        self._relays = {seq: each for seq, each in self._relays.items() if each.until_us > now_us}
        return out

    def due_us(self) -> int:
        """When `tick` is next needed, at the latest."""
        probe = self._probe
        due = self._next_probe_us
        if probe is not None and not probe.acked and not probe.indirect_sent:
            due = min(due, probe.sent_us + self._scaled(self.tuning.probe_timeout_ms))
        return due

    def receive(self, now_us: int, sender: int, data: bytes) -> list[Datagram]:
        """A datagram from member `sender`; what is malformed is dropped and counted in `counts.dropped`."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        if sender == self.me or sender not in self.members:
            self.counts.dropped["sender"] += 1
            return []
        try:
            message = codec.decode(data)
        except MalformedDatagramError:
            self.counts.dropped["malformed"] += 1
            return []
        self._remind(sender, message.incarnation)
        self._hear_of(now_us, MemberUpdate(sender, message.incarnation, Status.ALIVE))
        out: list[Datagram] = []
        for update in message.updates:
            if isinstance(update, LeaseUpdate):
                out += self.direct(self.on_lease(now_us, sender, update))
            else:
                self._hear_of(now_us, update)
        return out + self._answer(now_us, sender, message)

    def direct(self, posts: list[tuple[int, LeaseUpdate]]) -> list[Datagram]:
        """Datagrams for single members, with gossip riding along."""
        return [
            self._send(target, Message(Kind.DIRECT, self.incarnation, 0, -1, (update,)))
            for target, update in posts
        ]

    def spread_act(self, act: ActUpdate) -> None:
        self._spread(act, (3, act.duty, act.subject))

    def request_state(self, now_us: int) -> list[Datagram]:
        """Ask a few members for all that they hold; `state_complete` says once one answered in full."""
        helpers = self._random.sample(self.alive(), min(self.tuning.indirect, len(self.alive())))
        return [self._send(each, Message(Kind.STATE_ASK, self.incarnation, 0)) for each in helpers]

    def publish(
        self,
        now_us: int,
        server: str,
        verdict: WireVerdict,
        evidence: int,
        ttl_ms: int,
        slot: int = codec.ALL_CLASSES,
    ) -> None:
        """Hold a verdict of this member's own on `server` (see `VerdictUpdate`) and gossip it."""
        self._counter += 1
        update = VerdictUpdate(
            self.me,
            self.incarnation,
            self._counter,
            server,
            verdict,
            min(evidence, codec.EVIDENCE_MOST),
            max(1, min(ttl_ms, codec.TTL_MOST_MS)),
            slot,
        )
        self._hear_of(now_us, update)

    def restore(
        self, now_us: int, incarnation: int, counter: int, held: list[tuple[VerdictUpdate, int]]
    ) -> None:
        """Start from what a snapshot kept: a life after `incarnation`, versions after `counter`, and the
        verdicts of others, each with the ms it had left."""
        self.incarnation = min(incarnation + 1, (1 << 32) - 1)
        self._counter = max(self._counter, counter)
        self._spread(MemberUpdate(self.me, self.incarnation, Status.ALIVE), (0, self.me, ""))
        for update, left_ms in held:
            if update.origin != self.me and update.origin in self.members:
                self.verdicts.take(now_us, replace(update, ttl_ms=left_ms))

    def restore_members(self, now_us: int, kept: dict[int, tuple[Status, int]]) -> None:
        """Take the view that an earlier life had; who was dead then is suspect, until it is heard or not."""
        for number, (status, incarnation) in kept.items():
            member = self.members.get(number)
            if member is not None and incarnation >= member.incarnation:
                held = Status.SUSPECT if status is Status.DEAD else status
                member.incarnation, member.status, member.changed_us = incarnation, held, now_us

    @property
    def counter(self) -> int:
        """The version of this member's latest verdict."""
        return self._counter

    # -- Views ------------------------------------------------------------------------------------------

    def alive(self) -> list[int]:
        """Members held alive or suspect (suspects still serve), this one left out."""
        return sorted(each for each, member in self.members.items() if member.status is not Status.DEAD)

    def view(self) -> dict[int, tuple[Status, int]]:
        """Every other member's status and incarnation as this one holds them."""
        return {each: (member.status, member.incarnation) for each, member in sorted(self.members.items())}

    def agreeing(self, now_us: int, server: str, verdict: WireVerdict) -> int:
        """How many live members other than this one hold `verdict` on `server` now."""
        live = set(self.alive())
        return sum(
            1 for each in self.verdicts.holding(now_us, server, verdict, self.me) if each.origin in live
        )

    def _told(self, now_us: int) -> list[VerdictUpdate]:
        """The unexpired verdicts of live members other than this one."""
        live = set(self.alive())
        return [update for update, _ in self.verdicts.live(now_us) if update.origin in live]

    def tier_disabled(self, now_us: int) -> frozenset[str]:
        """Servers that the operators of at least `ban_quorum` live peers have left out now.

        `ban_most` at most: those held by the most peers first, then by name."""
        held = Counter(each.server for each in self._told(now_us) if each.verdict is WireVerdict.DISABLED)
        chosen = sorted((-count, server) for server, count in held.items() if count >= self.tuning.ban_quorum)
        return frozenset(server for _, server in chosen[: self.tuning.ban_most])

    def tier_verdicts(self, now_us: int, class_count: int) -> list[TierVerdict]:
        """What live peers hold against servers, classes and zones now, one line each, in a fixed order."""
        held = dict[tuple[str, int], Counter[WireVerdict]]()
        for update in self._told(now_us):
            against = update.verdict not in (WireVerdict.CLEARED, WireVerdict.DISABLED, WireVerdict.DEMAND)
            named = update.slot < class_count and update.slot not in (codec.BAN, codec.ASKED)
            if against and named:
                held.setdefault((update.server, update.slot), Counter())[update.verdict] += 1
        return [
            TierVerdict(subject, slot, verdicts.most_common(1)[0][0], verdicts.total())
            for (subject, slot), verdicts in sorted(held.items())
        ]

    def tier_ejected(self, now_us: int) -> frozenset[str]:
        """Servers that half of the live peers hold ejected now, and two of them at least: for a member that
        starts and knows nothing itself."""
        held = Counter(each.server for each in self._told(now_us) if each.verdict is WireVerdict.EJECTED)
        enough = max(2, len(self.alive()) / 2)
        return frozenset(server for server, count in held.items() if count >= enough)

    def tier_demand(self, now_us: int) -> dict[str, float]:
        """What the live peers were asked of late in all, requests a second by tenant."""
        asked = Counter[str]()
        for update in self._told(now_us):
            if update.slot == codec.ASKED and update.verdict is WireVerdict.DEMAND:
                asked[update.server] += update.evidence
        return {tenant: hundredths / 100.0 for tenant, hundredths in asked.items()}

    # -- Probing ----------------------------------------------------------------------------------------

    def _start_probe(self, now_us: int) -> list[Datagram]:
        self._next_probe_us = now_us + self._scaled(self.tuning.period_ms)
        target = self._next_target()
        if target is None:
            self._probe = None
            return []
        self._probe = Probe(target, self._next_seq(), now_us)
        return [self._send(target, Message(Kind.PING, self.incarnation, self._probe.seq))]

    def _end_probe(self, now_us: int) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        member = self.members[probe.target]
        if probe.acked:
            self.health = max(self.health - 1, 0)
            return
        self.health = min(self.health + 1, self.tuning.health_most)
        if member.status is Status.ALIVE:
            self._hear_of(now_us, MemberUpdate(probe.target, member.incarnation, Status.SUSPECT))

    def _next_target(self) -> int | None:
        self._probes += 1
        dead = [each for each, member in self.members.items() if member.status is Status.DEAD]
        if dead and self._probes % self.tuning.rejoin_every == 0:
            return self._random.choice(dead)
        for _ in range(2):
            while self._order:
                target = self._order.pop()
                if self.members[target].status is not Status.DEAD:
                    return target
            self._order = [each for each, member in self.members.items() if member.status is not Status.DEAD]
            self._random.shuffle(self._order)
        return None

    def _ask_others(self, probe: Probe) -> list[Datagram]:
        helpers = [each for each in self.alive() if each != probe.target]
        chosen = self._random.sample(helpers, min(self.tuning.indirect, len(helpers)))
        ask = Message(Kind.PING_REQ, self.incarnation, probe.seq, probe.target)
        return [self._send(each, ask) for each in chosen]

    def _answer(self, now_us: int, sender: int, message: Message) -> list[Datagram]:
        if message.kind is Kind.STATE_ASK:
            return self._tell_all(now_us, sender)
        if message.kind is Kind.STATE:
            self._note_part(sender, message)
        if message.kind in (Kind.STATE, Kind.DIRECT):
            return []
        if message.kind is Kind.PING:
            return [self._send(sender, Message(Kind.ACK, self.incarnation, message.seq))]
        if message.kind is Kind.PING_REQ:
            if message.target == self.me or message.target not in self.members:
                return [self._send(sender, Message(Kind.ACK, self.incarnation, message.seq))]
            seq = self._next_seq()
            until = now_us + self._scaled(self.tuning.period_ms)
            self._relays[seq] = Relay(sender, message.seq, until)
            return [self._send(message.target, Message(Kind.PING, self.incarnation, seq))]
        probe = self._probe
        if probe is not None and message.seq == probe.seq:
            probe.acked = True
        relay = self._relays.pop(message.seq, None)
        if relay is not None:
            return [self._send(relay.requester, Message(Kind.ACK, self.incarnation, relay.seq))]
        return []

    # -- All state, for a member that starts ------------------------------------------------------------

    def _tell_all(self, now_us: int, target: int) -> list[Datagram]:
        """All verdicts and facts held, in as many datagrams as it takes; once a second to each member."""
        if now_us < self._state_told.get(target, now_us - _STATE_AGAIN_US) + _STATE_AGAIN_US:
            self.counts.dropped["state"] += 1
            return []
        self._state_told[target] = now_us
        left: list[Update] = [replace(each, ttl_ms=ms) for each, ms in self.verdicts.live(now_us)]
        left += [FactUpdate(server, pace) for server, pace in self.own_latencies.items()]
        parts: list[list[Update]] = []
        while left and len(parts) < STATE_PARTS_MOST:
            most = Message(Kind.STATE, self.incarnation, STATE_PARTS_MOST, STATE_PARTS_MOST)
            taken = max(codec.encode(most, left)[1], 1)
            parts.append(left[:taken])
            left = left[taken:]
        return [
            self._count(
                target, codec.encode(Message(Kind.STATE, self.incarnation, number, len(parts)), part)[0]
            )
            for number, part in enumerate(parts or [[]])
        ]

    def _note_part(self, sender: int, message: Message) -> None:
        got = self._state_parts.setdefault(sender, set())
        got.add(message.seq)
        if len(got) >= message.target:
            self.state_complete = True

    def _expire_suspicions(self, now_us: int) -> None:
        timeout = self._suspicion_us()
        for each, member in self.members.items():
            if member.status is Status.SUSPECT and now_us >= member.changed_us + timeout:
                self._hear_of(now_us, MemberUpdate(each, member.incarnation, Status.DEAD))

    def _suspicion_us(self) -> int:
        rounds = self.tuning.suspicion_mult * max(1.0, math.log10(self.size))
        return self._scaled(int(rounds * self.tuning.period_ms))

    def _scaled(self, span_ms: int) -> int:
        return span_ms * (self.health + 1) * _US_PER_MS

    def _next_seq(self) -> int:
        self._seq = (self._seq + 1) % (1 << 32)
        return self._seq

    # -- Rumours ----------------------------------------------------------------------------------------

    def _hear_of(self, now_us: int, update: Update) -> None:
        if isinstance(update, VerdictUpdate):
            if update.origin != self.me or (update.counter > 0 and update.incarnation == self.incarnation):
                if self.verdicts.take(now_us, update):
                    self._spread(update, _key_of(update))
            return
        if isinstance(update, ActUpdate):
            if self.on_act(now_us, update):
                self.spread_act(update)
            return
        if isinstance(update, FactUpdate):
            if len(self.received_latencies) < self.tuning.verdicts_most:
                self.received_latencies[update.server] = update.pace
            return
        if isinstance(update, LeaseUpdate):
            return
        if update.member == self.me:
            self._refute(update)
            return
        member = self.members.get(update.member)
        if member is None or not _overrides(update, member):
            return
        back = update.status is Status.ALIVE and (
            member.status is Status.DEAD or update.incarnation > member.incarnation
        )
        member.incarnation, member.status, member.changed_us = update.incarnation, update.status, now_us
        self._spread(update, (0, update.member, ""))
        if back:
            self._spread_own(now_us)

    def _spread_own(self, now_us: int) -> None:
        """A member is back (a new life, or from the dead): it may have missed this one's verdicts."""
        for update, left_ms in self.verdicts.live(now_us):
            if update.origin == self.me:
                self._spread(replace(update, ttl_ms=left_ms), _key_of(update))

    def _remind(self, sender: int, incarnation: int) -> None:
        """A member held suspect or dead speaks: tell it so first, that it may refute."""
        member = self.members[sender]
        if member.status is not Status.ALIVE and incarnation <= member.incarnation:
            self._spread(MemberUpdate(sender, member.incarnation, member.status), (0, sender, ""))

    def _refute(self, update: MemberUpdate) -> None:
        """A rumour of this member that is not its own: outbid it (a stale life or a suspicion)."""
        if update.incarnation < self.incarnation:
            return
        if update.status is Status.ALIVE and update.incarnation == self.incarnation:
            return
        if update.status is not Status.ALIVE:
            self.health = min(self.health + 1, self.tuning.health_most)
        self.incarnation = update.incarnation + 1
        self._spread(MemberUpdate(self.me, self.incarnation, Status.ALIVE), (0, self.me, ""))

    def _spread(self, update: Update, key: tuple[int, int, str]) -> None:
        self._gossip[key] = (update, retransmits(self.size, self.tuning))

    def _send(self, target: int, message: Message) -> Datagram:
        pending = [item for item in self._gossip.items() if not _from(item[1][0], target)]
        pending.sort(key=lambda item: (not _about(item[1][0], target), -item[1][1]))
        data, taken = codec.encode(message, [update for _, (update, _) in pending])
        for key, (update, left) in pending[:taken]:
            if left <= 1:
                del self._gossip[key]
            else:
                self._gossip[key] = (update, left - 1)
        return self._count(target, data)

    def _count(self, target: int, data: bytes) -> Datagram:
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        return target, data


def _key_of(update: VerdictUpdate) -> tuple[int, int, str]:
    return 1, update.origin, f"{update.slot}:{update.server}"


def _overrides(update: MemberUpdate, member: Member) -> bool:
    """SWIM's order of rumours about one member."""
    if update.incarnation != member.incarnation:
        return update.incarnation > member.incarnation
    return update.status > member.status


def retransmits(size: int, tuning: MembershipSettings) -> int:
    """How many messages carry each rumour (memberlist's limit): mult x ceil(log10(N + 1))."""
    return tuning.retransmit_mult * math.ceil(math.log10(size + 1))


def _from(update: Update, member: int) -> bool:
    """A verdict is not told back to its origin."""
    return isinstance(update, VerdictUpdate) and update.origin == member


def _about(update: Update, member: int) -> bool:
    return isinstance(update, MemberUpdate) and update.member == member
