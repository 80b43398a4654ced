"""Fenced commands: what the holder of a lease reports to the tier, rejected once its token is outdated."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class CommandVerb(IntEnum):
    """What a fenced command reports, by its number in datagrams."""

    ZONE_RECOVERED = 1
    SNAPSHOT_WRITTEN = 2


@dataclass(frozen=True, slots=True)
class FencedCommand:
    """A command of the holder of `lease` under its fencing `token`.

    `sequence` numbers the commands of one holder.  `verb` is a `CommandVerb`, or a number of a later version.
    """

    lease: int
    token: int
    sequence: int
    subject: str
    verb: int


class Fence:
    """Admits a command only with a token that is at least the highest one seen of its lease."""

    def __init__(self) -> None:
        self._highest_tokens: dict[int, int] = {}
        self.rejected_count = 0

    def admit(self, lease: int, token: int) -> bool:
        """Whether `token` is not outdated; it is the highest from then on."""
        if token <= 0 or token < self._highest_tokens.get(lease, 0):
            self.rejected_count += 1
            return False
        self._highest_tokens[lease] = token
        return True
