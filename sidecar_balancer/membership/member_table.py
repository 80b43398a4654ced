"""The members of a tier as seen by one of them, and SWIM's transitions between their states."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from sidecar_balancer.membership.errors import MembershipSettingsError
from sidecar_balancer.membership.messages import MEMBERS_MAX, UINT32_MAX, MemberStatus, MemberUpdate


class Transition(enum.Enum):
    """Effect of an update on the member table."""

    NONE = enum.auto()
    CHANGED = enum.auto()
    REJOINED = enum.auto()  # alive again after it was declared dead, or restarted


class MemberView(NamedTuple):
    """A member's status and incarnation."""

    status: MemberStatus
    incarnation: int


@dataclass(slots=True)
class _Member:
    incarnation: int
    status: MemberStatus
    changed_us: int


class MemberTable:
    """Status of every other member, and the own incarnation of `member`, one of `range(size)`.

    Raises:
        MembershipSettingsError: `member` or `size` is out of range.
    """

    def __init__(self, member: int, size: int, now_us: int) -> None:
        if not 0 <= member < size <= MEMBERS_MAX:
            raise MembershipSettingsError(f"peer_plane: member {member} of {size} is out of range")
        self.member = member
        self.size = size
        self.incarnation = 0
        self._others = {
            other: _Member(0, MemberStatus.ALIVE, now_us) for other in range(size) if other != member
        }

    def __contains__(self, member: int) -> bool:
        """Return whether `member` is one of the other members."""
        return member in self._others

    def __getitem__(self, member: int) -> MemberView:
        """Return another member's status and incarnation."""
        other = self._others[member]
        return MemberView(other.status, other.incarnation)

    def alive(self) -> list[int]:
        """Return the other members that are alive or suspect (suspects still serve), in order."""
        return [number for number, other in self._others.items() if other.status is not MemberStatus.DEAD]

    def dead(self) -> list[int]:
        """Return the other members that are dead, in order."""
        return [number for number, other in self._others.items() if other.status is MemberStatus.DEAD]

    def view(self) -> dict[int, MemberView]:
        """Return every other member's status and incarnation."""
        return {number: self[number] for number in self._others}

    def apply(self, now_us: int, update: MemberUpdate) -> Transition:
        """Apply an update about another member if it supersedes the known state."""
        other = self._others.get(update.member)
        if other is None or not _prevails(update, other):
            return Transition.NONE
        rejoined = update.status is MemberStatus.ALIVE and (
            other.status is MemberStatus.DEAD or update.incarnation > other.incarnation
        )
        other.incarnation, other.status, other.changed_us = update.incarnation, update.status, now_us
        return Transition.REJOINED if rejoined else Transition.CHANGED

    def refute(self, update: MemberUpdate) -> bool:
        """Raise the own incarnation above that of an update about this member.

        Return False, without a change, for an update that is outdated or this member's own.
        """
        if update.incarnation < self.incarnation:
            return False
        if update.status is MemberStatus.ALIVE and update.incarnation == self.incarnation:
            return False
        self.incarnation = update.incarnation + 1
        return True

    def own_update(self) -> MemberUpdate:
        """Return the update that this member is alive at its incarnation."""
        return MemberUpdate(self.member, self.incarnation, MemberStatus.ALIVE)

    def expired_suspicions(self, now_us: int, timeout_us: int) -> list[MemberUpdate]:
        """Return the deaths of members that have been suspect for `timeout_us`."""
        return [
            MemberUpdate(number, other.incarnation, MemberStatus.DEAD)
            for number, other in self._others.items()
            if other.status is MemberStatus.SUSPECT and now_us >= other.changed_us + timeout_us
        ]

    def restore_incarnation(self, persisted: int) -> None:
        """Continue with the incarnation after that of an earlier run."""
        self.incarnation = min(persisted + 1, UINT32_MAX)

    def restore_others(self, now_us: int, persisted: dict[int, tuple[MemberStatus, int]]) -> None:
        """Restore an earlier run's view (status, incarnation); a member that was dead starts as suspect."""
        for number, (status, incarnation) in persisted.items():
            other = self._others.get(number)
            if other is not None and incarnation >= other.incarnation:
                other.incarnation, other.changed_us = incarnation, now_us
                other.status = MemberStatus.SUSPECT if status is MemberStatus.DEAD else status


def _prevails(update: MemberUpdate, other: _Member) -> bool:
    """Return whether `update` supersedes the known state, in SWIM's order of updates about one member."""
    if update.incarnation != other.incarnation:
        return update.incarnation > other.incarnation
    return update.status > other.status
