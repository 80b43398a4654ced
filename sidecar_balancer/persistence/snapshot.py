"""Snapshot files: a versioned header, checksummed records, and a trailer with a checksum over everything.

Layout, integers big-endian:

    MAGIC (8 bytes) | version (u16) | record* | trailer
    record  = see framing.py, its payload at most MAX_RECORD_BYTES long
    trailer = TRAILER_MAGIC (4 bytes) | count (u32) | xxh64 of every byte before the trailer (u64)

A truncated file (a crash during a write) keeps the records before the first one that is incomplete.  A file
with another magic, another version or a trailer that does not match raises SnapshotError, so that no wrong
state is loaded.  Records are opaque bytes here; callers encode them.
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
    """A file that is no snapshot of this version, or that fails its checksum or its size limit."""


@dataclass(frozen=True, slots=True)
class SnapshotContent:
    """The records of a snapshot file."""

    records: list[bytes]
    is_complete: bool  # False: the file was truncated, and what came after `records` was dropped
    valid_bytes: int


def pack(records: list[bytes]) -> bytes:
    """Return the bytes of a snapshot of `records`; raises ValueError for one over `MAX_RECORD_BYTES`."""
    parts = [_HEADER.pack(MAGIC, VERSION)]
    for index, payload in enumerate(records):
        if len(payload) > MAX_RECORD_BYTES:
            raise ValueError(f"a record of {len(payload)} bytes, over {MAX_RECORD_BYTES}")
        parts.append(frame_record(payload, index))
    body = b"".join(parts)
    return body + _TRAILER.pack(TRAILER_MAGIC, len(records), xxhash.xxh64_intdigest(body))


def unpack(data: bytes) -> SnapshotContent:
    """Read the bytes of a snapshot; raises SnapshotError."""
    if len(data) < _HEADER.size:
        return SnapshotContent([], False, 0)
    magic, version = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a snapshot")
    if version != VERSION:
        raise SnapshotError(f"a snapshot of version {version}, not {VERSION}")
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
    """Replace `path` with a snapshot of `records` atomically and durably; raises OSError."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(pack(records))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)


def load(path: Path, max_bytes: int) -> SnapshotContent:
    """Read the snapshot at `path`; a missing file gives a complete one without records.

    Raises:
        SnapshotError: it is no snapshot, is damaged, or is larger than `max_bytes`.
        OSError: it can't be read.
    """
    try:
        size = path.stat().st_size
    except FileNotFoundError:
        return SnapshotContent([], True, 0)
    if size > max_bytes:
        raise SnapshotError(f"{size} bytes, over {max_bytes}")
    return unpack(path.read_bytes())


def _is_trailer(data: bytes, offset: int) -> bool:
    return len(data) - offset == _TRAILER.size and data[offset : offset + len(TRAILER_MAGIC)] == TRAILER_MAGIC


def _check_trailer(data: bytes, offset: int, record_count: int) -> None:
    _, count, checksum = _TRAILER.unpack_from(data, offset)
    if count != record_count or checksum != xxhash.xxh64_intdigest(data[:offset]):
        raise SnapshotError("the trailer does not match the records")


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
