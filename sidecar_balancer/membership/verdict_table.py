"""Shared verdicts: one entry per (origin, subject, scope); the highest (incarnation, counter) prevails.

Merging is commutative and idempotent: of two updates with the same key the one with the higher version is
kept, whatever the order or number of their arrivals.  Each entry expires on the receiver's own monotonic
clock, `ttl_ms` after it was merged, so clocks of different processes are never compared.  An expired entry
remains as a tombstone until `VERDICT_TTL_MAX_MS` after its expiry, so that a replayed datagram does not
restore it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from sidecar_balancer.membership.errors import MembershipSettingsError
from sidecar_balancer.membership.messages import VERDICT_TTL_MAX_MS, VerdictUpdate, WireVerdict

_US_PER_MS = 1000
_NO_ORIGIN = -1


class VerdictKey(NamedTuple):
    """Key of an entry."""

    origin: int
    subject: str
    scope: int

    @classmethod
    def of(cls, update: VerdictUpdate) -> VerdictKey:
        """Return the key of the entry that `update` is for."""
        return cls(update.origin, update.subject, update.scope)


class LiveVerdict(NamedTuple):
    """An unexpired verdict and the ms until it expires, at least 1."""

    update: VerdictUpdate
    remaining_ms: int


@dataclass(slots=True)
class _Entry:
    update: VerdictUpdate
    expires_us: int  # expiry time on this process's clock


class VerdictTable:
    """Table of at most `capacity` entries; at capacity, the entry that expires first is evicted.

    Raises:
        MembershipSettingsError: `capacity` is less than 1.
    """

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise MembershipSettingsError(f"peer_plane: expected verdicts_most >= 1, got {capacity}")
        self._capacity = capacity
        self._entries: dict[VerdictKey, _Entry] = {}
        self._evicted_count = 0
        self._stale_count = 0

    def merge(self, now_us: int, update: VerdictUpdate) -> bool:
        """Merge one update; return whether it changed the table, so that it is gossiped further."""
        key = VerdictKey.of(update)
        present = self._entries.get(key)
        if present is not None and _version(present.update) >= _version(update):
            self._stale_count += 1
            return False
        if present is None and len(self._entries) >= self._capacity:
            self._evict(now_us)
        self._entries[key] = _Entry(update, now_us + update.ttl_ms * _US_PER_MS)
        return True

    def _evict(self, now_us: int) -> None:
        self._drop_tombstones(now_us)
        if len(self._entries) >= self._capacity:
            soonest = min(self._entries, key=lambda key: self._entries[key].expires_us)
            del self._entries[soonest]
            self._evicted_count += 1

    def _drop_tombstones(self, now_us: int) -> None:
        limit_us = now_us - VERDICT_TTL_MAX_MS * _US_PER_MS
        for key in [key for key, entry in self._entries.items() if entry.expires_us < limit_us]:
            del self._entries[key]

    def matching(
        self, now_us: int, subject: str, verdict: WireVerdict, except_origin: int = _NO_ORIGIN
    ) -> list[VerdictUpdate]:
        """Return the unexpired updates with `verdict` on `subject`, except those of `except_origin`."""
        return [
            update
            for update, _ in self.live(now_us)
            if update.subject == subject and update.origin != except_origin and update.verdict is verdict
        ]

    def live(self, now_us: int) -> list[LiveVerdict]:
        """Return every unexpired verdict, the soonest to expire last."""
        entries = [entry for entry in self._entries.values() if entry.expires_us > now_us]
        entries.sort(key=lambda entry: -entry.expires_us)
        return [
            LiveVerdict(entry.update, max((entry.expires_us - now_us) // _US_PER_MS, 1)) for entry in entries
        ]

    @property
    def evicted_count(self) -> int:
        """Entries evicted for lack of capacity."""
        return self._evicted_count

    @property
    def stale_count(self) -> int:
        """Updates not merged because an equal or newer version was present."""
        return self._stale_count

    def __len__(self) -> int:
        return len(self._entries)


def _version(update: VerdictUpdate) -> tuple[int, int]:
    return update.incarnation, update.counter
