"""Stored data and datagrams: read and written as golden files have them, byte for byte."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import golden_subjects as subjects
import pytest
from golden_cases import DATA, DATAGRAMS, LIST, ORDERS, SETTINGS, TOKEN, files, golden


def given(name: str, tmp_path: Path) -> Path:
    """A copy of a golden folder."""
    copy = tmp_path / name
    shutil.copytree(DATA / name, copy)
    return copy


def as_json(value: Any) -> Any:
    return json.loads(json.dumps(value))


# State


def records(told: dict[str, str]) -> list[tuple[str, bytes]]:
    return [(key, bytes.fromhex(value)) for key, value in told.items()]


@pytest.mark.parametrize("name", ["state", "state_cut"])
def test_a_state_folder_gives_the_records_that_were_written(name: str, tmp_path: Path) -> None:
    told = golden("state.json")[name]
    found, notes = subjects.read_store(given(name, tmp_path))
    assert list(found.items()) == records(told["records"])
    assert notes == told["notes"] == (name == "state_cut")


def test_the_same_changes_give_the_same_state_folder(tmp_path: Path) -> None:
    changes = golden("state.json")["flushes"]
    flushes = [
        [(key, bytes.fromhex(value) if value is not None else None) for key, value in each]
        for each in changes
    ]
    subjects.write_store(tmp_path / "state", flushes)
    assert files(tmp_path / "state") == files(DATA / "state")


@pytest.mark.parametrize(
    ("name", "key"), [("state", "recalled"), ("state_cut", "recalled from the cut log")], ids=["whole", "cut"]
)
def test_a_start_takes_the_same_from_a_state_folder(name: str, key: str, tmp_path: Path) -> None:
    assert as_json(subjects.recalled(given(name, tmp_path))) == golden("state.json")[key]


def test_a_start_takes_the_same_from_the_shared_snapshot(tmp_path: Path) -> None:
    told = subjects.recalled(tmp_path / "none", given("shared", tmp_path))
    assert as_json(told) == golden("state.json")["recalled from the shared snapshot"]


def test_what_was_recalled_is_kept_again_in_the_same_records(tmp_path: Path) -> None:
    subjects.keep_again(given("state", tmp_path), tmp_path / "again", SETTINGS, LIST)
    found, _ = subjects.read_store(tmp_path / "again")
    assert list(found.items()) == records(golden("state.json")["kept again"])


def test_the_shared_snapshot_gives_its_token_and_records(tmp_path: Path) -> None:
    token, found, notes = subjects.read_shared_snapshot(given("shared", tmp_path))
    assert (token, notes) == (TOKEN, 0)
    assert list(found.items()) == records(golden("state.json")["state"]["records"])


def test_the_same_records_give_the_same_shared_snapshot(tmp_path: Path) -> None:
    held = dict(records(golden("state.json")["state"]["records"]))
    assert subjects.write_shared_snapshot(tmp_path / "shared", TOKEN, held)
    assert files(tmp_path / "shared") == files(DATA / "shared")


# Orders


def test_a_folder_of_orders_is_read(tmp_path: Path) -> None:
    told = subjects.read_orders(given("orders", tmp_path))
    assert told == (ORDERS["excluded"], ORDERS["zones"], ORDERS["evacuated"])


def test_the_same_orders_give_the_same_files(tmp_path: Path) -> None:
    subjects.write_orders(tmp_path, **ORDERS)
    assert files(tmp_path) == files(DATA / "orders")


# Datagrams


def test_the_golden_datagrams_are_those_of_the_cases() -> None:
    assert list(golden("datagrams.json")) == list(DATAGRAMS)


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_decoded_to_the_same_values(name: str) -> None:
    told = golden("datagrams.json")[name]
    assert as_json(subjects.read_datagram(bytes.fromhex(told["bytes"]))[0]) == told["values"]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_decoded_datagram_is_encoded_to_the_same_bytes(name: str) -> None:
    data = bytes.fromhex(golden("datagrams.json")[name]["bytes"])
    assert subjects.read_datagram(data)[1] == data


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_message_is_encoded_to_the_same_bytes(name: str) -> None:
    assert subjects.build_datagram(*DATAGRAMS[name]).hex() == golden("datagrams.json")[name]["bytes"]
