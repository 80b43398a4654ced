"""Encoding of keyed records as snapshot payloads: msgpack [key, value], a string key and a bytes value."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.persistence.snapshot import SnapshotError


def encode(records: Mapping[str, bytes]) -> list[bytes]:
    """Return one payload per record."""
    return [msgpack.packb([key, value]) for key, value in records.items()]


def decode(payloads: Iterable[bytes]) -> dict[str, bytes]:
    """Return the records of the payloads; raise SnapshotError if one is malformed."""
    try:
        records = dict(msgpack.unpackb(payload) for payload in payloads)
    except Exception as error:  # msgpack and dict raise various exceptions; all mean a malformed record
        raise SnapshotError(f"malformed keyed record: {type(error).__name__}") from None
    if not all(isinstance(key, str) and isinstance(value, bytes) for key, value in records.items()):
        raise SnapshotError("malformed keyed record: expected a string key and a bytes value")
    return records
