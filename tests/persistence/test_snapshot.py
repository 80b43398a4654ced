"""Snapshot files: complete files are read, truncated ones in part, foreign or damaged ones are rejected."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence.snapshot import SnapshotError

RECORDS = [b"incarnation 7", b"", b"x" * 300, bytes(range(256))]
PACKED = snapshot.pack(RECORDS)
MAX_BYTES = 1 << 16


def test_a_written_snapshot_is_read_back(tmp_path: Path) -> None:
    snapshot.write(tmp_path / "s", RECORDS)
    content = snapshot.load(tmp_path / "s", MAX_BYTES)
    assert content.records == RECORDS
    assert content.is_complete


def test_a_write_leaves_no_temporary_file(tmp_path: Path) -> None:
    snapshot.write(tmp_path / "s", RECORDS)
    assert not (tmp_path / "s.new").exists()


def test_a_missing_file_reads_as_a_complete_snapshot_without_records(tmp_path: Path) -> None:
    assert snapshot.load(tmp_path / "none", 10) == snapshot.SnapshotContent([], True, 0)


def test_a_file_truncated_at_any_byte_yields_its_first_records() -> None:
    for length in range(len(PACKED)):
        content = snapshot.unpack(PACKED[:length])
        assert not content.is_complete
        assert content.records == RECORDS[: len(content.records)]
    assert snapshot.unpack(PACKED).is_complete


def test_a_flipped_bit_anywhere_is_never_read_as_complete() -> None:
    for offset in range(len(PACKED)):
        for bit in (0, 3, 7):
            damaged = bytearray(PACKED)
            damaged[offset] ^= 1 << bit
            try:
                content = snapshot.unpack(bytes(damaged))
            except SnapshotError:
                continue
            assert not content.is_complete
            assert content.records == RECORDS[: len(content.records)]


@pytest.mark.parametrize(
    "data",
    [
        snapshot.MAGIC + (0).to_bytes(2, "big") + PACKED[10:],
        b"PK\x03\x04" + PACKED[4:],
        b"{}" * 20,
    ],
    ids=["another version", "another magic", "JSON"],
)
def test_a_file_of_another_format_is_rejected(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        snapshot.unpack(data)


def test_a_file_over_the_size_limit_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "big").write_bytes(PACKED)
    with pytest.raises(SnapshotError):
        snapshot.load(tmp_path / "big", len(PACKED) - 1)


@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(0, 400), st.binary(max_size=8))
def test_a_file_truncated_and_extended_by_any_bytes_yields_its_first_records_or_is_rejected(
    records: list[bytes], length: int, tail: bytes
) -> None:
    data = snapshot.pack(records)[:length] + tail
    try:
        content = snapshot.unpack(data)
    except SnapshotError:
        return
    assert content.records == records[: len(content.records)]


def test_a_failed_write_raises_and_keeps_the_old_snapshot(tmp_path: Path) -> None:
    snapshot.write(tmp_path / "s", RECORDS)
    (tmp_path / "s.new").mkdir()  # the temporary file cannot be created
    with pytest.raises(IsADirectoryError):
        snapshot.write(tmp_path / "s", [b"new"])
    assert snapshot.load(tmp_path / "s", MAX_BYTES).records == RECORDS
