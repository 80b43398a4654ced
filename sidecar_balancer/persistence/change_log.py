"""Change log files: the changes to keyed records since a snapshot, in the order they were made.

Layout, integers big-endian:

    MAGIC (8 bytes) | version (u16) | incarnation (u32) | generation (u32) | change*
    change = a record as in framing.py; the payload is msgpack [key, value], where nil is a deletion

A log applies only to the snapshot with the same incarnation and generation.  It is valid up to the first
change that is truncated or fails its checksum.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path
from typing import NamedTuple

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.persistence.framing import RECORD_HEADER_BYTES, frame_record, read_record

MAGIC = b"WLLOG\x00\x00\x01"
VERSION = 1
_HEADER = struct.Struct(">8sHII")


class Change(NamedTuple):
    """The new value of a key; None deletes the key."""

    key: str
    value: bytes | None


class LogVersion(NamedTuple):
    """The incarnation and generation that identify the snapshot of a log."""

    incarnation: int
    generation: int


class ChangeLogWriter:
    """Appends changes to the log of one snapshot."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._count = 0
        self.size_bytes = 0  # size of the changes, excluding the header

    def start(self, version: LogVersion) -> None:
        """Replace the log with an empty one; raise OSError on failure."""
        with self._path.open("wb") as file:
            file.write(_HEADER.pack(MAGIC, VERSION, *version))
            file.flush()
            os.fsync(file.fileno())
        self._count = self.size_bytes = 0

    def append(self, payloads: list[bytes]) -> None:
        """Append encoded changes durably; raise OSError on failure, which may leave a partial change."""
        data = b"".join(frame_record(payload, index) for index, payload in enumerate(payloads, self._count))
        with self._path.open("ab") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        self.size_bytes += len(data)
        self._count += len(payloads)


def encode_change(key: str, value: bytes | None) -> bytes:
    """Return the record payload of a change."""
    payload: bytes = msgpack.packb([key, value])
    return payload


def size_on_disk(payloads: list[bytes]) -> int:
    """Return the size in bytes of `payloads` in a log, including their record headers."""
    return sum(RECORD_HEADER_BYTES + len(payload) for payload in payloads)


class ChangeLogContent(NamedTuple):
    """The valid changes of a log file, and the bytes that they and the file header take."""

    changes: list[Change]
    valid_bytes: int


def unpack(data: bytes, version: LogVersion) -> ChangeLogContent | None:
    """Parse the bytes of a log; return None if they are not a log of `version`."""
    if len(data) < _HEADER.size or _HEADER.unpack_from(data) != (MAGIC, VERSION, *version):
        return None
    changes: list[Change] = []
    offset = _HEADER.size
    while (payload := read_record(data, offset, len(changes))) is not None:
        change = _decode_change(payload)
        if change is None:
            break
        changes.append(change)
        offset += RECORD_HEADER_BYTES + len(payload)
    return ChangeLogContent(changes, offset)


def _decode_change(payload: bytes) -> Change | None:
    try:
        key, value = msgpack.unpackb(payload)
    except Exception:  # msgpack and the assignment raise various exceptions; all mean a malformed payload
        return None
    is_change = isinstance(key, str) and (value is None or isinstance(value, bytes))
    return Change(key, value) if is_change else None
