"""The list that a relay serves, and its recent changes in a bounded ring buffer.  Sans-IO.

Each state of the list has a tag, a digest of its content that does not depend on the order of changes.  Two
relays with the same list have the same tag, whatever their indexes, so a caller's tag identifies its list.
"""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from sidecar_balancer.discovery.endpoint_list import ListEntry, ListUpdate, entry_to_json
from sidecar_balancer.policy.types import ServerState

MAX_RING_ENTRIES = 50_000  # with more than twice the full list, a delta is no smaller than a snapshot
MAX_KNOWN_STATES = 4096  # limit of remembered tags and indexes
MAX_CACHED_DELTAS = 64  # limit of cached encoded deltas; most callers need the same ones


@dataclass(frozen=True, slots=True)
class EncodedEntry:
    """A list entry, encoded as JSON."""

    data: bytes
    is_removal: bool


@dataclass(frozen=True, slots=True)
class Change:
    """The entries that one update changed, by server name."""

    revision: int
    entries: Mapping[str, EncodedEntry]


class ChangeLog:
    """The current list and its recent changes.  A revision counts the changes that this process has seen."""

    def __init__(self, max_ring_entries: int = MAX_RING_ENTRIES) -> None:
        self.index: int | None = None  # the registry's index; None: no list received yet
        self.revision = 0
        self._entries: dict[str, bytes] = {}
        self._digest = 0
        self._ring: deque[Change] = deque()
        self._ring_entries = 0
        self._max_ring_entries = max_ring_entries
        self._oldest_revision = 0  # the ring holds all changes after this revision
        self._revisions: OrderedDict[str | int, int] = OrderedDict()  # revisions by tag and by index
        self._deltas: OrderedDict[int, bytes] = OrderedDict()
        self._snapshot: bytes | None = None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def ring_entries(self) -> int:
        """Number of entries in the ring."""
        return self._ring_entries

    @property
    def tag(self) -> str:
        """The entity tag of the current list, in quotes as HTTP requires."""
        return f'"{self._digest:032x}"'

    def apply(self, update: ListUpdate) -> bool:
        """Apply a response of discovery; return whether it has changed the list."""
        changed = self._changed_entries(update)
        is_first, is_new_index = self.index is None, self.index != update.version
        self.index = update.version
        if changed:
            self._append(changed)
        if is_first:
            self._oldest_revision = self.revision  # the changes before the first list are unknown
        self._remember(self.tag)
        self._remember(update.version)
        if changed or is_new_index:
            self._deltas.clear()
            self._snapshot = None
        return bool(changed)

    def _changed_entries(self, update: ListUpdate) -> dict[str, EncodedEntry]:
        """Return the entries that differ from the list, with a removal for each server that is gone."""
        changed: dict[str, EncodedEntry] = {}
        for entry in update.entries:
            self._collect_change(entry, changed)
        if update.complete:
            listed = {entry.server.server for entry in update.entries}
            for name in self._entries.keys() - listed:
                changed[name] = _encode_removal(self._entries[name])
        return changed

    def _collect_change(self, entry: ListEntry, changed: dict[str, EncodedEntry]) -> None:
        name, encoded = entry.server.server, _encode(entry)
        is_unknown_removal = encoded.is_removal and name not in self._entries
        if self._entries.get(name) == encoded.data or is_unknown_removal:
            changed.pop(name, None)
        else:
            changed[name] = encoded

    def _append(self, changed: dict[str, EncodedEntry]) -> None:
        for name, encoded in changed.items():
            self._replace(name, encoded)
        self.revision += 1
        self._ring.append(Change(self.revision, changed))
        self._ring_entries += len(changed)
        while self._ring and self._ring_entries > self._max_ring_entries:
            dropped = self._ring.popleft()
            self._ring_entries -= len(dropped.entries)
            self._oldest_revision = dropped.revision

    def _replace(self, name: str, encoded: EncodedEntry) -> None:
        previous = self._entries.pop(name, None)
        if previous is not None:
            self._digest ^= xxhash.xxh3_128_intdigest(previous)
        if not encoded.is_removal:
            self._entries[name] = encoded.data
            self._digest ^= xxhash.xxh3_128_intdigest(encoded.data)

    def _remember(self, state: str | int) -> None:
        self._revisions[state] = self.revision
        self._revisions.move_to_end(state)
        while len(self._revisions) > MAX_KNOWN_STATES:
            self._revisions.popitem(last=False)

    def revision_of(self, tag: str | None, index: int | None) -> int | None:
        """Return the revision of a caller's list, found by its tag or, without a tag, by its index.

        None: the ring does not hold all changes since that list, and the caller needs the full list.
        """
        revision = self._revisions.get(tag) if tag is not None else None
        if tag is None and index is not None:
            revision = self._revisions.get(index)
        return revision if revision is not None and revision >= self._oldest_revision else None

    def delta(self, revision: int) -> bytes:
        """Return a response body with the changes since a revision, in discovery's published format."""
        if (cached := self._deltas.get(revision)) is not None:
            return cached
        merged: dict[str, EncodedEntry] = {}
        for change in reversed(self._ring):
            if change.revision <= revision:
                break
            for name, entry in change.entries.items():
                merged.setdefault(name, entry)
        body = self._body([entry.data for entry in merged.values()], snapshot=False)
        self._deltas[revision] = body
        while len(self._deltas) > MAX_CACHED_DELTAS:
            self._deltas.popitem(last=False)
        return body

    def snapshot(self) -> bytes:
        """Return a response body with the full list."""
        if self._snapshot is None:
            self._snapshot = self._body(self._entries.values(), snapshot=True)
        return self._snapshot

    def _body(self, entries: Iterable[bytes], snapshot: bool) -> bytes:
        flag = b"true" if snapshot else b"false"
        return b'{"index":%d,"snapshot":%s,"endpoints":[%s]}' % (self.index or 0, flag, b",".join(entries))


def _encode(entry: ListEntry) -> EncodedEntry:
    data = json.dumps(entry_to_json(entry), separators=(",", ":")).encode()
    return EncodedEntry(data, is_removal=entry.server.state is ServerState.REMOVED)


def _encode_removal(data: bytes) -> EncodedEntry:
    members = json.loads(data) | {"status": "left"}
    return EncodedEntry(json.dumps(members, separators=(",", ":")).encode(), is_removal=True)
