"""Tier snapshots: the file with the highest fencing token is valid."""

from __future__ import annotations

from pathlib import Path

from sidecar_balancer.persistence import tier_snapshot

MAX_BYTES = 1 << 20


def test_a_missing_folder_holds_no_snapshot(tmp_path: Path) -> None:
    assert tier_snapshot.read(tmp_path / "none", MAX_BYTES) == (0, {}, [])


def test_a_lease_holder_with_an_older_token_writes_nothing(tmp_path: Path) -> None:
    assert tier_snapshot.write(tmp_path, 4, {"usual": b"a"})
    assert tier_snapshot.write(tmp_path, 6, {"usual": b"b"})
    assert not tier_snapshot.write(tmp_path, 5, {"usual": b"stale"})
    assert tier_snapshot.read(tmp_path, MAX_BYTES) == (6, {"usual": b"b"}, [])


def test_a_damaged_file_is_reported_and_the_next_highest_token_is_used(tmp_path: Path) -> None:
    assert tier_snapshot.write(tmp_path, 6, {"usual": b"b"})
    (tmp_path / "tier-9.snap").write_bytes(b"junk that is long enough")
    content = tier_snapshot.read(tmp_path, MAX_BYTES)
    assert (content.token, content.records, len(content.warnings)) == (6, {"usual": b"b"}, 1)
