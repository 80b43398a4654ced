"""Leases across sidecar processes: one holder at a time, under faults of the holder (docs/leases.md)."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

from harness import MEMBERSHIP_ON, scenario
from lease_observer import LeaseObserver, lease_view
from stub_cluster import Cluster, running_cluster
from stub_servers import StubServer

LEASES = {"on": True, "term_ms": 800, "renew_ms": 300, "skew_ms": 50, "retry_ms": 60}
LOCALITY = {"on": True, "ramp_ms": 1000, "probe_ms": 100}
SIZE = 3


class LeaseCluster(NamedTuple):
    """Cluster with leases, and an observer of them."""

    cluster: Cluster
    observer: LeaseObserver


@contextlib.asynccontextmanager
async def lease_cluster(folder: Path, zones: str = "aba") -> AsyncIterator[LeaseCluster]:
    """Run three sidecars with leases and the tier snapshot, and two servers in each of two zones."""
    servers = [StubServer(f"{zone}-{number}", zone) for zone in "ab" for number in range(2)]
    state = {"on": True, "every_ms": 30, "tier_folder": str(folder / "tier")}
    changes = {"duties": LEASES, "state": state, "locality": LOCALITY}
    cluster_context = running_cluster(
        folder, SIZE, servers, zones, membership=MEMBERSHIP_ON, config_changes=changes
    )
    async with cluster_context as cluster:
        yield LeaseCluster(cluster, LeaseObserver(cluster.tier))


@scenario
async def test_a_killed_holder_is_succeeded_and_no_command_violates_fencing(tmp_path: Path) -> None:
    async with lease_cluster(tmp_path) as (cluster, observer):
        first = await observer.wait_for_holder("snapshot")
        await observer.wait_for_command(first)
        await cluster.tier.kill(first)
        second = await observer.wait_for_holder("snapshot")
        await observer.wait_for_command(second)
        await cluster.tier.start(first)
        await cluster.tier.wait_until(cluster.tier.all_ready)
        await observer.wait_for_command(await observer.wait_for_holder("snapshot"))
        assert second != first
        assert len(observer.commands) > 3
        assert observer.fencing_violation_count() == 0
        assert list((tmp_path / "tier").glob("tier-*"))


@scenario
async def test_a_holder_paused_past_its_lease_issues_no_more_commands(tmp_path: Path) -> None:
    async with lease_cluster(tmp_path) as (cluster, observer):
        first = await observer.wait_for_holder("snapshot")
        await observer.wait_for_command(first)
        cluster.tier.signal(first, signal.SIGSTOP)
        second = await observer.wait_for_holder("snapshot", except_member=first)
        await observer.wait_for_command(second)
        cluster.tier.signal(first, signal.SIGCONT)
        await cluster.tier.wait_until(lambda: cluster.tier.responds(first))
        await observer.wait_for_command(second)
        assert observer.tokens[first]["snapshot"] == 0
        assert observer.fencing_violation_count() == 0


@scenario
async def test_an_isolated_holder_stops_before_the_majority_has_another(tmp_path: Path) -> None:
    async with lease_cluster(tmp_path) as (cluster, observer):
        cluster.tier.faults.loss = 0.1
        first = await observer.wait_for_holder("snapshot")
        await observer.wait_for_command(first)
        cluster.tier.faults.isolate(first, SIZE)
        second = await observer.wait_for_holder("snapshot", except_member=first)
        await observer.wait_for_command(second)
        await observer.poll()
        assert observer.tokens[first]["snapshot"] == 0
        cluster.tier.faults.cut_links = set()
        await observer.wait_for_command(second)
        assert observer.fencing_violation_count() == 0


@scenario
async def test_all_sidecars_reinstate_an_evacuated_zone_on_the_holders_command(tmp_path: Path) -> None:
    async with lease_cluster(tmp_path, zones="aab") as (cluster, observer):
        await observer.wait_for_holder("zones")
        cluster.load.start()
        await cluster.crash_zone("b")
        await cluster.tier.wait_until(lambda: cluster.zone_evacuated("b", [2]))
        await cluster.restart_zone("b", notify=False)
        await cluster.tier.wait_until(lambda: cluster.zone_in_use("b"))
        for number in range(SIZE):
            view = await lease_view(cluster.tier, number)
            assert view is not None
            assert view["fenced"] == 0
        assert observer.fencing_violation_count() == 0
