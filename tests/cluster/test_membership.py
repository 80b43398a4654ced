"""The peer plane across sidecar processes, with faults between them (docs/membership.md)."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path

import msgpack  # type: ignore[import-untyped]

from harness import PLANE, Tier, play, tier
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.messages import (
    DatagramKind,
    Message,
    Update,
    VerdictScope,
    VerdictUpdate,
    WireVerdict,
)
from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence.store import Store
from world import Catalogue, World, world


async def all_alive(made: Tier) -> bool:
    for number in made.processes:
        told = await made.members(number)
        if told is None or any(status != "alive" for status, _ in told["members"].values()):
            return False
    return True


def test_a_killed_sidecar_is_found_dead_and_outbids_its_death_on_restart(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(4, tmp_path) as made:
            await made.until(lambda: all_alive(made))
            await made.kill(2)
            await made.until(lambda: _holds(made, 2, {"dead"}))
            await made.start(2)
            await made.until(lambda: all_alive(made))
            told = await made.members(2)
            assert told is not None and told["incarnation"] > 0  # it refuted what was said of its old life

    play(scene())


def test_a_healed_partition_joins_again_under_loss_and_duplicates(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(4, tmp_path, seed=3) as made:
            made.faults.loss, made.faults.duplicate, made.faults.delay_ms = 0.1, 0.1, (0, 20)
            await made.until(lambda: all_alive(made))
            made.faults.cut = {frozenset((a, b)) for a in (0, 1) for b in (2, 3)}
            await made.until(lambda: _holds(made, 3, {"dead"}, among=(0, 1)))
            made.faults.cut = set()
            await made.until(lambda: all_alive(made))

    play(scene())


def test_garbage_and_strangers_are_dropped_and_counted(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(3, tmp_path, seed=5) as made:
            await made.until(lambda: all_alive(made))
            made.faults.corrupt = 0.5
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                for size in (0, 1, 255, 1400):
                    stranger.sendto(b"\x95" * size, made.listens[0])
            await made.until(lambda: _dropped(made, 0, "address", 4))
            await made.until(lambda: _dropped(made, 0, "malformed", 1))
            made.faults.corrupt = 0.0
            await made.until(lambda: all_alive(made))

    play(scene())


def test_a_paused_sidecar_is_suspected_then_refutes(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(3, tmp_path, seed=9) as made:
            await made.until(lambda: all_alive(made))
            made.signal(1, signal.SIGSTOP)
            await made.until(lambda: _holds(made, 1, {"dead"}))
            made.signal(1, signal.SIGCONT)
            await made.until(lambda: all_alive(made))

    play(scene())


def test_a_ban_at_one_door_holds_across_the_tier_until_lifted(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(3, tmp_path, seed=11) as made:
            made.faults.loss = 0.1
            await made.until(lambda: all_alive(made))
            assert (await made.call(0, "PUT", "/api/exclude/s-1"))[0] == 200
            await made.until(lambda: _excluded(made, {"s-1"}))
            assert (await made.call(0, "PUT", "/api/include/s-1"))[0] == 200
            await made.until(lambda: _excluded(made, set()))

    play(scene())


async def _excluded(made: Tier, servers: set[str]) -> bool:
    for number in made.processes:
        told = await made.members(number)
        if told is None or set(told["excluded"]) != servers:
            return False
    return True


async def _holds(made: Tier, of: int, statuses: set[str], among: tuple[int, ...] | None = None) -> bool:
    seen = set()
    for each in among or tuple(made.processes):
        if each != of:
            told = await made.members(each)
            seen.add("?" if told is None else told["members"][str(of)][0])
    return seen == statuses


async def _dropped(made: Tier, number: int, why: str, least: int) -> bool:
    told = await made.members(number)
    return told is not None and told["dropped"].get(why, 0) >= least


def test_a_restart_resumes_from_its_state_and_a_damaged_one_starts_cold(tmp_path: Path) -> None:
    async def scene() -> None:
        made = Tier(3, tmp_path, seed=13)
        made.changes = lambda _: {"state": {"on": True, "every_ms": 50}}
        await made.open()
        try:
            kept = VerdictUpdate(1, 0, 9, "s-1", WireVerdict.EJECTED, 1, 30_000)
            (tmp_path / "n2").mkdir()
            store = Store(tmp_path / "n2", 1 << 20)
            store.open()
            store.put("plane", msgpack.packb([41, 3]))
            store.put("verdict/1/-1/s-1", msgpack.packb(codec.update_to_list(kept)))
            store.flush()
            (tmp_path / "n1").mkdir()
            (tmp_path / "n1" / "state-7.snap").write_bytes(snapshot.pack([b"x"])[:-3] + b"junk")
            for number in range(3):
                await made.start(number)
            await made.until(lambda: _told(made, 2))
            told = await made.members(2)
            assert told is not None and told["incarnation"] == 42  # a life after the one it kept
            assert [1, "s-1", "ejected"] in [each[:3] for each in told["verdicts"]]
            await made.until(lambda: _exists(tmp_path / "n2" / "state-2.log"))
            await made.kill(2)
            await made.start(2)  # after kill -9: from what the process itself wrote
            await made.until(lambda: _told(made, 2))
            again = await made.members(2)
            assert again is not None and again["incarnation"] >= 43
        finally:
            await made.close()

    play(scene())


async def _exists(path: Path) -> bool:
    return path.exists()


async def _told(made: Tier, number: int) -> bool:
    return await made.members(number) is not None


def test_what_one_sidecar_learned_of_servers_reaches_the_others_and_ends(tmp_path: Path) -> None:
    async def scene() -> None:
        servers = [Catalogue(f"a-{number}", "a") for number in range(5)]
        async with world(tmp_path, 3, servers, "a", plane=PLANE) as made:
            made.tier.faults.loss = 0.1
            await made.tier.until(lambda: all_alive(made.tier))
            servers[0].die()
            servers[1].fails = {"pay"}
            made.load.pay_every = 3
            made.load.start([0])  # the others have no traffic of their own
            for number in (1, 2):
                await made.tier.until(lambda n=number: against(made, n, "a-0"))
                await made.tier.until(lambda n=number: against(made, n, "a-1"))
            await servers[0].restart()
            made.registry.change()
            for number in (1, 2):
                await made.tier.until(lambda n=number: nothing_against(made, n, "a-0"))

    play(scene())


async def against(made: World, number: int, server: str) -> bool:
    status, body = await made.tier.call(number, "GET", "/api/servers")
    return status == 200 and json.loads(body)[server]["peers_against"] == 1


async def nothing_against(made: World, number: int, server: str) -> bool:
    status, body = await made.tier.call(number, "GET", "/api/servers")
    return status == 200 and json.loads(body)[server]["peers_against"] == 0


def test_under_thirty_percent_loss_a_ban_reaches_all_and_a_death_is_found(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(4, tmp_path, seed=23) as made:
            await made.until(lambda: all_alive(made))
            made.faults.loss = 0.3
            assert (await made.call(0, "PUT", "/api/exclude/s-1"))[0] == 200
            await made.until(lambda: _excluded(made, {"s-1"}))
            await made.kill(3)
            for each in (0, 1, 2):  # one by one: at this loss a view may waver
                await made.until(lambda n=each: _holds(made, 3, {"dead"}, among=(n,)), 60.0)

    play(scene())


def test_a_peer_that_lies_repeats_and_sends_too_much_takes_no_server_away(tmp_path: Path) -> None:
    async def scene() -> None:
        servers = [Catalogue(f"a-{number}", "a") for number in range(4)]
        async with world(tmp_path, 3, servers, "a", plane=PLANE) as made:
            await made.tier.until(lambda: all_alive(made.tier))
            await made.tier.kill(2)  # from now on the test speaks for it
            liar = made.tier.proxies[2].transport
            assert liar is not None
            lies: list[Update] = [
                VerdictUpdate(2, 0, 100 + n, f"a-{n}", WireVerdict.EJECTED, 1 << 16, 60_000) for n in range(4)
            ]
            lies.append(
                VerdictUpdate(2, 0, 200, "a", WireVerdict.ZONE_EVACUATED, 99, 60_000, VerdictScope.ZONE)
            )
            data = [codec.encode(Message(DatagramKind.DIRECT, 0, 1, -1, (lie,))).data for lie in lies]
            for number in (0, 1):
                for _ in range(20):  # the same again and again
                    for each in [*data, data[0] * 9, b"\xff" * 1400]:
                        liar.sendto(each, made.tier.listens[number])
                await made.tier.until(lambda n=number: _dropped(made.tier, n, "malformed", 20))
                await made.tier.until(lambda n=number: against(made, n, "a-3"))
            made.load.start([0, 1])
            while len(made.load.answers) < 200:
                await asyncio.sleep(0.01)
            assert {each.status for each in made.load.answers} == {200}
            assert {each.server for each in made.load.answers} == {each.name for each in servers}

    play(scene())
