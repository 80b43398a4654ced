"""A file that processes share: each has a region of its own."""

from __future__ import annotations

from pathlib import Path

import pytest

from sidecar_balancer.runtime.shared_file import MAX_REGIONS, NoFreeRegionError, SharedFile

REGION_BYTES = 64


def open_file(folder: Path) -> SharedFile:
    return SharedFile(folder / "shared", REGION_BYTES)


def test_what_one_process_writes_is_read_by_the_others_alone(tmp_path: Path) -> None:
    files = [open_file(tmp_path) for _ in range(MAX_REGIONS)]
    for number, file in enumerate(files):
        file.own[:] = bytes([number + 1]) * REGION_BYTES
    for number, file in enumerate(files):
        seen = {region[0] for region in file.others()}
        assert seen == set(range(1, MAX_REGIONS + 1)) - {number + 1}


def test_a_process_without_others_reads_no_region(tmp_path: Path) -> None:
    assert open_file(tmp_path).others() == []


def test_the_region_of_a_process_that_ended_is_taken_over_with_its_content(tmp_path: Path) -> None:
    first, second = open_file(tmp_path), open_file(tmp_path)
    first.own[:3] = b"abc"
    first.close()
    assert bytes(second.others()[0][:3]) == b"abc"
    assert bytes(open_file(tmp_path).own[:3]) == b"abc"


def test_one_process_too_many_gets_no_region(tmp_path: Path) -> None:
    files = [open_file(tmp_path) for _ in range(MAX_REGIONS)]
    with pytest.raises(NoFreeRegionError):
        open_file(tmp_path)
    files[2].close()
    open_file(tmp_path)


def test_only_regions_with_an_owner_take_space(tmp_path: Path) -> None:
    large = 1024 * 1024
    SharedFile(tmp_path / "shared", large)
    assert large <= (tmp_path / "shared").stat().st_blocks * 512 < 2 * large
