"""Processes, started as deployments start them, send the same requests and responses as the golden files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from golden_cases import DATA, load_golden
from golden_processes import simulate
from golden_scenes import admin_scenario, discovery_scenario, proxy_scenario, relay_scenario


@pytest.fixture(scope="module")
def admin(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """Return the responses of the admin API, by call."""
    return admin_scenario(tmp_path_factory.mktemp("admin"))


@pytest.fixture(scope="module")
def relayed(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """Return the requests and responses of a relay."""
    return relay_scenario(tmp_path_factory.mktemp("relay"))


@pytest.fixture(scope="module")
def proxied(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """Return the requests to the server and the responses to the client, by name."""
    return proxy_scenario(tmp_path_factory.mktemp("proxy"))


@pytest.mark.parametrize("call", load_golden("admin.json"))
def test_a_call_of_the_admin_api_gets_the_same_response(call: str, admin: Any) -> None:
    assert admin[call] == load_golden("admin.json")[call]


def test_the_calls_to_discovery_are_the_same(tmp_path: Path) -> None:
    assert discovery_scenario(tmp_path) == load_golden("discovery.json")


@pytest.mark.parametrize("name", load_golden("relay.json"))
def test_a_relays_requests_and_responses_have_the_same_bytes(name: str, relayed: Any) -> None:
    assert relayed[name] == load_golden("relay.json")[name]


@pytest.mark.parametrize("name", load_golden("proxy.json"))
def test_a_request_reaches_the_server_in_the_same_bytes(name: str, proxied: Any) -> None:
    assert proxied[name][0] == load_golden("proxy.json")[name][0]


@pytest.mark.parametrize("name", load_golden("proxy.json"))
def test_a_response_reaches_the_client_in_the_same_bytes(name: str, proxied: Any) -> None:
    assert proxied[name][1] == load_golden("proxy.json")[name][1]


# The simulator's protocol


def without_remarks(lines: list[str]) -> list[str]:
    """Return reply lines with each REMARK reduced to its name and instance."""
    return [json.dumps(json.loads(each)[:2]) if each.startswith('["REMARK"') else each for each in lines]


def test_the_simulators_batches_have_the_same_replies() -> None:
    batches = (DATA / "simulator.in").read_text("utf-8").splitlines()
    expected = (DATA / "simulator.out").read_text("utf-8").splitlines()
    code, replies = simulate(batches)
    assert code == 0
    assert without_remarks(replies) == without_remarks(expected)


@pytest.mark.parametrize(
    "name",
    "FRAME BEGIN EXIT PAGE TARGETS WORK_ITEM FIRST ATTEMPT_END CLIENT_GONE WAKE SAMPLED MEMO COMMIT".split(),
)
def test_the_simulators_batches_hold_each_kind_of_message(name: str) -> None:
    assert f'["{name}"' in (DATA / "simulator.in").read_text("utf-8")


@pytest.mark.parametrize("name", "ASSIGN NOT_NOW SURRENDER ABORT_ATTEMPT REMIND FOLLOW REMARK DONE".split())
def test_the_replies_hold_each_common_kind_of_action(name: str) -> None:
    assert f'["{name}"' in (DATA / "simulator.out").read_text("utf-8")
