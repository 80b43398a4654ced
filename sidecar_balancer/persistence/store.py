"""Crash-safe store of keyed records: a snapshot and a log of the changes since.

Each start of the process has its own incarnation, one higher than the highest on disk, and writes its own
files.  When two processes share the folder during an upgrade, the older one therefore never overwrites the
files of the newer one, and it stops writing once it finds files of a later incarnation.

    state-INCARNATION.snap   a snapshot (snapshot.py): record 0 is msgpack [incarnation, generation], each
                             further record msgpack [key, value]
    state-INCARNATION.log    a change log (change_log.py) of the snapshot of the same generation

Once the log would exceed half of the store's size limit, a new snapshot replaces it.  Live records may take
the other half; beyond it, the records written longest ago are evicted.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.persistence import change_log, keyed_records, snapshot
from sidecar_balancer.persistence.change_log import ChangeLogWriter, LogVersion
from sidecar_balancer.persistence.snapshot import SnapshotError

_FILE_NAME = re.compile(r"state-(\d{1,9})\.(snap|log)(\.new)?")
_MIN_SIZE_LIMIT_BYTES = 64 * 1024
_RECORD_OVERHEAD_BYTES = 16


@dataclass(frozen=True, slots=True)
class LoadedRecords:
    """The records that were on disk."""

    records: dict[str, bytes] = field(default_factory=dict)
    warnings: tuple[str, ...] = ()  # a line for each file that was rejected or truncated


class Store:
    """The records of one incarnation; call `open` first, `put` to change them in memory, `flush` to write."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        self._folder = folder
        self._max_bytes = max(max_bytes, _MIN_SIZE_LIMIT_BYTES)
        self.incarnation = 0
        self._generation = 0
        self._records: dict[str, bytes] = {}
        self._size_bytes = 0
        self._unsaved: dict[str, bytes | None] = {}
        self._log: ChangeLogWriter | None = None  # None: the next flush writes a snapshot
        self.is_superseded = False  # whether a later incarnation writes to the folder, so this one stopped
        self.evicted_count = 0

    # -- Reading ----------------------------------------------------------------------------------------

    def open(self) -> LoadedRecords:
        """Load the records of the latest readable incarnation; raise OSError if the folder is unreadable."""
        self._folder.mkdir(parents=True, exist_ok=True)
        incarnations = self._incarnations_on_disk()
        self.incarnation = max(incarnations, default=0) + 1
        warnings: list[str] = []
        for incarnation in sorted(incarnations, reverse=True):
            records = self._load(incarnation, warnings)
            if records is not None:
                for key, value in records.items():
                    self.put(key, value)
                return LoadedRecords(records, tuple(warnings))
        return LoadedRecords({}, tuple(warnings))

    def _incarnations_on_disk(self) -> set[int]:
        matches = (_FILE_NAME.fullmatch(path.name) for path in self._folder.iterdir())
        return {int(match[1]) for match in matches if match}

    def _path(self, incarnation: int, suffix: str) -> Path:
        return self._folder / f"state-{incarnation}.{suffix}"

    def _load(self, incarnation: int, warnings: list[str]) -> dict[str, bytes] | None:
        """Return the records of an incarnation, or None if its snapshot is missing or rejected."""
        path = self._path(incarnation, "snap")
        try:
            content = snapshot.load(path, self._max_bytes)
            if not content.records:
                warnings.append(f"{path.name} is missing or has no records")
                return None
            generation, records = _decode_snapshot(content.records)
        except (SnapshotError, OSError) as error:
            warnings.append(f"{path.name} rejected: {error}")
            return None
        if not content.is_complete:
            warnings.append(f"{path.name} is truncated; read {content.valid_bytes} bytes")
            return records  # the log may build on the records that were lost
        self._replay_log(LogVersion(incarnation, generation), records, warnings)
        return records

    def _replay_log(self, version: LogVersion, records: dict[str, bytes], warnings: list[str]) -> None:
        path = self._path(version.incarnation, "log")
        try:
            data = self._read_log(path)
        except FileNotFoundError:
            return
        except (SnapshotError, OSError) as error:
            warnings.append(f"{path.name} rejected: {error}")
            return
        content = change_log.unpack(data, version)
        if content is None:
            warnings.append(f"{path.name} does not match its snapshot")
            return
        for key, value in content.changes:
            records.pop(key, None)
            if value is not None:
                records[key] = value
        if content.valid_bytes < len(data):
            warnings.append(f"{path.name} is truncated; read {content.valid_bytes} of {len(data)} bytes")

    def _read_log(self, path: Path) -> bytes:
        size = path.stat().st_size
        if size > 2 * self._max_bytes:
            raise SnapshotError(f"file of {size} bytes exceeds the limit of {2 * self._max_bytes}")
        return path.read_bytes()

    # -- Writing ----------------------------------------------------------------------------------------

    def put(self, key: str, value: bytes | None) -> None:
        """Set a record in memory, or delete it (None); an unchanged value is not written again."""
        current = self._records.get(key)
        if current == value:
            return
        if current is not None:
            self._size_bytes -= _record_size(key, current)
            del self._records[key]
        if value is not None:
            self._records[key] = value
            self._size_bytes += _record_size(key, value)
        self._unsaved[key] = value
        while self._size_bytes > self._max_bytes // 2 and self._records:
            oldest = next(iter(self._records))
            self.evicted_count += 1
            self.put(oldest, None)

    def records(self) -> dict[str, bytes]:
        """Return a copy of the records in memory."""
        return dict(self._records)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys of the records in memory that start with `prefix`."""
        return [key for key in self._records if key.startswith(prefix)]

    def flush(self) -> None:
        """Write the changes to disk; raise OSError on failure, after which the next call retries them all."""
        has_changes = bool(self._unsaved) or self._log is None
        if self.is_superseded or not has_changes:
            return
        if any(incarnation > self.incarnation for incarnation in self._incarnations_on_disk()):
            self.is_superseded = True
            return
        changes = [change_log.encode_change(key, value) for key, value in self._unsaved.items()]
        added_bytes = change_log.size_on_disk(changes)
        try:
            if self._log is None or self._log.size_bytes + added_bytes > self._max_bytes // 2:
                self._log = self._write_snapshot()
            else:
                self._log.append(changes)
        except OSError:
            self._log = None  # the file may end in a partial change
            raise
        self._unsaved.clear()

    def _write_snapshot(self) -> ChangeLogWriter:
        """Start a generation: write a snapshot, then an empty log; delete files of earlier incarnations."""
        self._generation += 1
        version = LogVersion(self.incarnation, self._generation)
        header: bytes = msgpack.packb(list(version))
        payloads = [header, *keyed_records.encode(self._records)]
        snapshot.write(self._path(self.incarnation, "snap"), payloads)
        log = ChangeLogWriter(self._path(self.incarnation, "log"))
        log.start(version)
        self._delete_earlier_files()
        return log

    def _delete_earlier_files(self) -> None:
        for path in list(self._folder.iterdir()):
            match = _FILE_NAME.fullmatch(path.name)
            if match and int(match[1]) < self.incarnation:
                path.unlink(missing_ok=True)


def _record_size(key: str, value: bytes) -> int:
    return len(key.encode()) + len(value) + _RECORD_OVERHEAD_BYTES


def _decode_snapshot(payloads: list[bytes]) -> tuple[int, dict[str, bytes]]:
    """Return the generation and the records; raise SnapshotError if the content is malformed."""
    try:
        _, generation = msgpack.unpackb(payloads[0])
    except Exception as error:  # msgpack and the assignment raise various exceptions; all mean malformed
        raise SnapshotError(f"malformed first record: {type(error).__name__}") from None
    if type(generation) is not int:
        raise SnapshotError(f"expected an integer generation in the first record, got {generation!r:.60}")
    return generation, keyed_records.decode(payloads[1:])
