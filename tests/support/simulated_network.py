"""An in-process network of `Swim` members on one clock, for tests and `bench/membership.py`; no sockets.

Each datagram takes `delay_ms` and is lost at the rate `loss`; members that are `down` neither receive nor
send; `cut_links` holds pairs of members that do not reach each other.  Each member may run on a clock of
its own offset (`clock_offsets_us`): nothing is compared between clocks, so offsets must change nothing.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from sidecar_balancer.membership.messages import DATAGRAM_MAX_BYTES, Datagram, MemberStatus, WireVerdict
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Swim

_US_PER_MS = 1000


class _InFlight(NamedTuple):
    due_us: int
    sender: int
    target: int
    data: bytes


class SimulatedNetwork:
    """`size` members with seeds derived from `seed`, which draws the losses too."""

    def __init__(
        self,
        size: int,
        loss: float = 0.0,
        seed: int = 1,
        delay_ms: int = 2,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.now_us = 0
        self.settings = settings or MembershipSettings()
        self.clock_offsets_us = [0] * size
        self.members = [Swim(member, size, seed * 1000 + member, self.settings) for member in range(size)]
        self.down: set[int] = set()
        self.cut_links: set[frozenset[int]] = set()
        self.loss = loss
        self.sent_bytes = 0
        self._delay_us = delay_ms * _US_PER_MS
        self._random = random.Random(seed)
        self._in_flight: list[_InFlight] = []

    def clock(self, member: int) -> int:
        """The member's own clock in µs."""
        return self.now_us + self.clock_offsets_us[member]

    def restart(self, member: int, seed: int) -> None:
        """Start the member anew under its number, remembering nothing."""
        self.members[member] = Swim(member, len(self.members), seed, self.settings, self.clock(member))
        self.down.discard(member)

    def run(self, span_ms: int, step_ms: int = 5) -> None:
        """Let `span_ms` pass."""
        end_us = self.now_us + span_ms * _US_PER_MS
        while self.now_us < end_us:
            self.step(step_ms)

    def step(self, step_ms: int = 5) -> None:
        """Let `step_ms` pass, deliver what is due and tick every member."""
        self.now_us += step_ms * _US_PER_MS
        due = [datagram for datagram in self._in_flight if datagram.due_us <= self.now_us]
        self._in_flight = [datagram for datagram in self._in_flight if datagram.due_us > self.now_us]
        for _, sender, target, data in due:
            if target not in self.down:
                self._send(target, self.members[target].receive(self.clock(target), sender, data))
        for number, member in enumerate(self.members):
            if number not in self.down:
                self._send(number, member.tick(self.clock(number)))

    def publish(self, member: int, subject: str, verdict: WireVerdict, evidence: int, ttl_ms: int) -> None:
        """Let the member publish a verdict for all service classes."""
        self.members[member].publish(self.clock(member), subject, verdict, evidence, ttl_ms)

    def agreeing_members(self, member: int, subject: str, verdict: WireVerdict) -> int:
        """How many others state the verdict, as the member sees it."""
        return self.members[member].tier_view.agreeing_members(self.clock(member), subject, verdict)

    def statuses(self, member: int) -> set[MemberStatus]:
        """The member's status as the other live members see it."""
        return {self.members[other].members[member].status for other in self.live() if other != member}

    def live(self) -> list[int]:
        """The members that are not down."""
        return [member for member in range(len(self.members)) if member not in self.down]

    def _send(self, sender: int, datagrams: list[Datagram]) -> None:
        for target, data in datagrams:
            if len(data) > DATAGRAM_MAX_BYTES:
                raise AssertionError(f"a datagram of {len(data)} bytes, over the protocol's size")
            self.sent_bytes += len(data)
            if frozenset((sender, target)) in self.cut_links or self._random.random() < self.loss:
                continue
            self._in_flight.append(_InFlight(self.now_us + self._delay_us, sender, target, data))
