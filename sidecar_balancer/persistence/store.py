"""Keyed records that outlast a crash: a snapshot and an append-only log of the changes since.

Each start of the program is a *life*, one more than the highest on disk, and writes files of its own, so
that of two processes which share the folder (an upgrade) the older never overwrites what the newer wrote;
once it sees a later life it writes no more.

    state-LIFE.snap   a snapshot (state/snapshot.py): record 0 is msgpack [life, generation], each next one
                      msgpack [key, value]
    state-LIFE.log    MAGIC (8 bytes) | version (u16) | life (u32) | generation (u32), then for each change
                      length (u32) | xxh32(payload, seed = its place) (u32) | msgpack [key, value or nil]

A log counts only on the snapshot of its own generation, and up to its first record that is short or fails its
checksum.  Past half of `most` bytes the log is folded into a new snapshot; live records take no more than the
other half: beyond it those put longest ago go, and `evicted` counts them.
"""

from __future__ import annotations

import os
import re
import struct
from dataclasses import dataclass, field
from pathlib import Path

import msgpack  # type: ignore[import-untyped]
import xxhash

from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence.snapshot import SnapshotError

LOG_MAGIC = b"WLLOG\x00\x00\x01"
LOG_VERSION = 1
_HEAD = struct.Struct(">8sHII")
_RECORD = struct.Struct(">II")
_NAME = re.compile(r"state-(\d{1,9})\.(snap|log)(\.new)?")
_LEAST = 64 * 1024


@dataclass(frozen=True, slots=True)
class Found:
    """What was on disk.  `notes`: a line for each file that was refused or cut."""

    records: dict[str, bytes] = field(default_factory=dict)
    notes: tuple[str, ...] = ()


class Store:
    """The records of one life.  `open` first; `put` holds a change, `flush` writes what was held."""

    def __init__(self, folder: Path, most: int) -> None:
        self._folder, self._most = folder, max(most, _LEAST)
        self.life = self._generation = 0
        self._records: dict[str, bytes] = {}
        self._size = self._log_size = self._log_count = 0
        self._dirty: dict[str, bytes | None] = {}
        self._whole = False  # whether snapshot and log on disk are those of this life, without a torn end
        self.outlived = False  # a later life writes here: this one writes no more
        self.evicted = 0

    # -- Reading ----------------------------------------------------------------------------------------

    def open(self) -> Found:
        """Read what the latest readable life left; raise OSError where the folder can't be read."""
        self._folder.mkdir(parents=True, exist_ok=True)
        lives = self._lives()
        self.life = max(lives, default=0) + 1
        notes: list[str] = []
        for life in sorted(lives, reverse=True):
            records = self._read(life, notes)
            if records is not None:
                for key, value in records.items():
                    self.put(key, value)
                return Found(records, tuple(notes))
        return Found({}, tuple(notes))

    def _lives(self) -> set[int]:
        found = (_NAME.fullmatch(name) for name in os.listdir(self._folder))
        return {int(each[1]) for each in found if each}

    def _path(self, life: int, kind: str) -> Path:
        return self._folder / f"state-{life}.{kind}"

    def _read(self, life: int, notes: list[str]) -> dict[str, bytes] | None:
        """What a life left; None where its snapshot is missing or refused."""
        path = self._path(life, "snap")
        try:
            kept = snapshot.load(path, self._most)
            if not kept.records:
                notes.append(f"{path.name} holds nothing")
                return None
            generation, records = _unpacked(kept.records)
        except (SnapshotError, OSError) as bad:
            notes.append(f"{path.name} is not taken: {bad}")
            return None
        if not kept.whole:
            notes.append(f"{path.name} was cut short, taken up to {kept.cut_at} bytes")
            return records  # its log may build on what is lost
        self._replay(life, generation, records, notes)
        return records

    def _replay(self, life: int, generation: int, records: dict[str, bytes], notes: list[str]) -> None:
        path = self._path(life, "log")
        try:
            if path.stat().st_size > 2 * self._most:
                raise SnapshotError(f"{path.stat().st_size} bytes")
            data = path.read_bytes()
        except FileNotFoundError:
            return
        except (SnapshotError, OSError) as bad:
            notes.append(f"{path.name} is not taken: {bad}")
            return
        if len(data) < _HEAD.size or _HEAD.unpack_from(data) != (LOG_MAGIC, LOG_VERSION, life, generation):
            notes.append(f"{path.name} is not of this snapshot")
            return
        at = _HEAD.size
        for place in range(len(data)):
            payload = _logged(data, at, place)
            if payload is None:
                break
            key, value = payload
            records.pop(key, None)
            if value is not None:
                records[key] = value
            at += _RECORD.size + _RECORD.unpack_from(data, at)[0]
        if at < len(data):
            notes.append(f"{path.name} was cut short, taken up to {at} of {len(data)} bytes")

    # -- Writing ----------------------------------------------------------------------------------------

    def put(self, key: str, value: bytes | None) -> None:
        """Hold a record, or (None) its end, for the next flush; what is held already costs nothing."""
        old = self._records.get(key)
        if old == value:
            return
        if old is not None:
            self._size -= _cost(key, old)
            del self._records[key]
        if value is not None:
            self._records[key] = value
            self._size += _cost(key, value)
        self._dirty[key] = value
        while self._size > self._most // 2 and self._records:
            first = next(iter(self._records))
            self.evicted += 1
            self.put(first, None)

    def records(self) -> dict[str, bytes]:
        """All that is held now."""
        return dict(self._records)

    def keys(self, prefix: str) -> list[str]:
        return [key for key in self._records if key.startswith(prefix)]

    def flush(self) -> None:
        """Write what was put; raise OSError where the disk says no: it is held, and tried again."""
        if self.outlived or not (self._dirty or not self._whole):
            return
        if any(life > self.life for life in self._lives()):
            self.outlived = True
            return
        changes = [msgpack.packb([key, value]) for key, value in self._dirty.items()]
        size = sum(_RECORD.size + len(each) for each in changes)
        try:
            if not self._whole or self._log_size + size > self._most // 2:
                self._fold()
            else:
                self._append(changes, size)
        except OSError:
            self._whole = False  # the log may end torn: the next flush begins a snapshot
            raise
        self._dirty.clear()

    def _append(self, changes: list[bytes], size: int) -> None:
        parts = []
        for place, payload in enumerate(changes, self._log_count):
            parts.append(_RECORD.pack(len(payload), xxhash.xxh32_intdigest(payload, seed=place)) + payload)
        with open(self._path(self.life, "log"), "ab") as file:
            file.write(b"".join(parts))
            file.flush()
            os.fsync(file.fileno())
        self._log_size += size
        self._log_count += len(changes)

    def _fold(self) -> None:
        """A new generation: the snapshot first, then an empty log, then the files of earlier lives go."""
        self._generation += 1
        head = msgpack.packb([self.life, self._generation])
        records = [msgpack.packb([key, value]) for key, value in self._records.items()]
        snapshot.write(self._path(self.life, "snap"), [head, *records])
        with open(self._path(self.life, "log"), "wb") as file:
            file.write(_HEAD.pack(LOG_MAGIC, LOG_VERSION, self.life, self._generation))
            file.flush()
            os.fsync(file.fileno())
        self._log_size, self._log_count, self._whole = 0, 0, True
        for name in os.listdir(self._folder):
            match = _NAME.fullmatch(name)
            if match and int(match[1]) < self.life:
                (self._folder / name).unlink(missing_ok=True)


def _cost(key: str, value: bytes) -> int:
    return len(key.encode()) + len(value) + 16


def _unpacked(raw: list[bytes]) -> tuple[int, dict[str, bytes]]:
    try:
        _, generation = msgpack.unpackb(raw[0])
        records = dict(msgpack.unpackb(each) for each in raw[1:])
    except Exception as bad:
        raise SnapshotError(f"records that are none: {type(bad).__name__}") from None
    sound = all(isinstance(key, str) and isinstance(value, bytes) for key, value in records.items())
    if type(generation) is not int or not sound:
        raise SnapshotError("records that are none")
    return generation, records


def _logged(data: bytes, at: int, place: int) -> tuple[str, bytes | None] | None:
    """The change at `at`, or None where the log ends or is damaged."""
    if len(data) - at < _RECORD.size:
        return None
    length, digest = _RECORD.unpack_from(data, at)
    payload = data[at + _RECORD.size : at + _RECORD.size + length]
    if len(payload) < length or xxhash.xxh32_intdigest(payload, seed=place) != digest:
        return None
    try:
        key, value = msgpack.unpackb(payload)
    except Exception:
        return None
    return (key, value) if isinstance(key, str) and (value is None or isinstance(value, bytes)) else None
