"""Zones across sidecar processes: a lost zone, a silent one, orders, and the way back (docs/zones.md)."""

from __future__ import annotations

import asyncio
from pathlib import Path

from harness import PLANE, play
from world import Catalogue, world

LOCALITY = {"locality": {"on": True, "ramp_ms": 2000}}


def two_zones(each: int = 3) -> list[Catalogue]:
    return [Catalogue(f"{zone}-{number}", zone) for zone in "ab" for number in range(each)]


def test_a_lost_zone_is_left_and_returns_cold_without_being_pushed_over(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 2, two_zones(), "ab", plane=PLANE, changes=LOCALITY) as made:
            made.load.start()
            await made.load.answered(300)
            await made.kill_zone("b")
            await made.tier.until(lambda: made.left("b", [1]))  # the other one draws from its own zone
            at = asyncio.get_running_loop().time()
            await made.load.answered(300)
            assert {each.server[0] for each in made.load.since(at) if each.status == 200} == {"a"}
            await made.return_zone("b")
            await made.tier.until(lambda: made.all_in("b"))
            before = sum(each.answered for each in made.zone("b"))
            while sum(each.answered for each in made.zone("b")) < before + 100:
                await made.load.answered(20)
            assert max(each.over for each in made.zone("b")) <= 1.0
            assert 0.0 < max(each.over for each in made.zone("b"))  # it was measured while cold

    play(scene())


def test_a_silent_zone_is_left_and_requests_there_are_answered_elsewhere(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 1, two_zones(), "a", changes=LOCALITY) as made:
            made.load.pay_every = 10**9  # of what may be repeated
            made.load.start()
            await made.load.answered(200)
            for each in made.zone("a"):  # its own zone: cut off from the rest, alive inside
                each.silent = True
            await made.tier.until(lambda: made.left("a"))
            at = asyncio.get_running_loop().time()
            await made.load.answered(200)
            assert {each.status for each in made.load.since(at)} == {200}

    play(scene())


def test_operators_drain_a_zone_and_pin_one(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 1, two_zones(), "a", changes=LOCALITY) as made:
            assert (await made.tier.call(0, "PUT", "/api/drain-zone/nowhere"))[0] == 404
            assert (await made.tier.call(0, "PUT", "/api/drain-zone/a"))[0] == 200
            made.load.start()
            await made.load.answered(200)
            assert {each.server[0] for each in made.load.answers if each.status == 200} == {"b"}
            await made.tier.kill(0)
            await made.tier.start(0)  # the order outlasts the process
            await made.tier.until(made.tier.all_ready)
            assert (await made.zones(0))["zones"]["a"]["order"] == "drain"
            assert (await made.tier.call(0, "PUT", "/api/free-zone/a"))[0] == 200
            assert (await made.tier.call(0, "PUT", "/api/pin-zone/b"))[0] == 200
            at = asyncio.get_running_loop().time()
            while not any(each.server.startswith("a") for each in made.load.since(at)):
                await made.load.answered(50)
            await made.kill_zone("b")
            await made.load.answered(300)
            told = (await made.zones(0))["zones"]["b"]
            assert told["order"] == "pin" and told["left_for_ms"] is None

    play(scene())


def test_a_zone_that_flaps_is_left_each_time_and_no_request_is_lost_to_it(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 1, two_zones(), "b", changes=LOCALITY) as made:
            made.load.pay_every = 10**9  # of what may be repeated
            made.load.start()
            await made.load.answered(200)
            for _ in range(3):
                await made.kill_zone("b")
                await made.tier.until(lambda: made.left("b"))
                await made.load.answered(50)
                await made.return_zone("b", tell=False)
                await made.tier.until(lambda: made.all_in("b"))
                await made.load.answered(50)
            await made.load.stop()
            assert {each.status for each in made.load.answers} == {200}
            log = (tmp_path / "n0" / "log").read_text("utf-8")
            assert log.count('"zone_evacuated"') == log.count('"zone_recovered"') == 3

    play(scene())


def test_where_every_zone_fails_all_stay_in_use(tmp_path: Path) -> None:
    async def scene() -> None:
        servers = two_zones()
        async with world(tmp_path, 1, servers, "a", changes=LOCALITY) as made:
            made.load.start()
            await made.load.answered(100)
            await made.kill_zone("a")
            await made.tier.until(lambda: made.left("a"))
            await made.kill_zone("b")
            await made.load.answered(100)
            assert not await made.left("b")
            await made.return_zone("b")
            at = asyncio.get_running_loop().time()
            while not any(each.status == 200 for each in made.load.since(at)):
                await made.load.answered(10)

    play(scene())
