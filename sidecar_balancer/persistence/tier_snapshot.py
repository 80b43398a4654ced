"""The tier's shared snapshot: what the holder of the duty `snapshot` knows, in a folder that all sidecars
see.

The file's name carries the lease's fencing token, `tier-TOKEN.snap`, and the highest is the one that
counts: a holder that was paused and wakes after its lease ran out can only write its own, older file, which
nobody reads and the next holder removes.  For a tier that lost power as a whole, with no peer left to ask.
"""

from __future__ import annotations

import os
import re
from pathlib import Path

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence.snapshot import SnapshotError

_NAME = re.compile(r"tier-(\d{1,10})\.snap")


def write(folder: Path, token: int, records: dict[str, bytes]) -> bool:
    """Write under `token`; False, and nothing written, where a newer token has been there.  Raise OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    tokens = _tokens(folder)
    if any(each > token for each in tokens):
        return False
    snapshot.write(_path(folder, token), [msgpack.packb([key, value]) for key, value in records.items()])
    for each in tokens:
        if each < token:
            _path(folder, each).unlink(missing_ok=True)
    return True


def read(folder: Path, most: int) -> tuple[int, dict[str, bytes], list[str]]:
    """The newest token and its records, and a note for each file that was refused or cut; raise OSError."""
    notes: list[str] = []
    for token in sorted(_tokens(folder), reverse=True) if folder.is_dir() else ():
        path = _path(folder, token)
        try:
            kept = snapshot.load(path, most)
            records = dict(msgpack.unpackb(each) for each in kept.records)
            if not all(isinstance(k, str) and isinstance(v, bytes) for k, v in records.items()):
                raise SnapshotError("records that are none")
        except (SnapshotError, OSError, ValueError, TypeError) as bad:
            notes.append(f"{path.name} is not taken: {bad}")
            continue
        if not kept.whole:
            notes.append(f"{path.name} was cut short")
        return token, records, notes
    return 0, {}, notes


def _tokens(folder: Path) -> list[int]:
    found = (_NAME.fullmatch(name) for name in os.listdir(folder))
    return [int(each[1]) for each in found if each]


def _path(folder: Path, token: int) -> Path:
    return folder / f"tier-{token}.snap"
