"""Restart after kill -9 under load: from what is on disk, from peers, and cold (docs/recovery.md)."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

from harness import MEMBERSHIP_ON, run_scenario
from stub_cluster import Cluster, running_cluster
from stub_servers import StubServer

STATE = {"state": {"on": True, "every_ms": 50, "warm_ms": 400}}


def servers(count: int = 4) -> list[StubServer]:
    return [StubServer(f"a-{number}", "a") for number in range(count)]


def log_of(folder: Path, number: int) -> str:
    return (folder / f"n{number}" / "log").read_text(encoding="utf-8")


async def again(made: Cluster, number: int) -> None:
    """kill -9 and a new start."""
    await made.tier.kill(number)
    await made.tier.start(number)
    await made.tier.wait_until(made.tier.all_ready)


def test_after_kill_9_under_load_it_goes_on_from_its_disk_and_nothing_ran_twice(tmp_path: Path) -> None:
    async def scene() -> None:
        async with running_cluster(tmp_path, 1, servers(), "a", config_changes=STATE) as made:
            made.load.start()
            await made.load.wait_for_responses(200)
            dead = made.servers[0]
            dead.crash()
            await made.tier.wait_until(lambda: logged(tmp_path, 0, "ejected a-0"))
            await made.tier.wait_until(lambda: kept(tmp_path))
            await again(made, 0)
            assert "servers and 0 verdicts recalled" in log_of(tmp_path, 0)
            assert "ejected a-0: recalled" in log_of(tmp_path, 0)
            at = asyncio.get_running_loop().time()
            await made.load.wait_for_responses(100)
            assert sum(each.status == 200 for each in made.load.since(at)) >= 90
            await made.load.stop()
            assert not made.executed_twice()

    run_scenario(scene())


def test_one_that_kept_nothing_is_told_by_its_peers_before_it_says_ready(tmp_path: Path) -> None:
    async def scene() -> None:
        async with running_cluster(
            tmp_path, 3, servers(), "a", membership=MEMBERSHIP_ON, config_changes=STATE
        ) as made:
            made.load.start()
            await made.load.wait_for_responses(300)
            made.servers[0].crash()
            await made.tier.wait_until(lambda: held(made, 1, "a-0"))
            await made.tier.wait_until(lambda: held(made, 2, "a-0"))
            await made.tier.kill(0)
            for path in (tmp_path / "n0").glob("state-*"):
                path.unlink()
            await made.tier.start(0)
            await made.tier.wait_until(made.tier.all_ready)
            assert "warm start: all that a peer held" in log_of(tmp_path, 0)
            told = await made.tier.members(0)
            assert told is not None
            assert {each[1] for each in told["verdicts"] if each[2] == "ejected"} == {"a-0"}

    run_scenario(scene())


def test_one_cut_off_from_its_peers_starts_cold_within_its_bound(tmp_path: Path) -> None:
    async def scene() -> None:
        async with running_cluster(
            tmp_path, 3, servers(), "a", membership=MEMBERSHIP_ON, config_changes=STATE
        ) as made:
            made.tier.faults.cut_links = {frozenset((0, each)) for each in (1, 2)}
            await made.tier.kill(0)
            shutil.rmtree(tmp_path / "n0")
            await made.tier.start(0)
            await made.tier.wait_until(made.tier.all_ready)
            assert "warm start: no whole answer" in log_of(tmp_path, 0)
            made.load.start([0])
            await made.load.wait_for_responses(50)
            assert {each.status for each in made.load.responses} == {200}

    run_scenario(scene())


async def logged(folder: Path, number: int, what: str) -> bool:
    return what in log_of(folder, number)


async def kept(folder: Path) -> bool:
    """Whether the ejection is on disk."""
    from sidecar_balancer.persistence import state_records
    from sidecar_balancer.persistence.store import Store

    copy = folder / "copy"
    shutil.copytree(folder / "n0", copy)
    found = state_records.decode(Store(copy, 1 << 20).open().records)
    shutil.rmtree(copy)
    each = found.learned.servers.get("a-0")
    return each is not None and each.ejected_us > 0


async def held(made: Cluster, number: int, server: str) -> bool:
    told = await made.tier.members(number)
    return told is not None and told["told"].get(f"{server} -1") == "ejected"
