"""An in-process network of `Swim` members on one clock, for tests and `bench/membership.py`; no sockets.

Each datagram takes `delay_ms` and is lost with probability `loss`; members that are `down` neither receive
nor send; `cut_links` holds pairs of members that cannot reach each other.  Each member's clock may have its
own offset (`clock_offsets_us`): nothing is compared between clocks, so offsets must change nothing.
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
    """Network of `size` members; their seeds and the losses are derived from `seed`."""

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
        """Return the time on the member's own clock, in µs."""
        return self.now_us + self.clock_offsets_us[member]

    def restart(self, member: int, seed: int) -> None:
        """Start the member again under its number, without its former state."""
        self.members[member] = Swim(member, len(self.members), seed, self.settings, self.clock(member))
        self.down.discard(member)

    def run(self, span_ms: int, step_ms: int = 5) -> None:
        """Advance the time by `span_ms`."""
        end_us = self.now_us + span_ms * _US_PER_MS
        while self.now_us < end_us:
            self.step(step_ms)

    def step(self, step_ms: int = 5) -> None:
        """Advance the time by `step_ms`, deliver the datagrams due and tick every live member."""
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
        """Have the member publish a verdict for all service classes."""
        self.members[member].publish(self.clock(member), subject, verdict, evidence, ttl_ms)

    def agreeing_members(self, member: int, subject: str, verdict: WireVerdict) -> int:
        """Return how many other members state the verdict, as this member sees it."""
        return self.members[member].tier_view.agreeing_members(self.clock(member), subject, verdict)

    def statuses(self, member: int) -> set[MemberStatus]:
        """Return the statuses that the other live members have for the member."""
        return {self.members[other].members[member].status for other in self.live() if other != member}

    def live(self) -> list[int]:
        """Return the members that are not down."""
        return [member for member in range(len(self.members)) if member not in self.down]

    def _send(self, sender: int, datagrams: list[Datagram]) -> None:
        for target, data in datagrams:
            if len(data) > DATAGRAM_MAX_BYTES:
                raise AssertionError(
                    f"datagram of {len(data)} bytes exceeds the protocol's {DATAGRAM_MAX_BYTES}"
                )
            self.sent_bytes += len(data)
            if frozenset((sender, target)) in self.cut_links or self._random.random() < self.loss:
                continue
            self._in_flight.append(_InFlight(self.now_us + self._delay_us, sender, target, data))
