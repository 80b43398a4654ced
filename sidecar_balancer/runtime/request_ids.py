"""Ids of requests that may have run, in a file that both processes of an upgrade map into memory.

The file has a header and a table of slots in sets: an id's hash selects the set.  A slot holds the hash and
the time of its claim.  Without a file, as where its folder can't be written, the table is this process's own.
"""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
import time
from collections.abc import Callable
from pathlib import Path

import xxhash

log = logging.getLogger(__name__)

_FILE_PREFIX = "request-ids-1"  # the number changes with the layout
_SLOTS_PER_SET = 16
_SETS = 2048
_SLOTS = _SETS * _SLOTS_PER_SET
_HASH_BYTES = 8
_TIME_BYTES = 4  # milliseconds on the monotonic clock, which processes share, modulo 2**32
_FILE_BYTES = _SLOTS * (_HASH_BYTES + _TIME_BYTES)
_TIME_MASK = 0xFFFF_FFFF
_MIN_RETENTION_MS = 30_000  # a claim is not overwritten before this
_FREE = 0
_LOCK_ATTEMPTS = 100


class ClaimsExhaustedError(Exception):
    """The table has no room for another id, or another process holds its lock."""


class RequestIds:
    """The ids that may have run; a claimed id is not sent to a server by any other request."""

    def __init__(
        self, folder: Path | None = None, name: str = "", monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        """Map the table of this name in `folder`, or one of this process alone without a folder."""
        self._monotonic_s = monotonic_s
        self._file: int | None = None
        self._table = self._map(folder, name)
        view = memoryview(self._table)
        self._hashes = view[: _SLOTS * _HASH_BYTES].cast("Q")
        self._times = view[_SLOTS * _HASH_BYTES :].cast("I")

    def _map(self, folder: Path | None, name: str) -> mmap.mmap:
        if folder is not None:
            try:
                self._file = _open_table(folder / f"{_FILE_PREFIX}{name}")
                return mmap.mmap(self._file, _FILE_BYTES)
            except OSError as error:
                extra = {"event": "request_ids_not_shared"}
                log.warning("an upgrade will not know the ids that have run: %s", error, extra=extra)
                self._close_file()
        return mmap.mmap(-1, _FILE_BYTES)

    def claim(self, request_id: str) -> bool:
        """Claim an id for a request that may run from now on; return whether no other request had claimed it.

        Raises:
            ClaimsExhaustedError: If the claim can't be recorded.
        """
        hashed = _hash(request_id)
        with _FileLock(self._file):
            slots = self._set_of(hashed)
            hashes = self._hashes[slots.start : slots.stop].tolist()
            if hashed in hashes:
                return False
            slot = slots.start + self._replaceable(slots, hashes)
            self._hashes[slot] = hashed
            self._times[slot] = self._now_ms()
        return True

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

    def _close_file(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def close(self) -> None:
        """Unmap the table; the file stays for the other process."""
        self._hashes.release()
        self._times.release()
        self._close_file()


def _hash(request_id: str) -> int:
    return xxhash.xxh3_64_intdigest(request_id.encode("latin-1", "replace")) or 1  # 0 marks a free slot


def _open_table(path: Path) -> int:
    """Open the file of the table, and give a new one its whole size, so that no later write can fail.

    Raises:
        OSError: If it can't be written.
    """
    file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        with _FileLock(file, waits=True):
            missing = _FILE_BYTES - os.fstat(file).st_size
            if missing > 0:
                os.posix_fallocate(file, 0, _FILE_BYTES)
    except BaseException:
        os.close(file)
        raise
    return file


class _FileLock:
    """The lock between the processes that share the table; none is needed without a file."""

    def __init__(self, file: int | None, waits: bool = False) -> None:
        self._file = file
        self._operation = fcntl.LOCK_EX if waits else fcntl.LOCK_EX | fcntl.LOCK_NB

    def __enter__(self) -> None:
        if self._file is None:
            return
        for _ in range(_LOCK_ATTEMPTS):
            try:
                fcntl.lockf(self._file, self._operation)
            except OSError:
                continue  # the other process holds it for microseconds, unless it is stopped
            return
        raise ClaimsExhaustedError("another process holds the lock of the table")

    def __exit__(self, *_: object) -> None:
        if self._file is not None:
            fcntl.lockf(self._file, fcntl.LOCK_UN)
