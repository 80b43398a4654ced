"""Reading the published format of the list: malformed input is skipped or rejected, in bounded memory."""

from __future__ import annotations

import contextlib
import json
import tracemalloc
from typing import Any

import pytest

from registry import entry
from sidecar_balancer.discovery.endpoint_list import (
    MAX_LIST_BYTES,
    ListUpdate,
    decode_list,
    parse_list,
)
from sidecar_balancer.discovery.errors import MalformedListError
from sidecar_balancer.policy.types import ServerState

MALFORMED_ENTRIES: list[Any] = [
    7,
    None,
    [],
    {},
    entry(name=3),
    entry(name=""),
    entry(address="nowhere"),
    entry(address="127.0.0.1:99999"),
    entry(address=None),
    entry(group="x"),
    entry(weight="heavy"),
    entry(weight=float("nan")),
    entry(since_ms=-1),
    entry(status=[]),
]


def snapshot(*entries: Any) -> ListUpdate:
    return parse_list({"index": 5, "snapshot": True, "endpoints": list(entries)})


def test_an_entry_is_read_with_its_members_in_the_units_of_the_balancer() -> None:
    update = snapshot(entry(since_ms=2, group=3))
    read = update.entries[0]
    assert (update.version, read.address) == (5, ("127.0.0.1", 9))
    assert (read.server.server, read.server.zone, read.server.cell) == ("s-1", "a", 3)
    assert read.server.started_at == 2000


def test_a_server_without_a_start_time_has_none() -> None:
    update = parse_list({"index": 5, "endpoints": [entry()]})
    assert update.entries[0].server.started_at is None


def test_malformed_entries_are_skipped_with_one_short_log_line(caplog: pytest.LogCaptureFixture) -> None:
    update = snapshot(*MALFORMED_ENTRIES, entry())
    assert [read.server.server for read in update.entries] == ["s-1"]
    assert len(caplog.messages) == 1
    assert len(caplog.messages[0]) < 300


@pytest.mark.parametrize("malformed", MALFORMED_ENTRIES, ids=repr)
def test_each_malformed_entry_is_skipped(malformed: object) -> None:
    update = snapshot(malformed, entry(name="s-2"))
    assert [read.server.server for read in update.entries] == ["s-2"]


def test_a_snapshot_is_complete() -> None:
    assert snapshot(entry()).complete


def test_a_snapshot_with_malformed_entries_is_read_as_a_delta() -> None:
    # An absent server may be among the malformed entries; the rest of the list is still useful.
    assert not snapshot(*MALFORMED_ENTRIES, entry()).complete


@pytest.mark.parametrize("is_snapshot", [False, True])
@pytest.mark.parametrize(
    ("status", "state"),
    [
        ("active", ServerState.READY),
        ("leaving", ServerState.DRAINING),
        ("left", ServerState.REMOVED),
        ("resting", ServerState.DRAINING),
    ],
)
def test_a_server_of_an_unknown_status_gets_no_new_requests(
    status: str, state: ServerState, is_snapshot: bool
) -> None:
    update = parse_list({"index": 5, "snapshot": is_snapshot, "endpoints": [entry(status=status)]})
    assert update.entries[0].server.state is state


MALFORMED_BODIES = {
    "empty objects": b'{"index":1,"snapshot":true,"endpoints":[%s]}' % b",".join([b"{}"] * 1_000_000),
    "arrays": b'{"index":1,"endpoints":[%s]}' % b",".join([b"[]"] * 1_000_000),
    "numbers": b'{"index":1,"endpoints":[%s]}' % b",".join([b"1.5"] * 800_000),
    "deep": b'{"index":1,"endpoints":' + b"[" * 3_000_000,
    "members": b'{"index":1,"endpoints":[{%s}]}' % b",".join(b'"k%d":1' % n for n in range(200_000)),
}


@pytest.mark.parametrize("kind", MALFORMED_BODIES)
def test_a_malformed_body_takes_no_more_memory_than_a_few_times_its_size(kind: str) -> None:
    # A response of 8 MiB may hold 2.8 million empty objects, which took twenty times its size in memory when
    # they were decoded before any check.
    body = MALFORMED_BODIES[kind]
    tracemalloc.start()
    with contextlib.suppress(MalformedListError):
        decode_list(body)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 6 * len(body)


def test_a_list_of_22000_servers_is_read_within_the_bounds() -> None:
    entries = [entry(f"s-{number:08x}", since_ms=1) for number in range(22_000)]
    body = json.dumps({"index": 5, "snapshot": True, "endpoints": entries}).encode()
    assert len(body) < MAX_LIST_BYTES
    update = decode_list(body)
    assert update.complete
    assert len(update.entries) == 22_000


@pytest.mark.parametrize(
    "body", [b"[]", b'"x"', b"7", b'{"name": 3}', b'{"index": 1}', b"", b"\xff", b"[" * 100_000]
)
def test_a_body_that_is_no_list_is_rejected(body: bytes) -> None:
    with pytest.raises(MalformedListError) as raised:
        decode_list(body)
    assert isinstance(raised.value, ValueError)  # callers expect that, as of other errors in a configuration
