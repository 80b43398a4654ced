"""The leases of one tier at one of its sidecars, and the fenced commands of their holders.

Sans-IO: the caller exchanges the messages and commands between members.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from sidecar_balancer.lease.fencing import CommandVerb, Fence, FencedCommand
from sidecar_balancer.lease.protocol import (
    LeaseCounters,
    LeaseMessage,
    LeaseProtocol,
    LeaseTiming,
    OutgoingLeaseMessage,
)

ISSUED_COMMANDS_RETAINED = 64  # number of latest commands kept for the admin API
COMMAND_SUBJECTS_MAX = 256  # subjects whose latest command version is kept
_INCARNATION_MASK = 0x3FFF_FFFF  # request IDs continue from the incarnation and must stay below 2**32


class TierLease(IntEnum):
    """Leases of a tier, by their numbers in datagrams."""

    ZONES = 0  # the holder health-checks evacuated zones for the tier
    SNAPSHOT = 1  # the holder writes the tier's shared snapshot


@dataclass(frozen=True, slots=True)
class IssuedCommand:
    """A command of this member, with the time in µs on its monotonic clock when it was issued."""

    issued_us: int
    lease: TierLease
    token: int
    subject: str


class _CommandSubject(NamedTuple):
    lease: int
    subject: str


class _CommandVersion(NamedTuple):
    token: int
    sequence: int


_NO_COMMAND = _CommandVersion(0, -1)


class LeaseManager:
    """Leases of `TierLease` at member `member` of `size`.

    `seed` is any number that no earlier run of this member used.
    """

    def __init__(self, member: int, size: int, seed: int, timing: LeaseTiming, now_us: int) -> None:
        self._protocol = LeaseProtocol(
            member, size, len(TierLease), timing, now_us, incarnation=seed & _INCARNATION_MASK
        )
        self._fence = Fence()
        self._issued: deque[IssuedCommand] = deque(maxlen=ISSUED_COMMANDS_RETAINED)
        self._sequence = 0
        self._latest: dict[_CommandSubject, _CommandVersion] = {}
        self._accepted_count = 0

    # -- Protocol ---------------------------------------------------------------------------------------

    def tick(self, now_us: int, alive: Iterable[int]) -> list[OutgoingLeaseMessage]:
        """Advance the protocol; see `LeaseProtocol.tick`."""
        return self._protocol.tick(now_us, alive)

    def receive(self, now_us: int, sender: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handle a lease message and return the replies."""
        return self._protocol.receive(now_us, sender, message)

    def drop_unknown_message(self) -> None:
        """Count a dropped message of an unknown kind."""
        self._protocol.counters.dropped += 1

    def due_us(self, now_us: int) -> int:
        """Return the latest time at which `tick` must be called next."""
        return self._protocol.due_us(now_us)

    def token(self, lease: TierLease, now_us: int) -> int:
        """Return the fencing token while this member holds the lease, else 0."""
        return self._protocol.token(lease, now_us)

    def highest_epochs(self) -> dict[TierLease, int]:
        """Return the highest known epoch of each lease."""
        return {lease: self._protocol.highest_epoch(lease) for lease in TierLease}

    def restore_epoch(self, lease: int, epoch: int) -> None:
        """Restore an epoch known to an earlier run; ignore an unknown lease."""
        if 0 <= lease < len(TierLease):
            self._protocol.restore_epoch(lease, epoch)

    # -- Fenced commands --------------------------------------------------------------------------------

    def issue_command(
        self, now_us: int, lease: TierLease, subject: str, verb: CommandVerb
    ) -> FencedCommand | None:
        """Return a new command for all members, or None if this member does not hold the lease."""
        token = self.token(lease, now_us)
        if not token or not self._fence.admit(lease, token):
            return None
        self._sequence += 1
        self._issued.append(IssuedCommand(now_us, lease, token, subject))
        command = FencedCommand(lease, token, self._sequence, subject, verb)
        self._record_latest(command)
        return command

    def accept_command(self, command: FencedCommand) -> bool:
        """Return whether a command of another member is new and its token not outdated; if so, record it."""
        if command.lease >= len(TierLease):
            return False
        latest = self._latest.get(_CommandSubject(command.lease, command.subject), _NO_COMMAND)
        if _CommandVersion(command.token, command.sequence) <= latest:
            return False
        if not self._fence.admit(command.lease, command.token):
            return False
        self._record_latest(command)
        self._accepted_count += 1
        return True

    def _record_latest(self, command: FencedCommand) -> None:
        version = _CommandVersion(command.token, command.sequence)
        self._latest[_CommandSubject(command.lease, command.subject)] = version
        while len(self._latest) > COMMAND_SUBJECTS_MAX:
            del self._latest[next(iter(self._latest))]

    # -- Views ------------------------------------------------------------------------------------------

    @property
    def counters(self) -> LeaseCounters:
        """Message counters of the protocol."""
        return self._protocol.counters

    @property
    def issued_commands(self) -> list[IssuedCommand]:
        """The latest commands of this member, oldest first."""
        return list(self._issued)

    @property
    def accepted_count(self) -> int:
        """Number of commands of other members that were new and not outdated."""
        return self._accepted_count

    @property
    def fenced_count(self) -> int:
        """Number of commands rejected for an outdated token."""
        return self._fence.rejected_count
