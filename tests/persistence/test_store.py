"""The store: whatever happened to its files, it loads records that were once written, or none."""

from __future__ import annotations

import errno
import os
import shutil
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

import msgpack  # type: ignore[import-untyped]
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence.store import LoadedRecords, Store

MAX_BYTES = 1 << 20
Records = dict[str, bytes]


def open_store(folder: Path, max_bytes: int = MAX_BYTES) -> Store:
    store = Store(folder, max_bytes)
    store.open()
    return store


def load_records(folder: Path) -> LoadedRecords:
    return Store(folder, MAX_BYTES).open()


class WrittenStore(NamedTuple):
    """A store with a snapshot and a log on disk."""

    folder: Path
    store: Store
    states: list[Records]  # the records after each flush

    def path(self, suffix: str) -> Path:
        return self.folder / f"state-{self.store.incarnation}.{suffix}"


@pytest.fixture
def written(tmp_path: Path) -> WrittenStore:
    store = open_store(tmp_path)
    states: list[Records] = []
    for number in range(4):
        store.put(f"server/{number}", bytes([number]) * (number + 1))
        store.put("usual", b"u" * number)
        store.put("server/0", None if number == 3 else b"again%d" % number)
        store.flush()
        states.append(store.records())
    return WrittenStore(tmp_path, store, states)


def states_between(states: list[Records]) -> list[Records]:
    """Return the states after each change of the log, applied in order."""
    seen, current = [dict(states[0])], dict(states[0])
    for before, after in pairwise(states):
        for key in [key for key in [*after, *before] if before.get(key) != after.get(key)]:
            current.pop(key, None)
            if key in after:
                current[key] = after[key]
            seen.append(dict(current))
    return seen


def raise_no_space(_: int) -> None:
    raise OSError(errno.ENOSPC, "no space left")


def test_a_log_truncated_anywhere_yields_an_intermediate_state(tmp_path: Path, written: WrittenStore) -> None:
    states = written.states
    log = written.path("log")
    content = log.read_bytes()
    assert load_records(tmp_path).records == states[-1]
    for length in range(len(content)):
        log.write_bytes(content[:length])
        loaded = load_records(tmp_path)
        assert set(loaded.records.items()) <= set().union(*(state.items() for state in states))
        assert loaded.records in [*states, *states_between(states)] or len(loaded.warnings) == 1


def test_a_snapshot_truncated_at_any_byte_yields_its_first_records(
    tmp_path: Path, written: WrittenStore
) -> None:
    path = written.path("snap")
    content = path.read_bytes()
    written.path("log").unlink()
    for length in range(len(content)):
        path.write_bytes(content[:length])
        loaded = load_records(tmp_path)
        assert list(loaded.records.items()) == list(written.states[0].items())[: len(loaded.records)]
        assert len(loaded.warnings) == 1


@pytest.mark.parametrize("suffix", ["snap", "log"])
def test_a_flipped_bit_anywhere_never_adds_a_record(
    tmp_path: Path, written: WrittenStore, suffix: str
) -> None:
    known = {record for state in written.states for record in state.items()}
    path = written.path(suffix)
    content = path.read_bytes()
    for offset in range(len(content)):
        damaged = bytearray(content)
        damaged[offset] ^= 1 << offset % 8
        path.write_bytes(damaged)
        loaded = load_records(tmp_path)
        assert set(loaded.records.items()) <= known
        assert loaded.warnings


@given(st.binary(max_size=300), st.binary(max_size=300))
def test_files_of_any_content_are_rejected_without_an_error(
    tmp_path_factory: pytest.TempPathFactory, snapshot_content: bytes, log_content: bytes
) -> None:
    folder = tmp_path_factory.mktemp("any")
    (folder / "state-3.snap").write_bytes(snapshot_content)
    (folder / "state-3.log").write_bytes(log_content)
    assert load_records(folder).records == {}
    shutil.rmtree(folder)


def test_a_snapshot_of_another_version_is_rejected_and_an_older_incarnation_loaded(
    tmp_path: Path, written: WrittenStore
) -> None:
    newer = snapshot.pack([msgpack.packb([9, 1])])
    (tmp_path / "state-9.snap").write_bytes(newer[:9] + b"\x63" + newer[10:])
    loaded = load_records(tmp_path)
    assert loaded.records == written.states[-1]
    assert "version" in loaded.warnings[0]


def test_a_snapshot_of_another_layout_is_rejected_and_an_older_incarnation_loaded(
    tmp_path: Path, written: WrittenStore
) -> None:
    (tmp_path / "state-9.snap").write_bytes(snapshot.pack([b"junk"]))
    assert load_records(tmp_path).records == written.states[-1]
    assert written.store.incarnation == 1


def test_the_older_of_two_processes_stops_writing_once_the_newer_has_written(tmp_path: Path) -> None:
    older = open_store(tmp_path)
    older.put("usual", b"old")
    older.flush()
    newer = open_store(tmp_path)
    assert newer.records() == {"usual": b"old"}
    newer.put("usual", b"new")
    newer.flush()
    older.put("usual", b"late")
    older.flush()
    assert older.is_superseded
    assert load_records(tmp_path).records == {"usual": b"new"}


def test_after_a_full_disk_the_next_flush_writes_all_changes(
    tmp_path: Path, written: WrittenStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", raise_no_space)
        written.store.put("usual", b"later")
        with pytest.raises(OSError, match="no space left"):
            written.store.flush()
    written.store.flush()
    assert load_records(tmp_path).records == written.states[-1] | {"usual": b"later"}


def test_the_size_on_disk_is_bounded(tmp_path: Path) -> None:
    store = open_store(tmp_path, 64 * 1024)
    for number in range(3000):
        store.put(f"server/{number % 700}", bytes([number % 251]) * 64)
        if number % 10 == 0:
            store.flush()
    store.flush()
    assert store.evicted_count > 0
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 80 * 1024
    assert Store(tmp_path, 64 * 1024).open().records == store.records()
