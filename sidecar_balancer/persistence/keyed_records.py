"""Keyed records as payloads of a snapshot: msgpack [key, value], the key a string, the value bytes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.persistence.snapshot import SnapshotError


def encode(records: Mapping[str, bytes]) -> list[bytes]:
    """Return one payload for each record."""
    return [msgpack.packb([key, value]) for key, value in records.items()]


def decode(payloads: Iterable[bytes]) -> dict[str, bytes]:
    """Return the records of the payloads; raises SnapshotError where one has another form."""
    try:
        records = dict(msgpack.unpackb(payload) for payload in payloads)
    except Exception as error:  # msgpack and dict raise several kinds; all mean another form
        raise SnapshotError(f"records of another form: {type(error).__name__}") from None
    if not all(isinstance(key, str) and isinstance(value, bytes) for key, value in records.items()):
        raise SnapshotError("records of another form")
    return records
