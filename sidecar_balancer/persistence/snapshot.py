"""Snapshots: a versioned header, length-prefixed records with a checksum each, and a trailer over the whole.

Layout, integers big-endian:

    MAGIC (8 bytes) | version (u16) | record* | trailer
    record  = length (u32) | xxh32(payload, seed = the record's index) (u32) | payload (length bytes)
    trailer = TRAILER (4 bytes) | count (u32) | xxh64 of every byte before the trailer (u64)

`read` takes what is whole: a file cut short (a crash within a write) keeps the records before the first one
that is short or fails its checksum, and says it was cut; a foreign magic, another version or a wrong trailer
raises `SnapshotError`, so that no wrong state is taken.  `write` is atomic: a temporary file, fsync,
rename, fsync of the folder.  Records are opaque bytes; callers pack them (msgpack).
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass
from pathlib import Path

import xxhash

MAGIC = b"WLSNAP\x00\x01"
VERSION = 1
TRAILER = b"END\x00"
RECORD_MOST = 1 << 20  # bytes of one record
_HEAD = struct.Struct(">8sH")
_RECORD = struct.Struct(">II")
_TAIL = struct.Struct(">4sIQ")


class SnapshotError(ValueError):
    """Not a snapshot of this version, or one whose whole does not check out."""


@dataclass(frozen=True, slots=True)
class Read:
    records: list[bytes]
    whole: bool  # False: the file was cut short, and what came after `records` was dropped
    cut_at: int  # bytes that were good


def pack(records: list[bytes]) -> bytes:
    """The bytes of a snapshot holding `records`; ValueError for a record over `RECORD_MOST`."""
    parts = [_HEAD.pack(MAGIC, VERSION)]
    for index, payload in enumerate(records):
        if len(payload) > RECORD_MOST:
            raise ValueError(f"a record of {len(payload)} bytes, over {RECORD_MOST}")
        parts.append(_RECORD.pack(len(payload), xxhash.xxh32_intdigest(payload, seed=index)) + payload)
    body = b"".join(parts)
    return body + _TAIL.pack(TRAILER, len(records), xxhash.xxh64_intdigest(body))


def read(data: bytes) -> Read:
    """Unpack a snapshot; raise `SnapshotError` (see the module's doc)."""
    if len(data) < _HEAD.size:
        return Read([], False, 0)  # a write that had not begun
    magic, version = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a snapshot")
    if version != VERSION:
        raise SnapshotError(f"a snapshot of version {version}, not {VERSION}")
    records: list[bytes] = []
    at = _HEAD.size
    while True:
        if data[at : at + len(TRAILER)] == TRAILER and len(data) - at == _TAIL.size:
            _, count, digest = _TAIL.unpack_from(data, at)
            if count != len(records) or digest != xxhash.xxh64_intdigest(data[:at]):
                raise SnapshotError("the trailer does not match the records")
            return Read(records, True, len(data))
        payload = _record(data, at, len(records))
        if payload is None:
            return Read(records, False, at)
        records.append(payload)
        at += _RECORD.size + len(payload)


def _record(data: bytes, at: int, index: int) -> bytes | None:
    if len(data) - at < _RECORD.size:
        return None
    length, digest = _RECORD.unpack_from(data, at)
    start = at + _RECORD.size
    if length > RECORD_MOST or len(data) - start < length:
        return None
    payload = data[start : start + length]
    return payload if xxhash.xxh32_intdigest(payload, seed=index) == digest else None


def write(path: Path, records: list[bytes]) -> None:
    """Replace `path` with a snapshot of `records`, atomically; raise OSError where the disk says no."""
    spare = path.with_name(path.name + ".new")
    with open(spare, "wb") as file:
        file.write(pack(records))
        file.flush()
        os.fsync(file.fileno())
    os.replace(spare, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load(path: Path, most: int) -> Read:
    """Read `path` if it is there (an empty `Read` if not); raise OSError, or `SnapshotError`, also for a file
    over `most` bytes: memory is bounded."""
    try:
        size = path.stat().st_size
    except FileNotFoundError:
        return Read([], True, 0)
    if size > most:
        raise SnapshotError(f"{size} bytes, over {most}")
    return read(path.read_bytes())
