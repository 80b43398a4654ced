"""SWIM's failure detector: it probes one member per protocol period, in shuffled round-robin order.

A probe that is not acked within the probe timeout is repeated through `indirect` other members (ping-req).
If no ack arrives by the end of the period, the target is suspected.  One probe in `rejoin_every` goes to a
dead member, so that the sides of a healed partition find each other again.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from sidecar_balancer.membership.local_health import LocalHealth
from sidecar_balancer.membership.member_table import MemberTable
from sidecar_balancer.membership.messages import (
    NO_ARGUMENT,
    UINT32_MAX,
    DatagramKind,
    MemberStatus,
    MemberUpdate,
    Message,
    OutgoingMessage,
)
from sidecar_balancer.membership.settings import MembershipSettings

_FIRST_SEQUENCE_LIMIT = 1 << 31


@dataclass(slots=True)
class _Probe:
    target: int
    sequence: int
    sent_us: int
    acked: bool = False
    indirect_sent: bool = False


@dataclass(slots=True)
class _RelayedProbe:
    """A ping sent on behalf of `requester`, to whom its ack is forwarded with the requester's `sequence`."""

    requester: int
    sequence: int
    expires_us: int


class FailureDetector:
    """Failure detector of one member; `rng` determines the probe order."""

    def __init__(
        self,
        members: MemberTable,
        health: LocalHealth,
        settings: MembershipSettings,
        rng: random.Random,
        now_us: int,
    ) -> None:
        self._members = members
        self._health = health
        self._settings = settings
        self._rng = rng
        self._sequence = rng.randrange(_FIRST_SEQUENCE_LIMIT)
        self._remaining_targets: list[int] = []  # not yet probed in this round, the next target last
        self._probe_count = 0
        self._probe: _Probe | None = None
        self._next_probe_us = now_us
        self._relayed_probes: dict[int, _RelayedProbe] = {}

    # -- Time -------------------------------------------------------------------------------------------

    def due_us(self) -> int:
        """Return the latest time at which the next step must run."""
        probe = self._probe
        if probe is None or probe.acked or probe.indirect_sent:
            return self._next_probe_us
        return min(self._next_probe_us, self._probe_timeout_us(probe))

    def indirect_probes(self, now_us: int) -> list[OutgoingMessage]:
        """Return the ping-reqs for the open probe, once, if its timeout has passed without an ack."""
        probe = self._probe
        if probe is None or probe.acked or probe.indirect_sent or now_us < self._probe_timeout_us(probe):
            return []
        probe.indirect_sent = True
        intermediaries = [member for member in self._members.alive() if member != probe.target]
        chosen = self._rng.sample(intermediaries, min(self._settings.indirect, len(intermediaries)))
        request = self._message(DatagramKind.PING_REQ, probe.sequence, probe.target)
        return [OutgoingMessage(intermediary, request) for intermediary in chosen]

    def period_ended(self, now_us: int) -> bool:
        """Return whether the protocol period is over, so that the next probe must start."""
        return now_us >= self._next_probe_us

    def finish_probe(self) -> MemberUpdate | None:
        """Close the open probe; return a suspicion of its target if it was alive and no ack arrived."""
        probe, self._probe = self._probe, None
        if probe is None:
            return None
        if probe.acked:
            self._health.improve()
            return None
        self._health.worsen()
        status, incarnation = self._members[probe.target]
        if status is not MemberStatus.ALIVE:
            return None
        return MemberUpdate(probe.target, incarnation, MemberStatus.SUSPECT)

    def start_probe(self, now_us: int) -> list[OutgoingMessage]:
        """Begin the next period and ping its target; return nothing if there is no member to probe."""
        self._next_probe_us = now_us + self._health.scaled_us(self._settings.period_ms)
        target = self._next_target()
        if target is None:
            return []
        self._probe = _Probe(target, self._next_sequence(), now_us)
        return [OutgoingMessage(target, self._message(DatagramKind.PING, self._probe.sequence))]

    def expire_relayed_probes(self, now_us: int) -> None:
        """Discard relayed pings whose ack would arrive too late."""
        self._relayed_probes = {
            sequence: relayed
            for sequence, relayed in self._relayed_probes.items()
            if relayed.expires_us > now_us
        }

    # -- Messages ---------------------------------------------------------------------------------------

    def receive_ping(self, sender: int, message: Message) -> list[OutgoingMessage]:
        """Acknowledge a ping."""
        return [OutgoingMessage(sender, self._message(DatagramKind.ACK, message.sequence))]

    def receive_ping_request(self, now_us: int, sender: int, message: Message) -> list[OutgoingMessage]:
        """Ping another member for the sender; acknowledge directly if the message names no other member."""
        if message.argument not in self._members:
            return self.receive_ping(sender, message)
        sequence = self._next_sequence()
        expires_us = now_us + self._health.scaled_us(self._settings.period_ms)
        self._relayed_probes[sequence] = _RelayedProbe(sender, message.sequence, expires_us)
        return [OutgoingMessage(message.argument, self._message(DatagramKind.PING, sequence))]

    def receive_ack(self, message: Message) -> list[OutgoingMessage]:
        """Record an ack of the open probe, or forward the ack of a relayed probe."""
        if self._probe is not None and message.sequence == self._probe.sequence:
            self._probe.acked = True
        relayed = self._relayed_probes.pop(message.sequence, None)
        if relayed is None:
            return []
        return [OutgoingMessage(relayed.requester, self._message(DatagramKind.ACK, relayed.sequence))]

    # -- Internals --------------------------------------------------------------------------------------

    def _probe_timeout_us(self, probe: _Probe) -> int:
        return probe.sent_us + self._health.scaled_us(self._settings.probe_timeout_ms)

    def _next_target(self) -> int | None:
        self._probe_count += 1
        dead = self._members.dead()
        if dead and self._probe_count % self._settings.rejoin_every == 0:
            return self._rng.choice(dead)
        for _ in range(2):  # the rest of this round, then a new round
            while self._remaining_targets:
                target = self._remaining_targets.pop()
                if self._members[target].status is not MemberStatus.DEAD:
                    return target
            self._remaining_targets = self._members.alive()
            self._rng.shuffle(self._remaining_targets)
        return None

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) & UINT32_MAX
        return self._sequence

    def _message(self, kind: DatagramKind, sequence: int, argument: int = NO_ARGUMENT) -> Message:
        return Message(kind, self._members.incarnation, sequence, argument)
