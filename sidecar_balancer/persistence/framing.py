"""Framing of records on disk: a length and a checksum precede each payload.

Layout, integers big-endian: length (u32) | xxh32(payload, seed = the record's index) (u32) | payload.
Seeding with the index makes a record that was moved or duplicated fail its checksum.
"""

from __future__ import annotations

import struct

import xxhash

_RECORD_HEADER = struct.Struct(">II")
RECORD_HEADER_BYTES = _RECORD_HEADER.size


def frame_record(payload: bytes, index: int) -> bytes:
    """Return the bytes on disk of a record; `index` is its position in the file, from 0."""
    return _RECORD_HEADER.pack(len(payload), xxhash.xxh32_intdigest(payload, seed=index)) + payload


def read_record(data: bytes, offset: int, index: int) -> bytes | None:
    """Return the payload of the record at `offset`, or None if it is truncated or fails its checksum."""
    if len(data) - offset < RECORD_HEADER_BYTES:
        return None
    length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER_BYTES
    payload = data[start : start + length]
    if len(payload) < length or xxhash.xxh32_intdigest(payload, seed=index) != checksum:
        return None
    return payload
