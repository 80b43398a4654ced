"""Operator overrides on disk."""

from __future__ import annotations

from pathlib import Path

import pytest

from sidecar_balancer.admin.overrides import OperatorOverrides

NAMES = ["s-0", "../../up", "10.1.0.18:8443", "ñandú %2F", "."]


@pytest.fixture
def overrides(tmp_path: Path) -> OperatorOverrides:
    return OperatorOverrides(tmp_path)


def test_an_empty_folder_holds_no_overrides(overrides: OperatorOverrides) -> None:
    assert overrides.load() == (frozenset(), False)
    assert overrides.zone_overrides() == {}


@pytest.mark.parametrize("server", NAMES)
def test_a_server_of_any_name_can_be_disabled_and_enabled_repeatedly(
    overrides: OperatorOverrides, server: str, tmp_path: Path
) -> None:
    for _ in range(2):
        overrides.disable_server(server)
    assert overrides.load() == (frozenset([server]), False)
    assert [path.parent for path in (tmp_path / "excluded").iterdir()] == [tmp_path / "excluded"]
    for _ in range(2):
        overrides.enable_server(server)
    assert overrides.load() == (frozenset(), False)


@pytest.mark.parametrize("zone", NAMES)
def test_the_last_override_of_a_zone_replaces_earlier_ones(overrides: OperatorOverrides, zone: str) -> None:
    overrides.set_zone_override(zone, "drain")
    overrides.set_zone_override(zone, "pin")
    assert overrides.zone_overrides() == {zone: "pin"}
    overrides.set_zone_override(zone, None)
    assert overrides.zone_overrides() == {}


def test_a_drain_can_be_started_and_ended_repeatedly(overrides: OperatorOverrides) -> None:
    for _ in range(2):
        overrides.start_drain()
    assert overrides.load() == (frozenset(), True)
    for _ in range(2):
        overrides.end_drain()
    assert overrides.load() == (frozenset(), False)
