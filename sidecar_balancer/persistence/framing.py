"""Records on disk: a length and a checksum before each payload.

Layout, integers big-endian: length (u32) | xxh32(payload, seed = the record's index) (u32) | payload.  The
index as the seed makes a record that was moved or repeated fail its checksum.
"""

from __future__ import annotations

import struct

import xxhash

_RECORD_HEADER = struct.Struct(">II")
RECORD_HEADER_BYTES = _RECORD_HEADER.size


def frame_record(payload: bytes, index: int) -> bytes:
    """Return the bytes on disk of the record number `index` of its file."""
    return _RECORD_HEADER.pack(len(payload), xxhash.xxh32_intdigest(payload, seed=index)) + payload


def read_record(data: bytes, offset: int, index: int) -> bytes | None:
    """Return the payload of the record at `offset`; None where it is truncated or fails its checksum."""
    if len(data) - offset < RECORD_HEADER_BYTES:
        return None
    length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER_BYTES
    payload = data[start : start + length]
    if len(payload) < length or xxhash.xxh32_intdigest(payload, seed=index) != checksum:
        return None
    return payload
