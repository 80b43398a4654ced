"""Discovery over loopback, and how its news reach the balancer and the connections."""

from __future__ import annotations

import contextlib
import json
import tracemalloc
from typing import Any

import pytest

from helpers import S
from loopback import FakeDiscovery, answer, play, until, world
from sidecar_balancer.discovery import client as net_discovery
from sidecar_balancer.discovery.client import _IDLE_S, DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import MAX_LIST_BYTES, parse_list, read_list
from sidecar_balancer.discovery.watch_events import PollFailed, WatchEvent
from sidecar_balancer.policy.types import ServerState


def served(*_: object) -> bytes:
    return answer(200, b"served")


def entry(name: Any = "s-1", **changes: Any) -> dict[str, Any]:
    given = {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1}
    return given | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


def test_the_watch_goes_on_from_the_known_list_and_again_at_once() -> None:
    async def scene() -> None:
        async with world(served) as w:
            for index in (42, 43, 44):
                w.discovery.say(index, [])
            await until(lambda: len(w.discovery.targets) == 4)
            paths = [each.split("&")[0] for each in w.discovery.targets]
            assert paths == [f"/registry/instances?after={index}" for index in (41, 42, 43, 44)]
            assert _IDLE_S < 0.2  # the only pause there is; later it would be a new watch

    play(scene())


def test_changes_and_whole_lists_reach_the_balancer() -> None:
    async def scene() -> None:
        async with world(served, served) as w:
            states = w.sidecar._engine.balancer.servers
            first, second = w.servers
            w.discovery.say(42, [first.entry(status="leaving")])
            await until(lambda: states["s-0"].state is ServerState.DRAINING)
            for _ in range(10):
                assert (await w.ask())[0] == 200
            assert not first.requests
            w.discovery.say(43, [first.entry()], snapshot=True)  # who is missing is gone
            await until(lambda: "s-1" not in states)
            seen = len(second.requests)
            for _ in range(10):
                assert (await w.ask())[0] == 200
            assert len(second.requests) == seen

    play(scene())


def test_servers_that_left_are_forgotten() -> None:
    async def scene() -> None:
        async with world(served, served) as w:
            first, second = w.servers
            w.discovery.say(42, [first.entry(), {**first.entry(), "name": "s-9"}], snapshot=True)
            await until(lambda: set(w.sidecar._endpoint_pool._endpoints) == {"s-0", "s-9"})
            assert (await w.ask())[0] == 200
            w.discovery.say(
                43, [first.entry(status="left"), {**first.entry(), "name": "s-9", "status": "left"}]
            )
            await until(lambda: not w.sidecar._endpoint_pool._endpoints)
            assert not w.sidecar._engine.balancer.servers
            w.discovery.say(44, [second.entry()])
            await until(lambda: len(w.sidecar._endpoint_pool._endpoints) == 1)
            assert (await w.ask())[0] == 200

    play(scene())


def test_a_server_that_restarted_is_cold_from_then_on() -> None:
    async def scene() -> None:
        async with world(served) as w:
            server = w.sidecar._engine.balancer.servers["s-0"]
            since_ms = w.sidecar._engine.clock.now() // 1000
            w.discovery.say(42, [w.servers[0].entry(since_ms=since_ms)])
            await until(lambda: server.started_at == since_ms * 1000)
            assert w.sidecar._engine.balancer.is_warming_up(server)

    play(scene())


@pytest.mark.parametrize(
    "bad",
    [
        answer(503, b""),
        answer(200, b"not json"),
        answer(200, b'{"index": "x", "endpoints": []}'),
        answer(200, b"[]"),
        answer(200, b"[" * 100_000),
        answer(200, b'{"index": 7, "endpoints": ' + b'{"a":' * 100_000),
        b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{",
    ],
)
def test_a_failed_call_is_told_and_the_module_asks_again(bad: bytes) -> None:
    async def scene() -> None:
        async with world(served, rules={"poll_interval_us": 1 * S}) as w:
            w.discovery.answers.put_nowait(bad)
            await until(lambda: len(w.discovery.targets) == 2)
            assert w.sidecar._engine.balancer.discovery.failed_calls == 1
            assert (await w.ask())[0] == 200

    play(scene())


def test_discovery_that_is_down_is_a_failed_call() -> None:
    async def scene() -> None:
        heard: list[WatchEvent] = []
        down = FakeDiscovery()
        await down.start()
        down.stop()
        discovery = DiscoveryClient([down.address], 1, heard.append)
        discovery.set_watching(True)
        await until(lambda: heard == [PollFailed(timed_out=False)])
        await until(lambda: discovery._watch is None or discovery._watch.done())
        discovery.set_watching(True)  # and a new watch may begin
        await until(lambda: heard == [PollFailed(timed_out=False)] * 2)

    play(scene())


def test_a_watch_under_way_is_not_doubled_and_can_be_ended() -> None:
    async def scene() -> None:
        service = FakeDiscovery()
        await service.start()
        heard: list[WatchEvent] = []
        discovery = DiscoveryClient([service.address], 1, heard.append)
        for _ in range(3):
            discovery.set_watching(True)
        await until(lambda: service.targets)
        discovery.fetch()
        await until(lambda: len(service.targets) == 2)
        assert service.targets[1] == "/registry/instances"
        service.say(7, [entry()], snapshot=True)
        await until(lambda: heard)
        discovery.set_watching(False)
        assert discovery._watch is None
        service.stop()

    play(scene())


def test_a_service_that_moved_is_asked_for_the_whole_list_and_then_watched() -> None:
    async def scene() -> None:
        async with world(served, served) as w:
            await until(lambda: w.discovery.targets)
            moved = FakeDiscovery()
            await moved.start()
            w.sidecar._discovery.replace_sources([moved.address])
            moved.say(7, [w.servers[1].entry()], snapshot=True)
            await until(lambda: len(moved.targets) == 2)
            assert moved.targets[0] == "/registry/instances"
            assert moved.targets[1].startswith("/registry/instances?after=7&")
            assert "s-0" not in w.sidecar._engine.balancer.servers
            assert len(w.discovery.targets) == 1
            moved.stop()

    play(scene())


def test_pushed_lists_are_read_without_being_asked_for() -> None:
    async def scene() -> None:
        async with world(served, discovery="pushed") as w:
            w.discovery.answers.put_nowait(answer(503, b""))
            w.discovery.say(42, [w.servers[0].entry(status="leaving")])
            await until(lambda: w.sidecar._engine.balancer.servers["s-0"].state is ServerState.DRAINING)

    play(scene())


def test_a_list_holds_what_makes_sense_and_junk_is_skipped(caplog: pytest.LogCaptureFixture) -> None:
    junk: list[Any] = [
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
    told = parse_list({"index": 5, "snapshot": True, "endpoints": [*junk, entry(since_ms=2, group=3)]})
    assert len(caplog.messages) == 1 and len(caplog.messages[0]) < 300
    assert [each.server.server for each in told.entries] == ["s-1"]
    line = told.entries[0]
    # Not complete: who is missing may be among the junk, and a good list is not dropped for it.
    assert (told.version, told.complete, line.address) == (5, False, ("127.0.0.1", 9))
    assert parse_list({"index": 5, "snapshot": True, "endpoints": [entry()]}).complete
    assert (line.server.started_at, line.server.cell, line.server.zone) == (2000, 3, "a")
    assert parse_list({"index": 5, "endpoints": [entry()]}).entries[0].server.started_at is None


@pytest.mark.parametrize(
    ("status", "state"),
    [
        ("active", ServerState.READY),
        ("leaving", ServerState.DRAINING),
        ("left", ServerState.REMOVED),
        ("resting", ServerState.DRAINING),
    ],
)
def test_a_status_that_is_not_known_takes_nothing_new(status: str, state: ServerState) -> None:
    told = parse_list({"index": 5, "snapshot": False, "endpoints": [entry(status=status)]})
    assert told.entries[0].server.state is state


@pytest.mark.parametrize("status", ["leaving", "left"])
def test_a_server_that_leaves_is_told_of_even_without_its_address(status: str) -> None:
    # Guards rule 3: skipped as junk, the entry would leave the server in use.
    async def scene() -> None:
        async with world(served) as w:
            w.discovery.say(42, [w.servers[0].entry(status=status, address=None)])
            await until(lambda: not w.sidecar._engine.balancer.ready_servers)
            assert (await w.ask())[0] == 503
            assert not w.sent()

    play(scene())


def test_a_service_that_does_not_wait_is_not_called_without_a_pause() -> None:
    async def scene() -> None:
        async with world(served) as w:
            for _ in range(4):
                w.discovery.say(41, [])
            await until(lambda: len(w.discovery.called_after_s) == 4)
            assert min(w.discovery.called_after_s) >= 0.09

    play(scene())


def test_a_watch_that_fell_silent_is_opened_anew_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_discovery, "_WAIT_MS", 30)
    monkeypatch.setattr(net_discovery, "_CALL_S", 0.01)
    monkeypatch.setattr(net_discovery, "_LATE_S", 0.01)

    async def scene() -> None:
        # A call that failed is made again after 250 s here: nothing but the silence brings the second call.
        async with world(served, rules={"poll_interval_us": 1_000_000_000}) as w:
            await until(lambda: len(w.discovery.targets) == 2)
            first, second = (each.split("&wait_ms=") for each in w.discovery.targets)
            assert first[0] == second[0]  # it asks for what came since the same list

    play(scene())


JUNK_BODIES = {
    "empty objects": b'{"index":1,"snapshot":true,"endpoints":[%s]}' % b",".join([b"{}"] * 1_000_000),
    "arrays": b'{"index":1,"endpoints":[%s]}' % b",".join([b"[]"] * 1_000_000),
    "numbers": b'{"index":1,"endpoints":[%s]}' % b",".join([b"1.5"] * 800_000),
    "deep": b'{"index":1,"endpoints":' + b"[" * 3_000_000,
    "members": b'{"index":1,"endpoints":[{%s}]}' % b",".join(b'"k%d":1' % n for n in range(200_000)),
}


@pytest.mark.parametrize("kind", JUNK_BODIES)
def test_junk_takes_no_more_memory_than_a_few_times_its_size(kind: str) -> None:
    # An answer of 8 MiB may hold 2.8 million empty objects: decoded first they took twenty times that.
    body = JUNK_BODIES[kind]
    tracemalloc.start()
    with contextlib.suppress(ValueError, RecursionError):
        read_list(body)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 6 * len(body)


def test_a_list_of_22000_is_read_within_the_bounds() -> None:
    entries = [entry(f"s-{number:08x}", since_ms=1) for number in range(22_000)]
    body = json.dumps({"index": 5, "snapshot": True, "endpoints": entries}).encode()
    assert len(body) < MAX_LIST_BYTES
    told = read_list(body)
    assert told.complete and len(told.entries) == 22_000


@pytest.mark.parametrize("body", [b"[]", b'"x"', b"7", b'{"name": 3}', b'{"index": 1}', b"", b"\xff"])
def test_a_body_that_is_no_list_is_a_value_error(body: bytes) -> None:
    with pytest.raises(ValueError):
        read_list(body)
