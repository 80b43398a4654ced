"""Ids of requests that may have run, which both processes of an upgrade know.

Each process has a table in its own region of a file that all of them map: slots in sets, where an id's hash
selects the set, and a slot holds the hash and the time of its claim.  A process writes to its own table and
reads all of them.  Without a file, as where its folder can't be written, there is this process's table alone.
"""

from __future__ import annotations

import logging
import mmap
import threading
import time
from collections.abc import Callable
from pathlib import Path

import xxhash

from sidecar_balancer.runtime.shared_file import SharedFile

log = logging.getLogger(__name__)

_FILE_PREFIX = "request-ids-2"  # the number changes with the layout
_SLOTS_PER_SET = 16
_SETS = 2048
_SLOTS = _SETS * _SLOTS_PER_SET
_HASH_BYTES = 8
_TIME_BYTES = 4  # milliseconds on the monotonic clock, which processes share, modulo 2**32
_TABLE_BYTES = _SLOTS * (_HASH_BYTES + _TIME_BYTES)
_TIME_MASK = 0xFFFF_FFFF
_MIN_RETENTION_MS = 30_000  # a claim is not overwritten before this
_FREE = 0


class ClaimsExhaustedError(Exception):
    """The table has no room for another id."""


class RequestIds:
    """The ids that may have run; a claimed id is not sent to a server by any other request."""

    def __init__(
        self, folder: Path | None = None, name: str = "", monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        """Share the tables of this name in `folder`, or have one for this process alone without a folder."""
        self._monotonic_s = monotonic_s
        self._fence = threading.Lock()
        self._file = _open_file(folder, name)
        table = memoryview(mmap.mmap(-1, _TABLE_BYTES)) if self._file is None else self._file.own
        self._hashes = table[: _SLOTS * _HASH_BYTES].cast("Q")
        self._times = table[_SLOTS * _HASH_BYTES :].cast("I")

    def claim(self, request_id: str) -> bool:
        """Claim an id for a request that may run from now on; return whether no other request had claimed it.

        Of two processes that claim an id at the same moment, one at most succeeds.

        Raises:
            ClaimsExhaustedError: If the claim can't be recorded.
        """
        hashed = _hash(request_id)
        slots = self._set_of(hashed)
        hashes = self._hashes[slots.start : slots.stop].tolist()
        if hashed in hashes or self._is_claimed_elsewhere(hashed):
            return False
        slot = slots.start + self._replaceable(slots, hashes)
        self._times[slot] = self._now_ms()
        self._hashes[slot] = hashed
        with self._fence:  # an atomic operation: the claim is written before the other tables are read again
            is_claimed_elsewhere = self._is_claimed_elsewhere(hashed)
        if is_claimed_elsewhere:
            self._hashes[slot] = _FREE
        return not is_claimed_elsewhere

    def _is_claimed_elsewhere(self, hashed: int) -> bool:
        if self._file is None:
            return False
        slots = self._set_of(hashed)
        first, end = slots.start * _HASH_BYTES, slots.stop * _HASH_BYTES
        return any(hashed in region[first:end].cast("Q").tolist() for region in self._file.others())

    def release(self, request_id: str) -> None:
        """Give a claimed id up, as its request can't have run."""
        hashed = _hash(request_id)
        for slot in self._set_of(hashed):
            if self._hashes[slot] == hashed:
                self._hashes[slot] = _FREE

    def _set_of(self, hashed: int) -> range:
        first = hashed % _SETS * _SLOTS_PER_SET
        return range(first, first + _SLOTS_PER_SET)

    def _replaceable(self, slots: range, hashes: list[int]) -> int:
        """Return the index of a free slot of the set, or else of the oldest one."""
        if _FREE in hashes:
            return hashes.index(_FREE)
        now_ms = self._now_ms()
        ages = [(now_ms - claimed_at) & _TIME_MASK for claimed_at in self._times[slots.start : slots.stop]]
        oldest = max(ages)
        if oldest < _MIN_RETENTION_MS:
            raise ClaimsExhaustedError("too many ids have been claimed")
        return ages.index(oldest)

    def _now_ms(self) -> int:
        return int(self._monotonic_s() * 1000) & _TIME_MASK

    def close(self) -> None:
        """Unmap the tables; the file stays for the other process."""
        self._hashes.release()
        self._times.release()
        if self._file is not None:
            self._file.close()
            self._file = None


def _hash(request_id: str) -> int:
    return xxhash.xxh3_64_intdigest(request_id.encode("latin-1", "replace")) or 1  # 0 marks a free slot


def _open_file(folder: Path | None, name: str) -> SharedFile | None:
    if folder is None:
        return None
    try:
        return SharedFile(folder / f"{_FILE_PREFIX}{name}", _TABLE_BYTES)
    except OSError as error:
        extra = {"event": "request_ids_not_shared"}
        log.warning("an upgrade will not know the ids that have run: %s", error, extra=extra)
        return None
