"""The state's files: whatever happened to them, what is read is a state that once was, or nothing."""

from __future__ import annotations

import errno
import os
import shutil
from itertools import pairwise
from pathlib import Path

import msgpack  # type: ignore[import-untyped]
import pytest
from hypothesis import given
from hypothesis import strategies as st

from helpers import Stage
from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence import tier_snapshot as tier
from sidecar_balancer.persistence.persister import StatePersister
from sidecar_balancer.persistence.store import Store

MOST = 1 << 20


def fresh(folder: Path) -> Store:
    store = Store(folder, MOST)
    store.open()
    return store


def written(folder: Path) -> tuple[list[dict[str, bytes]], Store]:
    """A life of a snapshot and a log; gives the states that were on disk in turn."""
    store = fresh(folder)
    states: list[dict[str, bytes]] = []
    for number in range(4):
        store.put(f"server/{number}", bytes([number]) * (number + 1))
        store.put("usual", b"u" * number)
        store.put("server/0", None if number == 3 else b"again%d" % number)
        store.flush()
        states.append(store.records())
    return states, store


def prefixes(states: list[dict[str, bytes]]) -> list[dict[str, bytes]]:
    """The states that any record-wise prefix of the log stands for: each put applied in turn."""
    seen, held = [dict(states[0])], dict(states[0])
    for before, after in pairwise(states):
        for key in [k for k in [*after, *before] if before.get(k) != after.get(k)]:
            held.pop(key, None)
            if key in after:
                held[key] = after[key]
            seen.append(dict(held))
    return seen


def test_a_log_torn_at_any_byte_is_a_state_that_was_on_the_way(tmp_path: Path) -> None:
    states, store = written(tmp_path)
    log = tmp_path / f"state-{store.life}.log"
    whole = log.read_bytes()
    assert Store(tmp_path, MOST).open().records == states[-1]
    for cut in range(len(whole)):
        log.write_bytes(whole[:cut])
        found = Store(tmp_path, MOST).open()
        assert set(found.records.items()) <= set().union(*(each.items() for each in states))
        assert found.records in [*states, *prefixes(states)] or len(found.notes) == 1


def test_a_snapshot_torn_at_any_byte_gives_its_first_records_or_nothing(tmp_path: Path) -> None:
    states, store = written(tmp_path)
    path = tmp_path / f"state-{store.life}.snap"
    whole = path.read_bytes()
    (tmp_path / f"state-{store.life}.log").unlink()
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        found = Store(tmp_path, MOST).open()
        assert list(found.records.items()) == list(states[0].items())[: len(found.records)]
        assert len(found.notes) == 1  # told in one line


def test_a_flipped_bit_anywhere_never_brings_in_what_was_not_there(tmp_path: Path) -> None:
    states, store = written(tmp_path)
    known = {item for each in states for item in each.items()}
    for kind in ("snap", "log"):
        path = tmp_path / f"state-{store.life}.{kind}"
        whole = path.read_bytes()
        for at in range(len(whole)):
            path.write_bytes(whole[:at] + bytes([whole[at] ^ (1 << at % 8)]) + whole[at + 1 :])
            found = Store(tmp_path, MOST).open()
            assert set(found.records.items()) <= known and found.notes
        path.write_bytes(whole)


@given(st.binary(max_size=300), st.binary(max_size=300))
def test_any_files_are_read_or_refused(
    tmp_path_factory: pytest.TempPathFactory, one: bytes, two: bytes
) -> None:
    folder = tmp_path_factory.mktemp("any")
    (folder / "state-3.snap").write_bytes(one)
    (folder / "state-3.log").write_bytes(two)
    assert Store(folder, MOST).open().records == {}
    shutil.rmtree(folder)


def test_another_version_or_layout_is_refused_and_an_older_life_is_taken(tmp_path: Path) -> None:
    states, store = written(tmp_path)
    newer = snapshot.pack([msgpack.packb([9, 1])])
    (tmp_path / "state-9.snap").write_bytes(newer[:9] + b"\x63" + newer[10:])
    found = Store(tmp_path, MOST).open()
    assert found.records == states[-1] and "version" in found.notes[0]
    (tmp_path / "state-9.snap").write_bytes(snapshot.pack([b"junk"]))
    assert Store(tmp_path, MOST).open().records == states[-1]
    assert store.life == 1


def test_of_two_processes_the_older_writes_no_more_once_the_newer_did(tmp_path: Path) -> None:
    older = fresh(tmp_path)
    older.put("usual", b"old")
    older.flush()
    newer = fresh(tmp_path)
    assert newer.records() == {"usual": b"old"}
    newer.put("usual", b"new")
    newer.flush()
    older.put("usual", b"late")
    older.flush()
    assert older.outlived and Store(tmp_path, MOST).open().records == {"usual": b"new"}


def test_a_full_disk_raises_and_the_next_flush_makes_good(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    states, store = written(tmp_path)

    def full(_: int) -> None:
        raise OSError(errno.ENOSPC, "no space left")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", full)
        store.put("usual", b"later")
        with pytest.raises(OSError):
            store.flush()
    store.flush()
    assert Store(tmp_path, MOST).open().records == states[-1] | {"usual": b"later"}


def test_a_disk_that_says_no_is_logged_once_and_then_made_good(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    stage = Stage()
    stage.servers(["s-1", "s-2"])
    stage.serve(10)
    keeper = StatePersister(Store(tmp_path, MOST))
    keeper.restore()

    def full(_: int) -> None:
        raise OSError(errno.ENOSPC, "no space left")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", full)
        for _ in range(5):
            keeper.persist(stage.balancer, stage.now, None, None)
    assert [each.levelname for each in caplog.records].count("ERROR") == 1
    keeper.persist(stage.balancer, stage.now, None, None)
    assert set(StatePersister(Store(tmp_path, MOST)).restore().learned.servers) == {"s-1", "s-2"}


def test_what_is_kept_is_bounded_and_the_log_is_folded(tmp_path: Path) -> None:
    store = Store(tmp_path, 64 * 1024)
    store.open()
    for number in range(3000):
        store.put(f"server/{number % 700}", bytes([number % 251]) * 64)
        if number % 10 == 0:
            store.flush()
    store.flush()
    assert store.evicted > 0 and sum(each.stat().st_size for each in tmp_path.iterdir()) <= 80 * 1024
    assert Store(tmp_path, 64 * 1024).open().records == store.records()


def test_the_tiers_snapshot_is_that_of_the_highest_token(tmp_path: Path) -> None:
    assert tier.read(tmp_path / "none", MOST) == (0, {}, [])
    assert tier.write(tmp_path, 4, {"usual": b"a"})
    assert tier.write(tmp_path, 6, {"usual": b"b"})
    assert not tier.write(tmp_path, 5, {"usual": b"stale"})  # a holder that woke too late
    assert tier.read(tmp_path, MOST) == (6, {"usual": b"b"}, [])
    (tmp_path / "tier-9.snap").write_bytes(b"junk that is long enough")
    token, records, notes = tier.read(tmp_path, MOST)
    assert (token, records, len(notes)) == (6, {"usual": b"b"}, 1)
