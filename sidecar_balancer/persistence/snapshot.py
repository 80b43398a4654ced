"""Snapshot files: a versioned header, checksummed records and a trailer with a checksum of the whole file.

Layout, integers big-endian:

    MAGIC (8 bytes) | version (u16) | record* | trailer
    record  = as in framing.py, with a payload of at most MAX_RECORD_BYTES
    trailer = TRAILER_MAGIC (4 bytes) | count (u32) | xxh64 of every byte before the trailer (u64)

A file that was truncated by a crash during a write is read up to its first incomplete record.  A file with
another magic, another version or a trailer that does not match raises SnapshotError, so that no wrong state
is loaded.  Records are opaque bytes here; callers encode them.
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass
from pathlib import Path

import xxhash

from sidecar_balancer.persistence.framing import RECORD_HEADER_BYTES, frame_record, read_record

MAGIC = b"WLSNAP\x00\x01"
VERSION = 1
TRAILER_MAGIC = b"END\x00"
MAX_RECORD_BYTES = 1 << 20
_HEADER = struct.Struct(">8sH")
_TRAILER = struct.Struct(">4sIQ")


class SnapshotError(ValueError):
    """A file that is not a snapshot of this version, fails its checksum or exceeds its size limit."""


@dataclass(frozen=True, slots=True)
class SnapshotContent:
    """The records of a snapshot file."""

    records: list[bytes]
    is_complete: bool  # False: the file was truncated, and the data after `records` was dropped
    valid_bytes: int


def pack(records: list[bytes]) -> bytes:
    """Return a snapshot file of `records`; raise ValueError for a record over `MAX_RECORD_BYTES`."""
    parts = [_HEADER.pack(MAGIC, VERSION)]
    for index, payload in enumerate(records):
        if len(payload) > MAX_RECORD_BYTES:
            raise ValueError(f"record of {len(payload)} bytes exceeds the limit of {MAX_RECORD_BYTES}")
        parts.append(frame_record(payload, index))
    body = b"".join(parts)
    return body + _TRAILER.pack(TRAILER_MAGIC, len(records), xxhash.xxh64_intdigest(body))


def unpack(data: bytes) -> SnapshotContent:
    """Parse the bytes of a snapshot file; raise SnapshotError if they are rejected."""
    if len(data) < _HEADER.size:
        return SnapshotContent([], False, 0)
    magic, version = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError(f"expected magic {MAGIC!r}, got {magic!r}")
    if version != VERSION:
        raise SnapshotError(f"expected snapshot version {VERSION}, got {version}")
    records: list[bytes] = []
    offset = _HEADER.size
    while True:
        if _is_trailer(data, offset):
            _check_trailer(data, offset, len(records))
            return SnapshotContent(records, True, len(data))
        payload = read_record(data, offset, len(records))
        if payload is None or len(payload) > MAX_RECORD_BYTES:
            return SnapshotContent(records, False, offset)
        records.append(payload)
        offset += RECORD_HEADER_BYTES + len(payload)


def write(path: Path, records: list[bytes]) -> None:
    """Replace `path` atomically and durably with a snapshot of `records`; raise OSError on failure."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(pack(records))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)


def load(path: Path, max_bytes: int) -> SnapshotContent:
    """Read the snapshot at `path`; a missing file counts as a complete snapshot without records.

    Raises:
        SnapshotError: The file is not a snapshot, is damaged or is larger than `max_bytes`.
        OSError: The file cannot be read.
    """
    try:
        size = path.stat().st_size
    except FileNotFoundError:
        return SnapshotContent([], True, 0)
    if size > max_bytes:
        raise SnapshotError(f"file of {size} bytes exceeds the limit of {max_bytes}")
    return unpack(path.read_bytes())


def _is_trailer(data: bytes, offset: int) -> bool:
    return len(data) - offset == _TRAILER.size and data[offset : offset + len(TRAILER_MAGIC)] == TRAILER_MAGIC


def _check_trailer(data: bytes, offset: int, record_count: int) -> None:
    _, count, checksum = _TRAILER.unpack_from(data, offset)
    if count != record_count or checksum != xxhash.xxh64_intdigest(data[:offset]):
        raise SnapshotError("trailer does not match the records")


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
