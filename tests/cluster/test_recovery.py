"""Restart after kill -9 under load: with state from disk, from peers, or none (docs/recovery.md)."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

from harness import MEMBERSHIP_ON, scenario
from sidecar_balancer.persistence import state_records
from sidecar_balancer.persistence.store import Store
from stub_cluster import Cluster, running_cluster
from stub_servers import StubServer

STATE = {"state": {"on": True, "every_ms": 50, "warm_ms": 400}}
MAX_BYTES = 1 << 20


def make_servers(count: int = 4) -> list[StubServer]:
    return [StubServer(f"a-{number}", "a") for number in range(count)]


def log_of(folder: Path, number: int) -> str:
    return (folder / f"n{number}" / "log").read_text(encoding="utf-8")


async def is_logged(folder: Path, number: int, text: str) -> bool:
    return text in log_of(folder, number)


async def is_ejection_on_disk(folder: Path, server: str) -> bool:
    """Return whether sidecar 0 has persisted the ejection; read a copy, as opening a store writes."""
    copy = folder / "copy"
    shutil.copytree(folder / "n0", copy)
    state = state_records.decode(Store(copy, MAX_BYTES).open().records)
    shutil.rmtree(copy)
    learned = state.learned.servers.get(server)
    return learned is not None and learned.ejected_us > 0


async def has_published_ejection(cluster: Cluster, number: int, server: str) -> bool:
    view = await cluster.tier.members(number)
    return view is not None and view["told"].get(f"{server} -1") == "ejected"


async def kill_and_start(cluster: Cluster, number: int) -> None:
    await cluster.tier.kill(number)
    await cluster.tier.start(number)
    await cluster.tier.wait_until(cluster.tier.all_ready)


@scenario
async def test_a_sidecar_killed_under_load_restores_its_state_and_executes_nothing_twice(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, 1, make_servers(), "a", config_changes=STATE) as cluster:
        cluster.load.start()
        await cluster.load.wait_for_responses(200)
        cluster.servers[0].crash()
        await cluster.tier.wait_until(lambda: is_logged(tmp_path, 0, "ejected a-0"))
        await cluster.tier.wait_until(lambda: is_ejection_on_disk(tmp_path, "a-0"))
        await kill_and_start(cluster, 0)
        assert "servers and 0 verdicts restored" in log_of(tmp_path, 0)
        assert "ejected a-0: restored" in log_of(tmp_path, 0)
        restarted_at = asyncio.get_running_loop().time()
        await cluster.load.wait_for_responses(100)
        assert sum(response.status == 200 for response in cluster.load.since(restarted_at)) >= 90
        await cluster.load.stop()
        assert not cluster.executed_twice()


@scenario
async def test_a_sidecar_without_persisted_state_takes_its_peers_state_before_it_is_ready(
    tmp_path: Path,
) -> None:
    async with running_cluster(
        tmp_path, 3, make_servers(), "a", membership=MEMBERSHIP_ON, config_changes=STATE
    ) as cluster:
        cluster.load.start()
        await cluster.load.wait_for_responses(300)
        cluster.servers[0].crash()
        await cluster.tier.wait_until(lambda: has_published_ejection(cluster, 1, "a-0"))
        await cluster.tier.wait_until(lambda: has_published_ejection(cluster, 2, "a-0"))
        await cluster.tier.kill(0)
        for path in (tmp_path / "n0").glob("state-*"):
            path.unlink()
        await cluster.tier.start(0)
        await cluster.tier.wait_until(cluster.tier.all_ready)
        assert "initial state from peers is complete after" in log_of(tmp_path, 0)
        view = await cluster.tier.members(0)
        assert view is not None
        assert {verdict[1] for verdict in view["verdicts"] if verdict[2] == "ejected"} == {"a-0"}


@scenario
async def test_a_sidecar_cut_off_from_its_peers_starts_without_state_within_its_time_limit(
    tmp_path: Path,
) -> None:
    async with running_cluster(
        tmp_path, 3, make_servers(), "a", membership=MEMBERSHIP_ON, config_changes=STATE
    ) as cluster:
        cluster.tier.faults.cut_links = {frozenset((0, peer)) for peer in (1, 2)}
        await cluster.tier.kill(0)
        shutil.rmtree(tmp_path / "n0")
        await cluster.tier.start(0)
        await cluster.tier.wait_until(cluster.tier.all_ready)
        assert "initial state from peers is incomplete after" in log_of(tmp_path, 0)
        cluster.load.start([0])
        await cluster.load.wait_for_responses(50)
        assert {response.status for response in cluster.load.responses} == {200}
