"""Fenced commands: reports of a lease holder to the tier, rejected once its token is outdated."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class CommandVerb(IntEnum):
    """Events reported by fenced commands, by their numbers in datagrams."""

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
    """Check that admits a command only if its token is at least the highest seen for its lease."""

    def __init__(self) -> None:
        self._highest_tokens: dict[int, int] = {}
        self.rejected_count = 0

    def admit(self, lease: int, token: int) -> bool:
        """Return whether `token` is not outdated; if so, it is the highest seen from then on."""
        if token <= 0 or token < self._highest_tokens.get(lease, 0):
            self.rejected_count += 1
            return False
        self._highest_tokens[lease] = token
        return True
