"""The relay: its change log, its bounds, and failing over within 6 s, on a clock that the tests move."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loopback import answer, ask, until
from registry import Registry, entry
from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery import client as discovery
from sidecar_balancer.discovery import sources
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import EndpointList, ListUpdate, parse_list
from sidecar_balancer.discovery.sources import RelayAddress, SourceSelector, rank_relays
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.observability.logs import LogConfig
from sidecar_balancer.policy.types import ServerState
from sidecar_balancer.relay import caller as relay_caller
from sidecar_balancer.relay.app import Relay
from sidecar_balancer.relay.changelog import ChangeLog
from sidecar_balancer.relay.config import RelayConfig
from sidecar_balancer.relay.service import Limits
from virtual import play_on_clock

TOLD_S = 6.0  # after the registry had a change, it is in force at every sidecar that reaches a relay
Play = Callable[[Any], None]


@pytest.fixture
def on_clock(monkeypatch: pytest.MonkeyPatch) -> Play:
    return lambda scene: play_on_clock(scene, monkeypatch)


# -- The change log ---------------------------------------------------------------------------------------


def update(index: int, *entries: dict[str, Any], snapshot: bool = False) -> ListUpdate:
    return parse_list({"index": index, "snapshot": snapshot, "endpoints": list(entries)})


def content(body: bytes, base: EndpointList | None = None) -> dict[str, Any]:
    """The list that a body leads to, from a base."""
    held = base or EndpointList()
    held.apply(parse_list(json.loads(body)))
    return {each["name"]: each for each in held.snapshot()["endpoints"]}


CHANGES = st.lists(
    st.tuples(st.sampled_from("abcd"), st.sampled_from(["active", "leaving", "left"]), st.booleans()),
    max_size=12,
)


@given(CHANGES, st.integers(0, 12))
def test_changes_since_any_state_lead_to_the_whole_list(
    steps: list[tuple[str, str, bool]], from_step: int
) -> None:
    log = ChangeLog()
    log.apply(update(1, entry("a"), entry("z"), snapshot=True))
    base, tag = EndpointList(), log.tag
    base.apply(parse_list(json.loads(log.snapshot())))
    for number, (name, status, whole) in enumerate(steps):
        if number == from_step:
            base, tag = EndpointList(), log.tag
            base.apply(parse_list(json.loads(log.snapshot())))
        log.apply(update(2 + number, entry(name, status=status), snapshot=whole and status != "left"))
    revision = log.revision_of(tag, None)
    assert revision is not None
    assert content(log.delta(revision), base) == content(log.snapshot())


def test_the_tag_is_of_the_content_and_not_of_the_way_there() -> None:
    one, other = ChangeLog(), ChangeLog()
    one.apply(update(7, entry("a"), entry("b"), snapshot=True))
    other.apply(update(900, entry("b"), snapshot=True))
    assert one.tag != other.tag
    other.apply(update(901, entry("a")))
    assert one.tag == other.tag
    other.apply(update(902, entry("a", status="leaving")))
    assert one.tag != other.tag


def test_a_lower_index_is_one_more_change_for_who_has_the_tag() -> None:
    log = ChangeLog()
    log.apply(update(500, entry("a"), entry("b"), snapshot=True))
    tag = log.tag
    log.apply(update(3, entry("b", status="leaving"), entry("c"), snapshot=True))
    revision = log.revision_of(tag, 500)
    assert revision is not None
    told = json.loads(log.delta(revision))
    assert (told["index"], told["snapshot"]) == (3, False)
    assert {each["name"]: each["status"] for each in told["endpoints"]} == {
        "a": "left",
        "b": "leaving",
        "c": "active",
    }


def test_the_ring_is_bounded_and_who_is_too_far_behind_needs_the_whole_list() -> None:
    log = ChangeLog(changes_most=10)
    log.apply(update(1, entry("a"), snapshot=True))
    tags = [log.tag]
    for number in range(30):
        log.apply(update(2 + number, entry("a", since_ms=1 + number)))
        tags.append(log.tag)
    assert log.ring_entries == 10
    known = [tag for tag in tags if log.revision_of(tag, None) is not None]
    assert known == tags[-11:]
    assert log.revision_of(None, 31) is not None and log.revision_of(None, 12) is None
    assert log.revision_of('"junk"', 31) is None  # a tag that is not known proves more than an index


def test_an_index_without_changes_is_told_but_changes_nothing() -> None:
    log = ChangeLog()
    log.apply(update(1, entry("a"), snapshot=True))
    tag, revision = log.tag, log.revision
    assert json.loads(log.delta(revision))["index"] == 1
    assert not log.apply(update(9))
    assert (log.tag, log.revision) == (tag, revision)
    assert json.loads(log.delta(revision)) == {"index": 9, "snapshot": False, "endpoints": []}
    assert json.loads(log.snapshot())["index"] == 9


# -- Which relay ------------------------------------------------------------------------------------------


def addresses(count: int) -> list[Address]:
    return [("10.0.0.1", 7000 + number) for number in range(count)]


def test_sidecars_spread_over_relays_own_zone_first_and_only_those_of_a_lost_one_move() -> None:
    relays = [RelayAddress(each, "ab"[number % 2]) for number, each in enumerate(addresses(6))]
    orders = {name: rank_relays(relays, f"n{name}", "a") for name in range(600)}
    zone_of = {each.address: each.zone for each in relays}
    assert all([zone_of[each] for each in order] == ["a"] * 3 + ["b"] * 3 for order in orders.values())
    firsts = [order[0] for order in orders.values()]
    assert all(140 <= firsts.count(each.address) <= 260 for each in relays if each.zone == "a")
    left = [each for each in relays if each.address != relays[0].address]
    for name, order in orders.items():
        now = rank_relays(left, f"n{name}", "a")
        assert now == [each for each in order if each != relays[0].address]


def test_a_selector_goes_round_once_and_then_says_so() -> None:
    selector = SourceSelector(addresses(3), chance=lambda: 0.5)
    assert selector.failed(1.0) and selector.failed(1.1)
    assert not selector.failed(1.2)
    selector.answered(1.3, as_of=1.3, fresh=True)
    assert selector.failed(1.4)


def test_where_all_are_stale_the_freshest_is_used_and_not_all_are_asked_again_at_once() -> None:
    selector = SourceSelector(addresses(3))
    assert selector.answered(10.0, as_of=5.0, fresh=False)
    freshest = selector.current
    assert selector.answered(10.1, as_of=7.0, fresh=False)
    assert not selector.answered(10.2, as_of=6.0, fresh=False)
    assert selector.current == freshest
    assert not selector.answered(11.0, as_of=7.0, fresh=False)
    assert selector.answered(12.3, as_of=7.0, fresh=False)


def test_the_preferred_relay_is_tried_again_after_a_while_spread_out() -> None:
    times = []
    for chance in (0.0, 1.0):
        selector = SourceSelector(addresses(2), chance=lambda chance=chance: chance)  # type: ignore[misc]
        selector.failed(100.0)
        selector.answered(100.1, 100.1, fresh=True)
        now = 100.0
        while not selector.try_preferred(now):
            now += 0.5
        times.append(now - 100.0)
        assert selector.current == addresses(2)[0]
    assert times == [20.0, 60.0]


# -- Relays, sidecars' clients and a registry on one clock ------------------------------------------------


class Sidecar:
    """The discovery client of a sidecar and the list that it holds."""

    def __init__(self, sources: list[Address], index: int) -> None:
        self.held = EndpointList()
        self.versions: list[int] = []
        self.failed = 0
        self._again: asyncio.TimerHandle | None = None
        self.client = DiscoveryClient(sources, index, self._on_watch_event)
        self.client.set_watching(True)

    def _on_watch_event(self, told: WatchEvent) -> None:
        if not isinstance(told, ListUpdate):
            self.failed += 1
            self._again = asyncio.get_running_loop().call_later(1.0, self.client.set_watching, True)
            return
        self.held.apply(told)
        self.versions.append(told.version)

    async def end(self) -> None:
        if self._again is not None:
            self._again.cancel()
        await self.client.close()

    def state(self, name: str) -> str | None:
        listed = {each["name"]: each["status"] for each in self.held.snapshot()["endpoints"]}
        return listed.get(name)


class Plane:
    """A registry, relays in front of it, and sidecars that prefer them in different orders."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.relays: list[Relay] = []
        self.stops: list[asyncio.Event] = []
        self.running: list[asyncio.Task[None]] = []
        self.sidecars: list[Sidecar] = []

    async def add_relay(self, upstreams: list[Address], listen: Address = ("127.0.0.1", 0)) -> Relay:
        config = RelayConfig(listen, tuple(upstreams), None, Limits(snapshots=2), LogConfig())
        relay, stop = Relay(config), asyncio.Event()
        self.relays.append(relay)
        self.stops.append(stop)
        self.running.append(asyncio.create_task(relay.run(stop)))
        await until(lambda: relay._server is not None)
        return relay

    def add_sidecars(self, count: int) -> None:
        sources = [each.address() for each in self.relays]
        for number in range(count):
            turned = number % len(sources)
            self.sidecars.append(Sidecar(sources[turned:] + sources[:turned], self.registry.index))

    async def kill(self, number: int) -> Address:
        address = self.relays[number].address()
        self.stops[number].set()
        await self.running[number]
        return address

    async def end(self) -> None:
        for each in self.sidecars:
            await each.end()
        for stop in self.stops:
            stop.set()
        await asyncio.gather(*self.running)
        await self.registry.end()

    async def in_force(self, name: str, status: str | None, within_s: float = TOLD_S) -> None:
        """Wait until every sidecar has a server in that state; it may not take longer than allowed."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        await until(lambda: all(each.state(name) == status for each in self.sidecars))
        assert loop.time() - began <= within_s


@contextlib.asynccontextmanager
async def plane(relays: int, sidecars: int = 6) -> AsyncIterator[Plane]:
    registry = Registry([entry("s-0"), entry("s-1")])
    await registry.start()
    made = Plane(registry)
    try:
        for _ in range(relays):
            await made.add_relay([registry.address])
        await until(lambda: all(each.service.status()["index"] is not None for each in made.relays))
        made.add_sidecars(sidecars)
        registry.change(entry("s-0", weight=2.0))
        await until(lambda: all(each.versions for each in made.sidecars))
        yield made
    finally:
        await made.end()


def test_a_change_reaches_every_sidecar_and_costs_the_registry_a_call_a_relay(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=2, sidecars=20) as p:
            calls = p.registry.calls
            began = asyncio.get_running_loop().time()
            for number in range(5):
                p.registry.change(entry("s-1", since_ms=1 + number))
                await asyncio.sleep(1.0)
            p.registry.change(entry("s-1", status="leaving"))
            await p.in_force("s-1", "leaving", within_s=0.5)
            took_s = asyncio.get_running_loop().time() - began
            # One watch a relay: a call each 0.6 s at least, and one after each change.
            assert p.registry.calls - calls <= 2 * (took_s / 0.6 + 6 + 2)
            assert not any(each.failed for each in p.sidecars)
            assert all(each.service.counters.snapshots <= 20 for each in p.relays)

    on_clock(scene())


def test_changes_that_come_fast_go_out_together(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=1, sidecars=4) as p:
            await asyncio.sleep(1.0)
            before = p.relays[0].service.counters.deltas
            for number in range(100):
                p.registry.change(entry(f"s-{number}", status="leaving"))
                await asyncio.sleep(0.01)
            await p.in_force("s-99", "leaving")
            assert p.relays[0].service.counters.deltas - before <= 4 * 8  # of 400

    on_clock(scene())


def test_when_a_relay_is_killed_its_sidecars_hear_changes_from_others(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=3) as p:
            await p.kill(0)
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving", within_s=1.0)
            assert not any(each.failed for each in p.sidecars)

    on_clock(scene())


def test_when_two_relays_in_a_row_fall_silent_the_third_tells_in_time(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with plane(relays=3) as p:
            for relay in p.relays[:2]:  # as if stopped: they take calls and answer none
                monkeypatch.setattr(relay.service, "_answer", lambda *_: None)
                monkeypatch.setattr(relay.service, "_want_snapshot", lambda *_: None)
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving")

    on_clock(scene())


def test_a_relay_that_is_cut_off_says_how_old_its_news_is_and_is_left(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=2) as p:
            cut = p.relays[0]
            await cut._discovery.close()  # it hears no more, and its sidecars still reach it
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving")
            assert {each.client.status().address for each in p.sidecars} == {
                "{}:{}".format(*p.relays[1].address())
            }
            status, headers, _ = await ask(cut.address(), call())
            assert status == 200 and int(headers["x-source-age-ms"]) > 2_000

    on_clock(scene())


def test_while_the_registry_is_down_sidecars_keep_their_list_and_hear_on_later(
    on_clock: Play,
) -> None:
    async def scene() -> None:
        async with plane(relays=2) as p:
            await p.registry.down()
            await asyncio.sleep(30.0)
            assert all(each.state("s-0") == "active" and not each.failed for each in p.sidecars)
            calls = sum(each.service.counters.calls for each in p.relays)
            await asyncio.sleep(30.0)
            # All are stale: each sidecar asks around each 2 s and waits at the freshest between.
            assert sum(each.service.counters.calls for each in p.relays) - calls <= 6 * 30 * 2.5
            await p.registry.start()
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving")

    on_clock(scene())


def test_a_registry_that_restarts_with_a_lower_index_is_followed(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=2) as p:
            snapshots = sum(each.service.counters.snapshots for each in p.relays)
            await p.registry.down()
            p.registry.restart(5, [entry("s-1"), entry("s-2")])
            await asyncio.sleep(1.0)
            await p.registry.start()
            await p.in_force("s-0", None)
            await p.in_force("s-2", "active")
            assert all(each.versions[-1] == 5 for each in p.sidecars)
            p.registry.change(entry("s-1", status="leaving"))
            await p.in_force("s-1", "leaving", within_s=1.0)
            # Known by their tags: what changed is told, not the whole list.
            assert sum(each.service.counters.snapshots for each in p.relays) == snapshots

    on_clock(scene())


def test_a_relay_that_restarts_empty_takes_its_sidecars_back(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=2) as p:
            address = await p.kill(0)
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving", within_s=1.0)
            again = await p.add_relay([p.registry.address], address)
            await asyncio.sleep(70.0)
            home = "{}:{}".format(*address)
            assert sum(each.client.status().address == home for each in p.sidecars) == 3
            # They hold the list that it has: by its tag none is sent whole.
            assert again.service.counters.snapshots == 0
            p.registry.change(entry("s-1", status="leaving"))
            await p.in_force("s-1", "leaving", within_s=1.0)

    on_clock(scene())


def test_a_sidecar_never_goes_back_to_an_older_list_on_failing_over(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=2) as p:
            behind = p.relays[1]
            await behind._discovery.close()
            changed = p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving")
            await p.kill(0)  # the only relay left is behind
            await asyncio.sleep(10.0)
            assert all(each.state("s-0") == "leaving" for each in p.sidecars)
            assert all(each.versions[-1] >= changed for each in p.sidecars)
            assert behind.service.counters.not_ready + behind.service.counters.unchanged > 0

    on_clock(scene())


def test_a_relay_behind_a_relay_tells_the_age_of_the_whole_way(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=1, sidecars=1) as p:
            leaf = await p.add_relay([p.relays[0].address()])
            await until(lambda: leaf.service.status()["index"] is not None)
            p.sidecars.append(Sidecar([leaf.address()], p.registry.index))
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving", within_s=1.0)
            await p.relays[0]._discovery.close()
            await asyncio.sleep(10.0)
            assert leaf.service.age_ms() >= 9_000

    on_clock(scene())


def test_no_relay_at_all_is_told_to_the_module_and_the_list_is_kept(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=2) as p:
            await p.kill(0)
            address = await p.kill(1)
            await asyncio.sleep(5.0)
            assert all(each.failed and each.state("s-0") == "active" for each in p.sidecars)
            await p.add_relay([p.registry.address], address)
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving")

    on_clock(scene())


# -- Bounds -----------------------------------------------------------------------------------------------


def call(**query: object) -> bytes:
    text = "&".join(f"{name}={value}" for name, value in query.items())
    return f"GET /registry/instances{'?' if text else ''}{text} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"PUT /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nxx", 400),
        (call(after="x"), 400),
        (call(after="-1"), 400),
        (call(after="9" * 400), 400),
        (call(wait_ms="soon"), 400),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nX-Source-Age-Ms: old\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 20_000, 400),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x", 408),
        (b"", 408),
        (call(after="7"), 200),
        (call(), 200),
        (b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200),
    ],
)
def test_every_call_is_answered_and_junk_is_refused_and_counted(
    on_clock: Play, data: bytes, status: int
) -> None:
    async def scene() -> None:
        async with plane(relays=1, sidecars=1) as p:
            got, _, _ = await ask(p.relays[0].address(), data)
            assert got == status
            assert p.relays[0].service.counters.rejected == (status != 200)
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving", within_s=1.0)

    on_clock(scene())


def test_a_relay_without_a_list_says_so_at_once(on_clock: Play) -> None:
    async def scene() -> None:
        registry = Registry()
        registry.is_silent = True
        await registry.start()
        p = Plane(registry)
        relay = await p.add_relay([registry.address])
        for data in (call(), call(after=5, wait_ms=2000), b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"):
            began = asyncio.get_running_loop().time()
            assert (await ask(relay.address(), data))[0] == 503
            assert asyncio.get_running_loop().time() - began < 0.5
        await p.end()

    on_clock(scene())


def test_whole_lists_are_bounded_in_number_and_the_rest_wait_their_turn(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with plane(relays=1, sidecars=1) as p:
            for number in range(16_000):
                p.registry.entries[f"s-{number}"] = entry(f"s-{number}")
            p.registry.restart(5_000, list(p.registry.entries.values()))
            await until(lambda: p.relays[0].service.status()["servers"] == 16_000)
            service = p.relays[0].service
            slow = [socket.socket() for _ in range(2)]
            for each in slow:  # they read nothing, and hold both places
                each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                each.connect(p.relays[0].address())
                each.sendall(call())
            await until(lambda: service.status()["snapshots_under_way"] == 2)
            began = asyncio.get_running_loop().time()
            answers = await asyncio.gather(*(ask(p.relays[0].address(), call()) for _ in range(5)))
            assert [status for status, _, _ in answers] == [503] * 5
            assert asyncio.get_running_loop().time() - began < 2.0
            assert service.counters.busy == 5
            # Who reads nothing is dropped, and its place is free again.
            await until(lambda: service.counters.too_slow == 2)
            assert (await ask(p.relays[0].address(), call()))[0] == 200
            for each in slow:
                each.close()

    on_clock(scene())


def test_a_flood_of_connections_keeps_no_sidecar_out(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=1, sidecars=3) as p:
            relay = p.relays[0]
            relay.service._limits = Limits(connections=20, snapshots=2)
            with contextlib.ExitStack() as flood:
                for _ in range(100):
                    flood.enter_context(socket.create_connection(relay.address()))
                    await asyncio.sleep(0.001)
                assert len(relay.service._callers) <= 21
                p.registry.change(entry("s-0", status="leaving"))
                await p.in_force("s-0", "leaving")
            assert relay.service.counters.over_capacity > 50

    on_clock(scene())


def test_junk_from_a_relay_is_a_failed_call(on_clock: Play) -> None:
    async def scene() -> None:
        async with plane(relays=1, sidecars=0) as p:
            junk = [
                answer(200, b'{"index": 1, "endpoints": []}', X_Source_Age_Ms="soon"),
                answer(200, b'{"index": 1, "endpoints": []}', X_Source_Age_Ms="9" * 40),
                answer(200, b"[" * 50_000, X_Source_Age_Ms="1"),
                answer(503, b""),
            ]

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(junk[0])
                junk.append(junk.pop(0))
                writer.close()

            bad = await asyncio.start_server(serve, "127.0.0.1", 0)
            sidecar = Sidecar([bad.sockets[0].getsockname()[:2], p.relays[0].address()], p.registry.index)
            p.sidecars.append(sidecar)
            p.registry.change(entry("s-0", status="leaving"))
            await p.in_force("s-0", "leaving", within_s=1.0)
            assert not sidecar.failed
            bad.close()

    on_clock(scene())


def test_the_bounds_leave_time_within_the_six_seconds() -> None:
    longest_wait_s = discovery._RELAY_WAIT_MS * (1.0 + discovery._WAIT_SPREAD) / 1000
    silent_s = longest_wait_s + discovery._RELAY_LATE_S
    quick_s = discovery._QUICK_MS / 1000 + discovery._RELAY_LATE_S
    assert silent_s + quick_s + 1.0 < TOLD_S  # two silent relays in a row
    assert sources.STALE_AFTER_S + longest_wait_s + quick_s < TOLD_S  # one that is cut off
    assert relay_caller.HEAD_WITHIN_S < TOLD_S


def test_status_of_the_list_is_what_the_registry_says() -> None:
    told = parse_list({"index": 1, "snapshot": True, "endpoints": [entry("s-0", status="leaving")]})
    assert told.entries[0].server.state is ServerState.DRAINING
