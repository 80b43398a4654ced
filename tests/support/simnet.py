"""An in-process network of `Swim` members on one clock, for tests and `bench/membership.py`; no sockets.

Each datagram takes `delay_ms` and is lost with odds `loss`; `down` members hear and say nothing; `cut` holds
pairs of members that do not hear each other.  Each member may run on a clock of its own offset (`skew_us`):
nothing is compared between clocks, so skew must change nothing.
"""

from __future__ import annotations

import random

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.codec import Status
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Datagram, Swim

_MS = 1000


class SimNet:
    def __init__(
        self,
        size: int,
        loss: float = 0.0,
        seed: int = 1,
        delay_ms: int = 2,
        tuning: MembershipSettings | None = None,
    ) -> None:
        self.now = 0
        self.tuning = tuning or MembershipSettings()
        self.skew_us = [0] * size
        self.members = [Swim(each, size, seed * 1000 + each, self.tuning) for each in range(size)]
        self.down: set[int] = set()
        self.cut: set[frozenset[int]] = set()
        self.loss, self.delay_us = loss, delay_ms * _MS
        self.sent_bytes = 0
        self._random = random.Random(seed)
        self._flying: list[tuple[int, int, int, bytes]] = []  # due, from, to, data

    def clock(self, member: int) -> int:
        return self.now + self.skew_us[member]

    def restart(self, member: int, seed: int) -> None:
        """The member starts anew under its number, remembering nothing."""
        self.members[member] = Swim(member, len(self.members), seed, self.tuning, self.clock(member))
        self.down.discard(member)

    def run(self, span_ms: int, step_ms: int = 5) -> None:
        end = self.now + span_ms * _MS
        while self.now < end:
            self.step(step_ms)

    def step(self, step_ms: int = 5) -> None:
        self.now += step_ms * _MS
        due = [each for each in self._flying if each[0] <= self.now]
        self._flying = [each for each in self._flying if each[0] > self.now]
        for _, sender, target, data in due:
            if target not in self.down:
                self._post(target, self.members[target].receive(self.clock(target), sender, data))
        for each, member in enumerate(self.members):
            if each not in self.down:
                self._post(each, member.tick(self.clock(each)))

    def _post(self, sender: int, out: list[Datagram]) -> None:
        for target, data in out:
            if len(data) > codec.DATAGRAM_MOST:
                raise AssertionError("a datagram over the protocol's size")
            self.sent_bytes += len(data)
            if frozenset((sender, target)) in self.cut or self._random.random() < self.loss:
                continue
            self._flying.append((self.now + self.delay_us, sender, target, data))

    def statuses(self, of: int) -> set[Status]:
        """How the live members other than `of` hold it."""
        return {self.members[each].view()[of][0] for each in self.live() if each != of}

    def live(self) -> list[int]:
        return [each for each in range(len(self.members)) if each not in self.down]
