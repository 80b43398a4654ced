"""SWIM membership with Lifeguard's local health and gossip of verdicts, sans-IO.

Members are the sidecars of one tier, numbered as in the configuration's `peers`.  Events go in (`tick`,
`receive`, `publish`) with the time in µs of a monotonic clock; datagrams come out.  In each protocol period
the failure detector probes one member; a suspect that does not refute the suspicion within the suspicion
timeout is declared dead.  A member that learns of its own suspicion or death refutes it with a higher
incarnation, so the updates of a process that restarts under the same number supersede those about its
earlier run.

See docs/membership.md for the bounds on detection and dissemination.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import replace
from typing import Protocol

from sidecar_balancer.lease.fencing import FencedCommand
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.counters import DropReason, TrafficCounters
from sidecar_balancer.membership.errors import MalformedDatagramError
from sidecar_balancer.membership.failure_detector import FailureDetector
from sidecar_balancer.membership.gossip import GossipQueue, transmit_limit
from sidecar_balancer.membership.local_health import LocalHealth
from sidecar_balancer.membership.member_table import MemberTable, Transition
from sidecar_balancer.membership.messages import (
    EVIDENCE_MAX,
    NO_ARGUMENT,
    VERDICT_TTL_MAX_MS,
    Datagram,
    DatagramKind,
    DirectUpdate,
    LatencyUpdate,
    LeaseUpdate,
    MemberStatus,
    MemberUpdate,
    Message,
    OutgoingMessage,
    Update,
    VerdictScope,
    VerdictUpdate,
    WireVerdict,
)
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.state_transfer import StateTransfer
from sidecar_balancer.membership.tier_view import TierView
from sidecar_balancer.membership.verdict_table import LiveVerdict, VerdictTable


class LeaseHandler(Protocol):
    """Handler of the lease messages and fenced commands that datagrams carry."""

    def receive_update(self, now_us: int, sender: int, update: LeaseUpdate) -> list[DirectUpdate]:
        """Handle a lease message and return the replies."""

    def accept_command(self, command: FencedCommand) -> bool:
        """Return whether the command is new and its token current, so that it is gossiped further."""


class Swim:
    """SWIM at member `member` of `size`; `seed` determines the probe order.

    Raises:
        MembershipSettingsError: `member` or `size` is out of range.
    """

    def __init__(
        self,
        member: int,
        size: int,
        seed: int,
        settings: MembershipSettings | None = None,
        now_us: int = 0,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._rng = random.Random(seed)
        self._verdict_counter = 0
        self.members = MemberTable(member, size, now_us)
        self.health = LocalHealth(self._settings.health_most)
        self.verdicts = VerdictTable(self._settings.verdicts_most)
        self.tier_view = TierView(self.verdicts, self.members, self._settings)
        self.transfer = StateTransfer(self.verdicts, self._settings.verdicts_most)
        self.counters = TrafficCounters()
        self.lease_handler: LeaseHandler | None = None
        self._detector = FailureDetector(self.members, self.health, self._settings, self._rng, now_us)
        self._gossip = GossipQueue(transmit_limit(size, self._settings.retransmit_mult))

    # -- Time -------------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> list[Datagram]:
        """Return due probes and expire suspicions; must be called no later than at `due_us()`."""
        for death in self.members.expired_suspicions(now_us, self._suspicion_timeout_us()):
            self._apply_member(now_us, death)
        datagrams = self._encode(self._detector.indirect_probes(now_us))
        if self._detector.period_ended(now_us):
            suspicion = self._detector.finish_probe()
            if suspicion is not None:
                self._apply_member(now_us, suspicion)
            datagrams += self._encode(self._detector.start_probe(now_us))
        self._detector.expire_relayed_probes(now_us)
        return datagrams

    def due_us(self) -> int:
        """Return the latest time at which `tick` must be called next."""
        return self._detector.due_us()

    def _suspicion_timeout_us(self) -> int:
        periods = self._settings.suspicion_mult * max(1.0, math.log10(self.members.size))
        return self.health.scaled_us(int(periods * self._settings.period_ms))

    # -- Receiving --------------------------------------------------------------------------------------

    def receive(self, now_us: int, sender: int, data: bytes) -> list[Datagram]:
        """Handle a datagram from member `sender`; drop and count a malformed one."""
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        if sender not in self.members:
            self.counters.dropped[DropReason.SENDER] += 1
            return []
        try:
            message = codec.decode(data)
        except MalformedDatagramError:
            self.counters.dropped[DropReason.MALFORMED] += 1
            return []
        self._gossip_suspicion_of_sender(sender, message.incarnation)
        self._apply_member(now_us, MemberUpdate(sender, message.incarnation, MemberStatus.ALIVE))
        datagrams: list[Datagram] = []
        for update in message.updates:
            datagrams += self._apply(now_us, sender, update)
        return datagrams + self._respond(now_us, sender, message)

    def _apply(self, now_us: int, sender: int, update: Update) -> list[Datagram]:
        match update:
            case MemberUpdate():
                self._apply_member(now_us, update)
            case VerdictUpdate():
                self._apply_verdict(now_us, update)
            case FencedCommand():
                if self.lease_handler is not None and self.lease_handler.accept_command(update):
                    self._gossip.add(update)
            case LatencyUpdate():
                self.transfer.receive_latency(update)
            case LeaseUpdate():
                if self.lease_handler is not None:
                    return self.send_direct(self.lease_handler.receive_update(now_us, sender, update))
        return []

    def _apply_member(self, now_us: int, update: MemberUpdate) -> None:
        if update.member == self.members.member:
            self._refute(update)
            return
        transition = self.members.apply(now_us, update)
        if transition is Transition.NONE:
            return
        self._gossip.add(update)
        if transition is Transition.REJOINED:
            self._gossip_own_verdicts(now_us)

    def _refute(self, update: MemberUpdate) -> None:
        if not self.members.refute(update):
            return
        if update.status is not MemberStatus.ALIVE:
            self.health.worsen()
        self._gossip.add(self.members.own_update())

    def _gossip_suspicion_of_sender(self, sender: int, incarnation: int) -> None:
        """Gossip the known suspicion or death of the sender, so that it can refute it."""
        known = self.members[sender]
        if known.status is not MemberStatus.ALIVE and incarnation <= known.incarnation:
            self._gossip.add(MemberUpdate(sender, known.incarnation, known.status))

    def _gossip_own_verdicts(self, now_us: int) -> None:
        """Gossip this member's verdicts again, since a member that rejoined may have missed them."""
        for update, remaining_ms in self.verdicts.live(now_us):
            if update.origin == self.members.member:
                self._gossip.add(replace(update, ttl_ms=remaining_ms))

    def _apply_verdict(self, now_us: int, update: VerdictUpdate) -> None:
        if update.origin == self.members.member:
            is_from_this_run = update.counter > 0 and update.incarnation == self.members.incarnation
            if not is_from_this_run:
                return
        if self.verdicts.merge(now_us, update):
            self._gossip.add(update)

    def _respond(self, now_us: int, sender: int, message: Message) -> list[Datagram]:
        match message.kind:
            case DatagramKind.PING:
                return self._encode(self._detector.receive_ping(sender, message))
            case DatagramKind.ACK:
                return self._encode(self._detector.receive_ack(message))
            case DatagramKind.PING_REQ:
                return self._encode(self._detector.receive_ping_request(now_us, sender, message))
            case DatagramKind.STATE_REQUEST:
                return self._send_state(now_us, sender)
            case DatagramKind.STATE_PART:
                self.transfer.receive_part(sender, message)
        return []

    def _send_state(self, now_us: int, requester: int) -> list[Datagram]:
        if not self.transfer.admit_request(now_us, requester):
            self.counters.dropped[DropReason.STATE] += 1
            return []
        parts = self.transfer.parts(now_us, self.members.incarnation)
        return [self._count_sent(Datagram(requester, data)) for data in parts]

    # -- Sending ----------------------------------------------------------------------------------------

    def request_state(self) -> list[Datagram]:
        """Request the state of a few members; `transfer.complete` is true once one has answered in full."""
        alive = self.members.alive()
        chosen = self._rng.sample(alive, min(self._settings.indirect, len(alive)))
        request = Message(DatagramKind.STATE_REQUEST, self.members.incarnation, 0)
        return self._encode(OutgoingMessage(member, request) for member in chosen)

    def send_direct(self, updates: Iterable[DirectUpdate]) -> list[Datagram]:
        """Return datagrams with updates for single members, with gossip piggybacked."""
        return self._encode(
            OutgoingMessage(
                target,
                Message(DatagramKind.DIRECT, self.members.incarnation, 0, NO_ARGUMENT, (update,)),
            )
            for target, update in updates
        )

    def broadcast_command(self, command: FencedCommand) -> None:
        """Gossip a command of this member."""
        self._gossip.add(command)

    def publish(
        self,
        now_us: int,
        subject: str,
        verdict: WireVerdict,
        evidence: int,
        ttl_ms: int,
        scope: int = VerdictScope.ALL_CLASSES,
    ) -> None:
        """Record and gossip a verdict of this member; `evidence` and `ttl_ms` are clamped to their bounds."""
        self._verdict_counter += 1
        update = VerdictUpdate(
            self.members.member,
            self.members.incarnation,
            self._verdict_counter,
            subject,
            verdict,
            min(evidence, EVIDENCE_MAX),
            max(1, min(ttl_ms, VERDICT_TTL_MAX_MS)),
            scope,
        )
        self._apply_verdict(now_us, update)

    def _encode(self, outgoing: Iterable[OutgoingMessage]) -> list[Datagram]:
        return [
            self._count_sent(Datagram(target, self._gossip.encode(target, message)))
            for target, message in outgoing
        ]

    def _count_sent(self, datagram: Datagram) -> Datagram:
        self.counters.sent += 1
        self.counters.sent_bytes += len(datagram.data)
        return datagram

    # -- Persisted state --------------------------------------------------------------------------------

    @property
    def verdict_counter(self) -> int:
        """The counter of this member's latest verdict."""
        return self._verdict_counter

    def restore(
        self, now_us: int, incarnation: int, verdict_counter: int, verdicts: Iterable[LiveVerdict]
    ) -> None:
        """Restore what an earlier run persisted: its incarnation and counter, and others' verdicts."""
        self.members.restore_incarnation(incarnation)
        self._verdict_counter = max(self._verdict_counter, verdict_counter)
        self._gossip.add(self.members.own_update())
        for update, remaining_ms in verdicts:
            if update.origin in self.members:
                self.verdicts.merge(now_us, replace(update, ttl_ms=remaining_ms))
