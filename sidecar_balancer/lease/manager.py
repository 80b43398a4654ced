"""The duties that one sidecar of a tier does for all, on the leases of `core`, over the peer plane.

- `zones`: probe the zones that were left and tell all when one answers again;
- `snapshot`: write the tier's shared snapshot (sidecar_balancer/persistence/tier_snapshot.py).

Each act of a duty carries the lease's token; a receiver takes no act with a token older than one it has seen
(`Fence`), and each act once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from sidecar_balancer.lease.protocol import Fence, Kind, LeaseProtocol, LeaseTiming, Message
from sidecar_balancer.membership.codec import ActUpdate, LeaseUpdate

NAMES = ("zones", "snapshot")
ACTS_KEPT = 64  # for the operators' view
SUBJECTS_MOST = 256  # acts on so many subjects are remembered


class TierLease(IntEnum):
    """The leases of a tier, by their number in datagrams."""

    ZONES = 0
    SNAPSHOT = 1


class CommandVerb(IntEnum):
    """What a fenced command reports, by its number in datagrams."""

    ZONE_RECOVERED = 1
    SNAPSHOT_WRITTEN = 2


@dataclass(frozen=True, slots=True)
class Done:
    """An act of this member: when (us, monotonic), of which duty, under which token, on what."""

    at_us: int
    duty: int
    token: int
    subject: str


class LeaseManager:
    """Member `me` of `size`; `life` is any number that no earlier start of this member used."""

    def __init__(self, me: int, size: int, life: int, terms: LeaseTiming, now_us: int) -> None:
        self.leases = LeaseProtocol(me, size, len(NAMES), terms, now_us, life=life & 0x3FFF_FFFF)
        self.fence = Fence()
        self.done: deque[Done] = deque(maxlen=ACTS_KEPT)
        self.taken = 0  # acts of others that were new and in force
        self._counter = 0
        self._seen: dict[tuple[int, str], tuple[int, int]] = {}

    def tick(self, now_us: int, alive: Iterable[int]) -> list[tuple[int, LeaseUpdate]]:
        return _posts(self.leases.tick(now_us, alive))

    def receive(self, now_us: int, sender: int, update: LeaseUpdate) -> list[tuple[int, LeaseUpdate]]:
        """A lease's message from `sender`; one of no known kind is dropped and counted."""
        if update.kind not in _KINDS:
            self.leases.counts.dropped += 1
            return []
        message = Message(Kind(update.kind), update.duty, update.epoch, update.ask)
        return _posts(self.leases.receive(now_us, sender, message))

    def due_us(self, now_us: int) -> int:
        return self.leases.due(now_us)

    def holds(self, duty: int, now_us: int) -> int:
        """The fencing token while this member holds the duty, else 0."""
        return self.leases.holds(duty, now_us)

    def issue_command(self, now_us: int, duty: int, subject: str, verb: int) -> ActUpdate | None:
        """An act to tell the tier; None where the duty is not (or no longer) held."""
        token = self.holds(duty, now_us)
        if not token or not self.fence.admit(duty, token):
            return None
        self._counter += 1
        self.done.append(Done(now_us, duty, token, subject))
        act = ActUpdate(duty, token, self._counter, subject, verb)
        self._note(act)
        return act

    def accept_command(self, act: ActUpdate) -> bool:
        """Whether an act of another is new and in force."""
        if act.duty >= len(NAMES):
            return False
        if (act.token, act.counter) <= self._seen.get((act.duty, act.subject), (0, -1)):
            return False
        if not self.fence.admit(act.duty, act.token):
            return False
        self._note(act)
        self.taken += 1
        return True

    def highest_epochs(self) -> dict[int, int]:
        """The highest epoch known of each lease, by its number."""
        return {number: lease.highest for number, lease in enumerate(self.leases.table)}

    def restore_epoch(self, lease: int, epoch: int) -> None:
        """Start from an epoch that an earlier run knew; a lease of an unknown number is ignored."""
        if 0 <= lease < len(self.leases.table):
            state = self.leases.table[lease]
            state.highest = max(state.highest, epoch)

    def _note(self, act: ActUpdate) -> None:
        self._seen[(act.duty, act.subject)] = (act.token, act.counter)
        while len(self._seen) > SUBJECTS_MOST:
            del self._seen[next(iter(self._seen))]

    def describe(self, now_us: int) -> dict[str, Any]:
        """For the operators: the token of each duty held, acts done, acts fenced off."""
        held = {name: self.holds(number, now_us) for number, name in enumerate(NAMES)}
        knows = {name: duty.highest for name, duty in zip(NAMES, self.leases.table, strict=True)}
        counts = self.leases.counts
        return {
            "held": held,
            "highest": knows,
            "acts": [[each.at_us, NAMES[each.duty], each.token, each.subject] for each in self.done],
            "taken": self.taken,
            "fenced": self.fence.refused,
            "asked": counts.asked,
            "granted": counts.granted,
            "refused": counts.refused,
        }


_KINDS = frozenset(int(each) for each in Kind)


def _posts(out: list[tuple[int, Message]]) -> list[tuple[int, LeaseUpdate]]:
    return [(to, LeaseUpdate(int(m.kind), m.duty, m.epoch, m.ask)) for to, m in out]
