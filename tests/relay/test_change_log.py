"""The change log: deltas from any known state lead to the current list, within bounds."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from registry import entry
from sidecar_balancer.discovery.endpoint_list import EndpointList, ListUpdate, parse_list
from sidecar_balancer.relay.change_log import ChangeLog


def update(index: int, *entries: dict[str, Any], snapshot: bool = False) -> ListUpdate:
    return parse_list({"index": index, "snapshot": snapshot, "endpoints": list(entries)})


def list_of(body: bytes) -> EndpointList:
    """Return the list that a snapshot contains."""
    endpoints = EndpointList()
    endpoints.apply(parse_list(json.loads(body)))
    return endpoints


def entries_after(body: bytes, base: EndpointList | None = None) -> dict[str, Any]:
    """Return the entries, by name, after a body is applied to a base list."""
    endpoints = base or EndpointList()
    endpoints.apply(parse_list(json.loads(body)))
    return {member["name"]: member for member in endpoints.snapshot()["endpoints"]}


CHANGES = st.lists(
    st.tuples(st.sampled_from("abcd"), st.sampled_from(["active", "leaving", "left"]), st.booleans()),
    max_size=12,
)


@given(CHANGES, st.integers(0, 12))
def test_a_delta_from_any_known_state_leads_to_the_current_list(
    steps: list[tuple[str, str, bool]], base_step: int
) -> None:
    log = ChangeLog()
    log.apply(update(1, entry("a"), entry("z"), snapshot=True))
    base, tag = list_of(log.snapshot()), log.tag
    for number, (name, status, snapshot) in enumerate(steps):
        if number == base_step:
            base, tag = list_of(log.snapshot()), log.tag
        log.apply(update(2 + number, entry(name, status=status), snapshot=snapshot and status != "left"))
    revision = log.revision_of(tag, None)
    assert revision is not None
    assert entries_after(log.delta(revision), base) == entries_after(log.snapshot())


def test_the_tag_depends_on_the_content_and_not_on_the_order_of_changes() -> None:
    first, second = ChangeLog(), ChangeLog()
    first.apply(update(7, entry("a"), entry("b"), snapshot=True))
    second.apply(update(900, entry("b"), snapshot=True))
    assert first.tag != second.tag
    second.apply(update(901, entry("a")))
    assert first.tag == second.tag
    second.apply(update(902, entry("a", status="leaving")))
    assert first.tag != second.tag


def test_after_a_lower_index_a_caller_with_the_tag_receives_a_delta() -> None:
    log = ChangeLog()
    log.apply(update(500, entry("a"), entry("b"), snapshot=True))
    tag = log.tag
    log.apply(update(3, entry("b", status="leaving"), entry("c"), snapshot=True))
    revision = log.revision_of(tag, 500)
    assert revision is not None
    delta = json.loads(log.delta(revision))
    assert (delta["index"], delta["snapshot"]) == (3, False)
    assert {member["name"]: member["status"] for member in delta["endpoints"]} == {
        "a": "left",
        "b": "leaving",
        "c": "active",
    }


def log_with_30_changes() -> tuple[ChangeLog, list[str]]:
    """Return a log with a ring of 10 entries after 30 changes, and the tags of all its states."""
    log = ChangeLog(max_ring_entries=10)
    log.apply(update(1, entry("a"), snapshot=True))
    tags = [log.tag]
    for number in range(30):
        log.apply(update(2 + number, entry("a", since_ms=1 + number)))
        tags.append(log.tag)
    return log, tags


def test_the_ring_keeps_a_bounded_number_of_entries() -> None:
    log, _ = log_with_30_changes()
    assert log.ring_entries == 10


def test_a_caller_is_known_by_its_tag_while_the_ring_holds_the_changes_since() -> None:
    log, tags = log_with_30_changes()
    assert [tag for tag in tags if log.revision_of(tag, None) is not None] == tags[-11:]


def test_a_caller_without_a_tag_is_known_by_its_index_while_the_ring_holds_the_changes_since() -> None:
    log, _ = log_with_30_changes()
    assert log.revision_of(None, 31) is not None
    assert log.revision_of(None, 12) is None


def test_an_unknown_tag_takes_precedence_over_a_known_index() -> None:
    log, _ = log_with_30_changes()
    assert log.revision_of('"junk"', 31) is None


def test_an_index_without_changes_reaches_callers_and_changes_nothing_else() -> None:
    log = ChangeLog()
    log.apply(update(1, entry("a"), snapshot=True))
    tag, revision = log.tag, log.revision
    assert json.loads(log.delta(revision))["index"] == 1
    assert not log.apply(update(9))
    assert (log.tag, log.revision) == (tag, revision)
    assert json.loads(log.delta(revision)) == {"index": 9, "snapshot": False, "endpoints": []}
    assert json.loads(log.snapshot())["index"] == 9
