"""Stored data and datagrams are read and written as in the golden files, byte for byte."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import golden_subjects as subjects
import pytest
from golden_cases import (
    DATA,
    DATAGRAMS,
    ENDPOINT_LIST,
    OVERRIDES,
    SETTINGS,
    SNAPSHOT_TOKEN,
    files,
    load_golden,
)


def copy_golden_folder(name: str, tmp_path: Path) -> Path:
    """Return a copy of a golden folder."""
    copy = tmp_path / name
    shutil.copytree(DATA / name, copy)
    return copy


def as_json(value: Any) -> Any:
    return json.loads(json.dumps(value))


# State


def decode_records(records_as_hex: dict[str, str]) -> list[tuple[str, bytes]]:
    return [(key, bytes.fromhex(value)) for key, value in records_as_hex.items()]


@pytest.mark.parametrize("name", ["state", "state_cut"])
def test_a_state_folder_is_read_to_the_records_that_were_written(name: str, tmp_path: Path) -> None:
    golden = load_golden("state.json")[name]
    found, warnings = subjects.read_store(copy_golden_folder(name, tmp_path))
    assert list(found.items()) == decode_records(golden["records"])
    assert warnings == golden["notes"] == (name == "state_cut")


def test_the_same_changes_give_the_same_state_folder(tmp_path: Path) -> None:
    changes = load_golden("state.json")["flushes"]
    flushes = [
        [(key, bytes.fromhex(value) if value is not None else None) for key, value in each]
        for each in changes
    ]
    subjects.write_store(tmp_path / "state", flushes)
    assert files(tmp_path / "state") == files(DATA / "state")


@pytest.mark.parametrize(
    ("name", "key"), [("state", "recalled"), ("state_cut", "recalled from the cut log")], ids=["whole", "cut"]
)
def test_a_start_restores_the_same_state_from_a_state_folder(name: str, key: str, tmp_path: Path) -> None:
    assert as_json(subjects.restore(copy_golden_folder(name, tmp_path))) == load_golden("state.json")[key]


def test_a_start_restores_the_same_state_from_the_tier_snapshot(tmp_path: Path) -> None:
    restored = subjects.restore(tmp_path / "none", copy_golden_folder("shared", tmp_path))
    assert as_json(restored) == load_golden("state.json")["recalled from the shared snapshot"]


def test_restored_state_is_persisted_in_the_same_records(tmp_path: Path) -> None:
    subjects.restore_and_persist(
        copy_golden_folder("state", tmp_path), tmp_path / "again", SETTINGS, ENDPOINT_LIST
    )
    found, _ = subjects.read_store(tmp_path / "again")
    assert list(found.items()) == decode_records(load_golden("state.json")["kept again"])


def test_the_tier_snapshot_is_read_to_its_token_and_records(tmp_path: Path) -> None:
    token, found, warnings = subjects.read_tier_snapshot(copy_golden_folder("shared", tmp_path))
    assert (token, warnings) == (SNAPSHOT_TOKEN, 0)
    assert list(found.items()) == decode_records(load_golden("state.json")["state"]["records"])


def test_the_same_records_give_the_same_tier_snapshot(tmp_path: Path) -> None:
    golden_records = dict(decode_records(load_golden("state.json")["state"]["records"]))
    assert subjects.write_tier_snapshot(tmp_path / "shared", SNAPSHOT_TOKEN, golden_records)
    assert files(tmp_path / "shared") == files(DATA / "shared")


# Operator overrides


def test_a_folder_of_overrides_is_read(tmp_path: Path) -> None:
    overrides = subjects.read_overrides(copy_golden_folder("orders", tmp_path))
    assert overrides == (OVERRIDES["excluded"], OVERRIDES["zones"], OVERRIDES["evacuated"])


def test_the_same_overrides_give_the_same_files(tmp_path: Path) -> None:
    subjects.write_overrides(tmp_path, **OVERRIDES)
    assert files(tmp_path) == files(DATA / "orders")


# Datagrams


def test_the_golden_datagrams_are_those_of_the_cases() -> None:
    assert list(load_golden("datagrams.json")) == list(DATAGRAMS)


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_decoded_to_the_same_values(name: str) -> None:
    golden = load_golden("datagrams.json")[name]
    assert as_json(subjects.read_datagram(bytes.fromhex(golden["bytes"]))[0]) == golden["values"]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_decoded_datagram_is_encoded_to_the_same_bytes(name: str) -> None:
    data = bytes.fromhex(load_golden("datagrams.json")[name]["bytes"])
    assert subjects.read_datagram(data)[1] == data


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_message_is_encoded_to_the_same_bytes(name: str) -> None:
    assert subjects.build_datagram(*DATAGRAMS[name]).hex() == load_golden("datagrams.json")[name]["bytes"]
