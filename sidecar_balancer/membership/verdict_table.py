"""Shared verdicts: one entry per (origin, subject, slot), last writer by (incarnation, counter).

Merging is commutative and idempotent: of two updates for one key the one with the larger version stays,
whatever the order they come in or how often.  Each entry expires on the receiver's own monotonic clock,
`ttl_ms` after it was taken (so no clock is compared between processes).  The table holds at most `most`
entries; past that the one that expires first goes, and `evicted` counts it.  An entry lives on as a
tombstone until `TTL_MOST_MS` after its expiry, so that an old datagram heard again then is not taken anew.
"""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_balancer.membership.codec import TTL_MOST_MS, VerdictUpdate, WireVerdict

_US_PER_MS = 1000


@dataclass(slots=True)
class Entry:
    update: VerdictUpdate
    expires_us: int  # on this process's clock


class VerdictTable:
    """The table of verdicts: `take` merges, `holding` reads, `fresh` gives what is worth gossiping."""

    def __init__(self, most: int) -> None:
        if most < 1:
            raise ValueError("the table needs room for one entry at least")
        self._most = most
        self._entries: dict[tuple[int, str, int], Entry] = {}
        self.evicted = 0
        self.stale = 0  # updates not taken: an equal or newer version was held

    def take(self, now_us: int, update: VerdictUpdate) -> bool:
        """Merge one update; True where it changed the table (and so is worth passing on)."""
        key = (update.origin, update.server, update.slot)
        held = self._entries.get(key)
        if held is not None and _version(held.update) >= _version(update):
            self.stale += 1
            return False
        if held is None and len(self._entries) >= self._most:
            self._evict(now_us)
        self._entries[key] = Entry(update, now_us + update.ttl_ms * _US_PER_MS)
        return True

    def _evict(self, now_us: int) -> None:
        self.forget(now_us)
        if len(self._entries) >= self._most:
            first = min(self._entries, key=lambda key: self._entries[key].expires_us)
            del self._entries[first]
            self.evicted += 1

    def forget(self, now_us: int) -> None:
        """Drop tombstones past their span."""
        gone = now_us - TTL_MOST_MS * _US_PER_MS
        for key in [key for key, entry in self._entries.items() if entry.expires_us < gone]:
            del self._entries[key]

    def holding(self, now_us: int, server: str, verdict: WireVerdict, but: int = -1) -> list[VerdictUpdate]:
        """The unexpired verdicts of that kind on `server`, one an origin, leaving out origin `but`."""
        return [
            each
            for each, _ in self.live(now_us)
            if each.server == server and each.origin != but and each.verdict is verdict
        ]

    def live(self, now_us: int) -> list[tuple[VerdictUpdate, int]]:
        """Every unexpired verdict with its remaining life in ms, the soonest to expire last."""
        alive = [
            (entry.update, entry.expires_us) for entry in self._entries.values() if entry.expires_us > now_us
        ]
        alive.sort(key=lambda pair: -pair[1])
        return [(update, max((until - now_us) // _US_PER_MS, 1)) for update, until in alive]

    def __len__(self) -> int:
        return len(self._entries)


def _version(update: VerdictUpdate) -> tuple[int, int]:
    return update.incarnation, update.counter
