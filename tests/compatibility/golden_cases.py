"""Inputs of the golden files for stored data and datagrams, and the folder of the golden files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgpack  # type: ignore[import-untyped]
from golden_scenes import SERVICE_CLASSES, endpoint_list, entry

DATA = Path(__file__).parent / "data"
ENDPOINT_LIST = endpoint_list(41, *(entry(f"s-{number}") for number in range(1, 5)))
SETTINGS = {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "on_request", "groupSize": 4}
SNAPSHOT_TOKEN = 9  # token of the tier snapshot
TRUNCATED_BYTES = 7  # bytes cut off the end of the log, so that its last record is incomplete

Flushes = list[list[tuple[str, bytes | None]]]


def load_golden(name: str) -> Any:
    """Return the content of a golden JSON file."""
    return json.loads((DATA / name).read_text("utf-8"))


def files(folder: Path) -> dict[str, bytes]:
    """Return the content of every file below a folder, by relative path."""
    return {str(each.relative_to(folder)): each.read_bytes() for each in folder.rglob("*") if each.is_file()}


def _verdict(origin: int, slot: int, subject: str, verdict: int, ttl_ms: int) -> tuple[str, bytes]:
    packed = msgpack.packb([1, origin, 3, 17, subject, slot, verdict, 5, ttl_ms])
    return f"verdict/{origin}/{slot}/{subject}", packed


def flushes() -> Flushes:
    """Return the changes of one process lifetime: those in the snapshot, then two flushes to the log."""
    pack = msgpack.packb
    first = [
        ("list", pack(["192.0.2.1:8500", json.dumps(ENDPOINT_LIST)])),
        ("server/s-1", pack([1.0, 0, None])),
        ("server/s-2", pack([1.35, 4_000_000, None])),
        ("server/10.1.0.18:8443", pack([0.85, 0, 1_700_000_000_000_000])),
        ("usual", pack([["look", 0, 21_000], ["pay", 3, 4_000]])),
        ("bearable", pack(0.00042)),
        ("plane", pack([3, 17])),
        ("member/1", pack([0, 2])),
        ("member/2", pack([1, 4])),
        ("member/3", pack([2, 0])),
        _verdict(1, -1, "s-1", 0, 9_000),
        _verdict(1, -2, "s-2", 5, 60_000),
        _verdict(2, -3, "b", 6, 4_000),
        _verdict(2, 0, "s-3", 4, 3_000),
        _verdict(3, 2, "s-3", 2, 1_000),
        _verdict(0, -1, "s-4", 1, 5_000),
        ("lease/0", pack(12)),
        ("lease/1", pack(4_294_967_295)),
    ]
    second: list[tuple[str, bytes | None]] = [
        ("server/s-1", pack([1.1, 0, None])),
        ("server/ñandú %2F", pack([2.0, 1_000_000, 1_700_000_001_000_000])),
        ("verdict/2/0/s-3", None),
        ("usual", pack([["look", 0, 22_000]])),
        ("bearable", pack(0.0005)),
        ("plane", pack([3, 18])),
        ("member/3", pack([0, 1])),
        ("lease/0", pack(13)),
        _verdict(1, -1, "s-1", 3, 8_000),
    ]
    third: list[tuple[str, bytes | None]] = [
        ("list", pack(["192.0.2.1:8500", json.dumps(ENDPOINT_LIST | {"index": 42})])),
        ("server/s-2", None),
        ("server/s-3", pack([1.0, 2_000_000, None])),
    ]
    return [list(first), second, third]


OVERRIDES: dict[str, Any] = {
    "excluded": sorted(["s-0", "../../up", "10.1.0.18:8443", "ñandú %2F", ".", "..", "a b=c", "x" * 64]),
    "zones": {"a": "drain", "b.c": "pin", "zone/ü=1": "drain"},
    "evacuated": True,
}

# By name: kind, incarnation, sequence number, target, and updates in their wire form.
DATAGRAMS: dict[str, tuple[int, int, int, int, list[list[Any]]]] = {
    "ping": (0, 0, 1, -1, []),
    "ack": (1, 4_294_967_295, 4_294_967_295, -1, []),
    "ping-req": (2, 7, 300, 1023, []),
    "direct": (3, 7, 70_000, -1, [[2, 0, 0, 1, 1]]),
    "state-ask": (4, 7, 128, -1, []),
    "state": (5, 7, 1, 3, [[4, "s-1", 135]]),
    "member alive": (0, 1, 2, -1, [[0, 0, 0, 0]]),
    "member suspect": (0, 1, 2, -1, [[0, 1023, 4_294_967_295, 1]]),
    "member dead": (0, 1, 2, -1, [[0, 5, 128, 2]]),
    **{
        f"verdict {number}": (0, 1, 2, -1, [[1, 4, 3, 17, "10.1.0.18:8443", -1, number, 5, 9_000]])
        for number in range(9)
    },
    **{
        f"verdict slot {slot}": (0, 1, 2, -1, [[1, 4, 3, 17, "ñandú", slot, 4, 1 << 20, 60_000]])
        for slot in (-4, -3, -2, -1, 0, 255)
    },
    "lease": (3, 1, 2, -1, [[2, 255, 15, 4_294_967_295, 4_294_967_295]]),
    "act": (0, 1, 2, -1, [[3, 0, 4_294_967_295, 6, "zone-b", 1]]),
    "act without subject": (0, 1, 2, -1, [[3, 1, 1, 0, "", 2]]),
    "fact": (5, 1, 0, 1, [[4, "x" * 64, 10_000]]),
    "several": (
        1,
        9,
        8,
        -1,
        [[0, 1, 2, 0], [1, 2, 3, 4, "s", -2, 5, 1, 1], [3, 0, 1, 2, "b", 1], [4, "s", 1]],
    ),
}
