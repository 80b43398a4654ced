"""Snapshots: what is whole is taken, a torn tail is cut, what is foreign or damaged is never taken."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence.snapshot import SnapshotError

RECORDS = [b"incarnation 7", b"", b"x" * 300, bytes(range(256))]
WHOLE = snapshot.pack(RECORDS)


def test_a_snapshot_comes_back_whole(tmp_path: Path) -> None:
    snapshot.write(tmp_path / "s", RECORDS)
    back = snapshot.load(tmp_path / "s", 1 << 16)
    assert back.records == RECORDS and back.whole and not (tmp_path / "s.new").exists()
    assert snapshot.load(tmp_path / "none", 10) == snapshot.Read([], True, 0)


def test_a_file_torn_at_any_byte_keeps_a_prefix_and_says_so() -> None:
    for offset in range(len(WHOLE)):
        back = snapshot.read(WHOLE[:offset])
        assert not back.whole and back.records == RECORDS[: len(back.records)]
    assert snapshot.read(WHOLE).whole


def test_a_flipped_bit_anywhere_is_never_taken_as_good() -> None:
    for at in range(len(WHOLE)):
        for bit in (0, 3, 7):
            bad = bytearray(WHOLE)
            bad[at] ^= 1 << bit
            try:
                back = snapshot.read(bytes(bad))
            except SnapshotError:
                continue
            assert not back.whole and back.records == RECORDS[: len(back.records)]


def test_another_version_or_a_stranger_is_refused(tmp_path: Path) -> None:
    older = snapshot.MAGIC + (0).to_bytes(2, "big") + WHOLE[10:]
    for bad in (older, b"PK\x03\x04" + WHOLE[4:], b"{}" * 20):
        with pytest.raises(SnapshotError):
            snapshot.read(bad)
    (tmp_path / "big").write_bytes(WHOLE)
    with pytest.raises(SnapshotError):
        snapshot.load(tmp_path / "big", len(WHOLE) - 1)


@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(0, 400), st.binary(max_size=8))
def test_any_cut_and_tail_gives_a_prefix_or_a_refusal(records: list[bytes], cut: int, tail: bytes) -> None:
    data = snapshot.pack(records)[:cut] + tail
    try:
        back = snapshot.read(data)
    except SnapshotError:
        return
    assert back.records == records[: len(back.records)]


def test_a_disk_that_says_no_raises_and_leaves_the_old(tmp_path: Path) -> None:
    snapshot.write(tmp_path / "s", RECORDS)
    (tmp_path / "s.new").mkdir()  # the temporary file can't be made
    with pytest.raises(OSError):
        snapshot.write(tmp_path / "s", [b"new"])
    assert snapshot.load(tmp_path / "s", 1 << 16).records == RECORDS
