"""The simulator adapter: accepted input, error reports, and independence of instances."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar_balancer.config.wire_names import settings_from_wire
from sidecar_balancer.simulator.__main__ import run

SETTINGS: dict[str, Any] = {
    "bounds": {"sendCap": 3, "secondCopies": True, "mayCancel": True, "streamsPerConn": 1},
    "discovery": "on_request",
    "guarantees": {"askWithinUs": 10_000_000, "coldFrom": 0.3, "coldUs": 8_000_000},
    "lanes": [
        {
            "name": "look",
            "giveUpUs": 2_000_000,
            "promiseUs": 500_000,
            "repeat": "read_like",
            "group": "all",
        }
    ],
    "report": {"source": "piggyback", "columns": ["util"]},
    "something_new": [1, 2],
}
PAGE = [
    "PAGE",
    0,
    [["10.0.0.1:80", "east", "box", 0, "ready", 1, None], ["10.0.0.2:80", "east", "box", 0, "ready", 1]],
]


def start_instance(instance: str = "sidecar-1", settings: Any = None) -> list[list[Any]]:
    return [
        ["BEGIN", instance, 7, SETTINGS if settings is None else settings],
        PAGE,
        ["TARGETS", instance, "cached", 0, 1],
    ]


def run_batches(*batches: list[list[Any]]) -> tuple[int, list[list[Any]], str]:
    lines = []
    for index, batch in enumerate(batches):
        lines += [["FRAME", 1_000_000 + 5_000 * index], *batch, ["COMMIT"]]
    return run_text("".join(json.dumps(each) + "\n" for each in lines))


def run_text(text: str) -> tuple[int, list[list[Any]], str]:
    out, err = io.StringIO(), io.StringIO()
    code = run(io.StringIO(text), out, err)
    return code, [json.loads(each) for each in out.getvalue().splitlines()], err.getvalue()


def test_empty_batch_is_acknowledged() -> None:
    assert run_batches([]) == (0, [["DONE"]], "")


def test_request_is_sent_to_a_listed_server() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", 0, None, 900_000, 12_000, 1, "a field to come"]
    code, reply, _ = run_batches(start_instance(), [work])
    sends = [each for each in reply if each[0] == "ASSIGN"]
    assert code == 0
    assert len(sends) == 1
    assert sends[0][1:3] == ["sidecar-1", 5]
    assert sends[0][3] in ("10.0.0.1:80", "10.0.0.2:80")


def test_restarted_instance_has_no_state_of_its_predecessor() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", None, None, 900_000, None, 0]
    end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", "delivered", 100, True, {"util": 0.5}]
    wake = ["WAKE", "sidecar-1", "agenda"]
    code, reply, _ = run_batches(
        start_instance(), [wake, work, ["EXIT", "sidecar-1"], *start_instance()], [end, wake]
    )
    assert code == 0
    assert [each[0] for each in reply].count("FOLLOW") == 2


def test_list_number_can_be_reused_within_a_batch() -> None:
    other = ["PAGE", 0, [["10.0.0.9:80", "east", "box", 0, "ready", 1, None]]]
    work = [["WORK_ITEM", f"sidecar-{n}", n, "look", None, None, 900_000, None, 0] for n in (1, 2)]
    batch = [
        *start_instance(),
        ["BEGIN", "sidecar-2", 8, SETTINGS],
        other,
        ["TARGETS", "sidecar-2", "cached", 0, 1],
        *work,
    ]
    _, reply, _ = run_batches(batch)
    targets = {each[1]: each[3] for each in reply if each[0] == "ASSIGN"}
    assert targets["sidecar-2"] == "10.0.0.9:80"
    assert targets["sidecar-1"] != "10.0.0.9:80"


@pytest.mark.parametrize(
    ("line", "expected_error"),
    [
        ("nonsense", "not valid JSON"),
        ("[" * 100_000, "not valid JSON"),
        ("{}", "array"),
        ("[]", "array"),
        ('["NEWS","sidecar-1"]', "unknown message"),
        ('["FRAME"]', "inside a batch"),
        ('["WORK_ITEM","sidecar-1",5]', "expected at least 8 values"),
        ('["WAKE","sidecar-9","x"]', "unknown instance"),
        ('["CLIENT_GONE","sidecar-1","five"]', "expected an integer"),
        ('["TARGETS","sidecar-1","rumour",0,1]', "unknown value"),
        ('["TARGETS","sidecar-1","full",9,1]', "unknown list"),
        ('["ATTEMPT_END","sidecar-1",5,0,"a:1","lost",1,true,null]', "unknown value"),
        ('["PAGE",0,[["a:1"]]]', "at least 6"),
        ('["MEMO","sidecar-1",0,"xyz"]', "hex"),
        ('["BEGIN","sidecar-2",1,{"lanes":[]}]', "classes"),
        ('["BEGIN","sidecar-2",1,{"lanes":[{"name":"a","giveUpUs":-1}]}]', "classes[0].deadline_us"),
    ],
)
def test_invalid_input_ends_the_run_with_its_line_number(line: str, expected_error: str) -> None:
    good = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *start_instance()))
    code, _, err = run_text(good + line + "\n")
    assert code != 0
    assert err.startswith("line 5: ")
    assert expected_error in err
    assert err.count("\n") == 1


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(
            st.text(max_size=30),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                lambda inner: (
                    st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
                ),
            ).map(json.dumps),
            st.tuples(
                st.sampled_from(
                    ["WORK_ITEM", "ATTEMPT_END", "TARGETS", "PAGE", "BEGIN", "WAKE", "FIRST", "SAMPLED"]
                ),
                st.lists(
                    st.sampled_from(
                        ["sidecar-1", "look", "full", "delivered", 0, 1, -5, 2**70, None, True, 1.5, {}, []]
                    ),
                    max_size=9,
                ),
            ).map(lambda each: json.dumps([each[0], *each[1]])),
        ),
        max_size=5,
    )
)
def test_arbitrary_input_never_raises(lines: list[str]) -> None:
    start = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *start_instance()))
    body = "".join(each.replace("\n", " ").replace("\r", " ") + "\n" for each in lines)
    code, _, err = run_text(start + body + '["COMMIT"]\n')
    assert (code == 0) == (err == "")


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    script = [["FRAME", 1_000_000], *start_instance(), ["COMMIT"]]
    for number in range(60):
        work = ["WORK_ITEM", "sidecar-1", number, "look", None, None, 900_000, None, 0]
        script += [["FRAME", 1_000_000 + 5_000 * number], work, ["COMMIT"]]
    text = "".join(json.dumps(each) + "\n" for each in script)
    replies = [
        subprocess.run(
            [sys.executable, "-m", "sidecar_balancer.simulator"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent.parent,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert replies[0] == replies[1]
    assert replies[0].count("ASSIGN") == 60


def test_optional_rules_and_prices_are_read_into_the_settings() -> None:
    read = settings_from_wire(
        {
            **SETTINGS,
            "guarantees": {"lateShedding": True},
            "prices": {"connection": 0.08, "handshake": 0.07, "lateFail": 0.05},
            "domain": {"warmKeys": True, "passesDeadline": True},
            "clientHabits": {"marksRetry": True},
            "goal": {"whole": 1.0},
        }
    )
    assert read.warm_keys
    assert read.rules.late_shedding
    assert (read.prices.connection, read.prices.handshake) == (0.08, 0.07)
    plain = settings_from_wire(SETTINGS)
    assert not plain.warm_keys
    assert not plain.rules.late_shedding


@pytest.mark.parametrize(
    ("section", "key"),
    [
        ({"guarantees": {"lateShedding": "yes"}}, "late_shedding"),
        ({"guarantees": {"drainGraceUs": -1}}, "drain_grace_us"),
        ({"domain": {"warmKeys": 3}}, "warm_keys"),
    ],
)
def test_invalid_optional_rules_are_rejected_by_their_key(section: dict[str, Any], key: str) -> None:
    code, _, err = run_batches(start_instance(settings={**SETTINGS, **section}))
    assert code == 2
    assert key in err
    assert err.count("\n") == 1
