"""Restart after kill -9 under load: from the disk, from the peers, and cold (docs/recovery.md)."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

from harness import PLANE, play
from sidecar_balancer.persistence import state_records
from sidecar_balancer.persistence.store import Store
from world import Catalogue, World, world

STATE = {"state": {"on": True, "every_ms": 50, "warm_ms": 400}}
MAX_BYTES = 1 << 20


def catalogue(count: int = 4) -> list[Catalogue]:
    return [Catalogue(f"a-{number}", "a") for number in range(count)]


def log_of(folder: Path, number: int) -> str:
    return (folder / f"n{number}" / "log").read_text(encoding="utf-8")


async def is_logged(folder: Path, number: int, text: str) -> bool:
    return text in log_of(folder, number)


async def is_ejection_on_disk(folder: Path, server: str) -> bool:
    """Whether sidecar 0 has persisted the server's ejection; reads a copy, as opening a store writes."""
    copy = folder / "copy"
    shutil.copytree(folder / "n0", copy)
    state = state_records.decode(Store(copy, MAX_BYTES).open().records)
    shutil.rmtree(copy)
    learned = state.learned.servers.get(server)
    return learned is not None and learned.ejected_us > 0


async def has_published_ejection(made: World, number: int, server: str) -> bool:
    view = await made.tier.members(number)
    return view is not None and view["told"].get(f"{server} -1") == "ejected"


async def kill_and_start(made: World, number: int) -> None:
    await made.tier.kill(number)
    await made.tier.start(number)
    await made.tier.until(made.tier.all_ready)


def test_after_kill_9_under_load_it_restores_its_disk_and_nothing_runs_twice(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 1, catalogue(), "a", changes=STATE) as made:
            made.load.start()
            await made.load.answered(200)
            made.servers[0].die()
            await made.tier.until(lambda: is_logged(tmp_path, 0, "ejected a-0"))
            await made.tier.until(lambda: is_ejection_on_disk(tmp_path, "a-0"))
            await kill_and_start(made, 0)
            assert "servers and 0 verdicts recalled" in log_of(tmp_path, 0)
            assert "ejected a-0: recalled" in log_of(tmp_path, 0)
            restarted_at = asyncio.get_running_loop().time()
            await made.load.answered(100)
            assert sum(answer.status == 200 for answer in made.load.since(restarted_at)) >= 90
            await made.load.stop()
            assert not made.ran_twice()

    play(scene())


def test_without_state_on_disk_it_takes_its_peers_state_before_it_is_ready(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 3, catalogue(), "a", plane=PLANE, changes=STATE) as made:
            made.load.start()
            await made.load.answered(300)
            made.servers[0].die()
            await made.tier.until(lambda: has_published_ejection(made, 1, "a-0"))
            await made.tier.until(lambda: has_published_ejection(made, 2, "a-0"))
            await made.tier.kill(0)
            for path in (tmp_path / "n0").glob("state-*"):
                path.unlink()
            await made.tier.start(0)
            await made.tier.until(made.tier.all_ready)
            assert "warm start: all that a peer held" in log_of(tmp_path, 0)
            view = await made.tier.members(0)
            assert view is not None
            assert {verdict[1] for verdict in view["verdicts"] if verdict[2] == "ejected"} == {"a-0"}

    play(scene())


def test_cut_off_from_its_peers_it_starts_cold_within_its_time_limit(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 3, catalogue(), "a", plane=PLANE, changes=STATE) as made:
            made.tier.faults.cut = {frozenset((0, peer)) for peer in (1, 2)}
            await made.tier.kill(0)
            shutil.rmtree(tmp_path / "n0")
            await made.tier.start(0)
            await made.tier.until(made.tier.all_ready)
            assert "warm start: no whole answer" in log_of(tmp_path, 0)
            made.load.start([0])
            await made.load.answered(50)
            assert {answer.status for answer in made.load.answers} == {200}

    play(scene())
