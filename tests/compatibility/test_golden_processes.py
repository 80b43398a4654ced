"""Processes, as deployments start them: what they answer and ask is what the golden files have."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from golden_cases import DATA, golden
from golden_processes import simulate
from golden_scenes import admin_scene, discovery_scene, proxy_scene, relay_scene


@pytest.fixture(scope="module")
def admin(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """The answers of the admin API, by call."""
    return admin_scene(tmp_path_factory.mktemp("admin"))


@pytest.fixture(scope="module")
def relayed(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """What a relay asks and answers."""
    return relay_scene(tmp_path_factory.mktemp("relay"))


@pytest.fixture(scope="module")
def proxied(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """Requests to the server and answers to the client, by name."""
    return proxy_scene(tmp_path_factory.mktemp("proxy"))


@pytest.mark.parametrize("call", golden("admin.json"))
def test_a_call_of_the_admin_api_has_the_same_answer(call: str, admin: Any) -> None:
    assert admin[call] == golden("admin.json")[call]


def test_the_calls_of_discovery_are_the_same(tmp_path: Path) -> None:
    assert discovery_scene(tmp_path) == golden("discovery.json")


@pytest.mark.parametrize("name", golden("relay.json"))
def test_a_relay_asks_and_answers_in_the_same_bytes(name: str, relayed: Any) -> None:
    assert relayed[name] == golden("relay.json")[name]


@pytest.mark.parametrize("name", golden("proxy.json"))
def test_a_request_leaves_for_the_server_in_the_same_bytes(name: str, proxied: Any) -> None:
    assert proxied[name][0] == golden("proxy.json")[name][0]


@pytest.mark.parametrize("name", golden("proxy.json"))
def test_an_answer_leaves_for_the_client_in_the_same_bytes(name: str, proxied: Any) -> None:
    assert proxied[name][1] == golden("proxy.json")[name][1]


# The simulator's wire


def without_remarks(lines: list[str]) -> list[str]:
    """Reply lines; of a REMARK only that it came and for whom."""
    return [json.dumps(json.loads(each)[:2]) if each.startswith('["REMARK"') else each for each in lines]


def test_the_simulators_batches_have_the_same_replies() -> None:
    given = (DATA / "simulator.in").read_text("utf-8").splitlines()
    expected = (DATA / "simulator.out").read_text("utf-8").splitlines()
    code, told = simulate(given)
    assert code == 0
    assert without_remarks(told) == without_remarks(expected)


@pytest.mark.parametrize(
    "name",
    "FRAME BEGIN EXIT PAGE TARGETS WORK_ITEM FIRST ATTEMPT_END CLIENT_GONE WAKE SAMPLED MEMO COMMIT".split(),
)
def test_the_simulators_batches_hold_each_kind_of_message(name: str) -> None:
    assert f'["{name}"' in (DATA / "simulator.in").read_text("utf-8")


@pytest.mark.parametrize("name", "ASSIGN NOT_NOW SURRENDER ABORT_ATTEMPT REMIND FOLLOW REMARK DONE".split())
def test_the_replies_hold_each_common_kind_of_action(name: str) -> None:
    assert f'["{name}"' in (DATA / "simulator.out").read_text("utf-8")
