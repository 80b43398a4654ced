"""Tier snapshots: state of the snapshot lease's holder, in a folder shared by all sidecars of the tier.

They serve a tier that lost power as a whole, so that no peer is left to provide its state.  The file name
`tier-TOKEN.snap` holds the lease's fencing token, and the file with the highest token is valid.  A lease
holder that was paused and resumes after its lease expired can only write its own older file, which no sidecar
reads and the next lease holder deletes.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

from sidecar_balancer.persistence import keyed_records, snapshot
from sidecar_balancer.persistence.snapshot import SnapshotError

_FILE_NAME = re.compile(r"tier-(\d{1,10})\.snap")


class TierSnapshot(NamedTuple):
    """The newest readable snapshot of the tier; token 0 means that there is none."""

    token: int
    records: dict[str, bytes]
    warnings: list[str]  # a line for each file that was rejected or truncated


def write(folder: Path, token: int, records: dict[str, bytes]) -> bool:
    """Write a snapshot under `token`; if a newer token was used, write nothing and return False.

    Raise OSError on failure.
    """
    folder.mkdir(parents=True, exist_ok=True)
    tokens = _tokens(folder)
    if any(other > token for other in tokens):
        return False
    snapshot.write(_path(folder, token), keyed_records.encode(records))
    for other in tokens:
        if other < token:
            _path(folder, other).unlink(missing_ok=True)
    return True


def read(folder: Path, max_bytes: int) -> TierSnapshot:
    """Read the newest valid snapshot; raise OSError if the folder cannot be listed."""
    warnings: list[str] = []
    tokens = _tokens(folder) if folder.is_dir() else []
    for token in sorted(tokens, reverse=True):
        path = _path(folder, token)
        try:
            content = snapshot.load(path, max_bytes)
            records = keyed_records.decode(content.records)
        except (SnapshotError, OSError) as error:
            warnings.append(f"{path.name} rejected: {error}")
            continue
        if not content.is_complete:
            warnings.append(f"{path.name} is truncated")
        return TierSnapshot(token, records, warnings)
    return TierSnapshot(0, {}, warnings)


def _tokens(folder: Path) -> list[int]:
    matches = (_FILE_NAME.fullmatch(path.name) for path in folder.iterdir())
    return [int(match[1]) for match in matches if match]


def _path(folder: Path, token: int) -> Path:
    return folder / f"tier-{token}.snap"
