"""Membership across sidecar processes, with faults between them (docs/membership.md)."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path
from typing import Any

import msgpack  # type: ignore[import-untyped]

from harness import MEMBERSHIP_ON, Tier, running_tier, scenario
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.messages import (
    NO_ARGUMENT,
    DatagramKind,
    Message,
    Update,
    VerdictScope,
    VerdictUpdate,
    WireVerdict,
)
from sidecar_balancer.persistence import snapshot
from sidecar_balancer.persistence.store import Store
from stub_cluster import Cluster, running_cluster
from stub_servers import StubServer

STATE_BYTES_MAX = 1 << 20


async def all_alive(tier: Tier) -> bool:
    """Return whether every running sidecar sees all others as alive."""
    for number in tier.processes:
        view = await tier.members(number)
        if view is None or any(status != "alive" for status, _ in view["members"].values()):
            return False
    return True


async def is_dead(tier: Tier, member: int, observers: tuple[int, ...] | None = None) -> bool:
    """Return whether each observer (None: each other running sidecar) sees the member as dead."""
    statuses = set()
    for observer in observers or tuple(tier.processes):
        if observer != member:
            view = await tier.members(observer)
            statuses.add(None if view is None else view["members"][str(member)][0])
    return statuses == {"dead"}


async def disabled_everywhere(tier: Tier, servers: set[str]) -> bool:
    """Return whether exactly these servers are disabled at every running sidecar."""
    for number in tier.processes:
        view = await tier.members(number)
        if view is None or set(view["excluded"]) != servers:
            return False
    return True


async def dropped_at_least(tier: Tier, number: int, reason: str, count: int) -> bool:
    """Return whether the sidecar has dropped at least this many datagrams for this reason."""
    view = await tier.members(number)
    return view is not None and view["dropped"].get(reason, 0) >= count


async def peer_verdicts(cluster: Cluster, number: int, server: str) -> int | None:
    """Return how many peers' verdicts against the server the sidecar counts."""
    servers = (await cluster.tier.call_admin(number, "GET", "/api/servers")).json()
    if servers is None:
        return None
    count: int = servers[server]["peers_against"]
    return count


async def _peer_verdicts_are(cluster: Cluster, number: int, server: str, count: int) -> bool:
    return await peer_verdicts(cluster, number, server) == count


@scenario
async def test_a_killed_sidecar_is_found_dead_and_refutes_it_after_its_restart(tmp_path: Path) -> None:
    async with running_tier(4, tmp_path) as tier:
        await tier.wait_until(lambda: all_alive(tier))
        await tier.kill(2)
        await tier.wait_until(lambda: is_dead(tier, 2))
        await tier.start(2)
        await tier.wait_until(lambda: all_alive(tier))
        view = await tier.members(2)
        assert view is not None
        assert view["incarnation"] > 0


@scenario
async def test_a_healed_partition_rejoins_under_loss_and_duplicates(tmp_path: Path) -> None:
    async with running_tier(4, tmp_path, seed=3) as tier:
        tier.faults.loss, tier.faults.duplication, tier.faults.delay_ms = 0.1, 0.1, (0, 20)
        await tier.wait_until(lambda: all_alive(tier))
        tier.faults.cut_links = {frozenset((one, other)) for one in (0, 1) for other in (2, 3)}
        await tier.wait_until(lambda: is_dead(tier, 3, observers=(0, 1)))
        tier.faults.cut_links = set()
        await tier.wait_until(lambda: all_alive(tier))


@scenario
async def test_corrupt_datagrams_and_unknown_senders_are_dropped_and_counted(tmp_path: Path) -> None:
    async with running_tier(3, tmp_path, seed=5) as tier:
        await tier.wait_until(lambda: all_alive(tier))
        tier.faults.corruption = 0.5
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            for size in (0, 1, 255, 1400):
                unknown_sender.sendto(b"\x95" * size, tier.peer_addresses[0])
        await tier.wait_until(lambda: dropped_at_least(tier, 0, "address", 4))
        await tier.wait_until(lambda: dropped_at_least(tier, 0, "malformed", 1))
        tier.faults.corruption = 0.0
        await tier.wait_until(lambda: all_alive(tier))


@scenario
async def test_a_paused_sidecar_is_found_dead_and_refutes_it_once_it_resumes(tmp_path: Path) -> None:
    async with running_tier(3, tmp_path, seed=9) as tier:
        await tier.wait_until(lambda: all_alive(tier))
        tier.signal(1, signal.SIGSTOP)
        await tier.wait_until(lambda: is_dead(tier, 1))
        tier.signal(1, signal.SIGCONT)
        await tier.wait_until(lambda: all_alive(tier))


@scenario
async def test_a_server_disabled_at_one_sidecar_is_disabled_across_the_tier_until_enabled(
    tmp_path: Path,
) -> None:
    async with running_tier(3, tmp_path, seed=11) as tier:
        tier.faults.loss = 0.1
        await tier.wait_until(lambda: all_alive(tier))
        assert (await tier.call_admin(0, "PUT", "/api/exclude/s-1")).status == 200
        await tier.wait_until(lambda: disabled_everywhere(tier, {"s-1"}))
        assert (await tier.call_admin(0, "PUT", "/api/include/s-1")).status == 200
        await tier.wait_until(lambda: disabled_everywhere(tier, set()))


# Refuting a suspicion raises the incarnation; with this long period no member is suspected during a test.
WITHOUT_SUSPICIONS = {"on": True, "period_ms": 60_000, "probe_timeout_ms": 30_000}


@contextlib.asynccontextmanager
async def tier_with_persisted_state(
    folder: Path, membership: dict[str, Any] | None = None
) -> AsyncIterator[Tier]:
    """Run three sidecars: 2 has persisted state, 1 a damaged snapshot, 0 none."""
    tier = Tier(3, folder, seed=13)
    tier.config_changes = lambda _: {"state": {"on": True, "every_ms": 50}}
    await tier.open()
    verdict = VerdictUpdate(1, 0, 9, "s-1", WireVerdict.EJECTED, 1, 30_000)
    (folder / "n2").mkdir()
    store = Store(folder / "n2", STATE_BYTES_MAX)
    store.open()
    store.put("plane", msgpack.packb([41, 3]))
    store.put("verdict/1/-1/s-1", msgpack.packb(codec.update_to_list(verdict)))
    store.flush()
    (folder / "n1").mkdir()
    (folder / "n1" / "state-7.snap").write_bytes(snapshot.pack([b"x"])[:-3] + b"junk")
    try:
        for number in range(3):
            await tier.start(number, membership)
        yield tier
    finally:
        await tier.close()


async def view_once_ready(tier: Tier, number: int) -> dict[str, Any]:
    """Return the sidecar's view of the members once ready: it responds before its state is restored."""
    await tier.wait_until(lambda: tier.is_ready(number))
    view = await tier.members(number)
    assert view is not None
    return view


@scenario
async def test_a_start_continues_from_persisted_state(tmp_path: Path) -> None:
    async with tier_with_persisted_state(tmp_path, membership=WITHOUT_SUSPICIONS) as tier:
        view = await view_once_ready(tier, 2)
        assert view["incarnation"] == 42
        assert [1, "s-1", "ejected"] in [verdict[:3] for verdict in view["verdicts"]]


@scenario
async def test_a_restart_after_a_kill_continues_from_what_the_process_persisted(tmp_path: Path) -> None:
    async with tier_with_persisted_state(tmp_path) as tier:
        await view_once_ready(tier, 2)
        await tier.wait_until(lambda: _exists(tmp_path / "n2" / "state-2.log"))
        await tier.kill(2)
        await tier.start(2)
        view = await view_once_ready(tier, 2)
        assert view["incarnation"] >= 43


@scenario
async def test_a_damaged_snapshot_does_not_keep_a_sidecar_from_starting(tmp_path: Path) -> None:
    async with tier_with_persisted_state(tmp_path) as tier:
        await tier.wait_until(lambda: all_alive(tier))
        assert await tier.responds(1)


async def _exists(path: Path) -> bool:
    return await asyncio.to_thread(path.exists)


@scenario
async def test_verdicts_of_one_sidecar_reach_the_others_and_end_with_their_cause(tmp_path: Path) -> None:
    servers = [StubServer(f"a-{number}", "a") for number in range(5)]
    async with running_cluster(tmp_path, 3, servers, "a", membership=MEMBERSHIP_ON) as cluster:
        tier = cluster.tier
        tier.faults.loss = 0.1
        await tier.wait_until(lambda: all_alive(tier))
        servers[0].crash()
        servers[1].failing_classes = {"pay"}
        cluster.load.requests_per_payment = 3
        cluster.load.start([0])  # the others have no traffic of their own
        for number in (1, 2):
            for server in ("a-0", "a-1"):
                await tier.wait_until(partial(_peer_verdicts_are, cluster, number, server, 1))
        await servers[0].restart()
        cluster.discovery.notify_watches()
        for number in (1, 2):
            await tier.wait_until(partial(_peer_verdicts_are, cluster, number, "a-0", 0))


@scenario
async def test_under_30_percent_loss_a_disabled_server_spreads_and_a_death_is_found(tmp_path: Path) -> None:
    async with running_tier(4, tmp_path, seed=23) as tier:
        await tier.wait_until(lambda: all_alive(tier))
        tier.faults.loss = 0.3
        assert (await tier.call_admin(0, "PUT", "/api/exclude/s-1")).status == 200
        await tier.wait_until(lambda: disabled_everywhere(tier, {"s-1"}))
        await tier.kill(3)
        for observer in (0, 1, 2):  # one by one: at this loss a view may change back and forth
            await tier.wait_until(partial(is_dead, tier, 3, observers=(observer,)), 60.0)


def _false_verdicts(origin: int) -> list[bytes]:
    """Return datagrams with verdicts against every server and the zone."""
    updates: list[Update] = [
        VerdictUpdate(origin, 0, 100 + number, f"a-{number}", WireVerdict.EJECTED, 1 << 16, 60_000)
        for number in range(4)
    ]
    zone_verdict = WireVerdict.ZONE_EVACUATED
    updates.append(VerdictUpdate(origin, 0, 200, "a", zone_verdict, 99, 60_000, VerdictScope.ZONE))
    messages = [Message(DatagramKind.DIRECT, 0, 1, NO_ARGUMENT, (update,)) for update in updates]
    return [codec.encode(message).data for message in messages]


@scenario
async def test_a_peer_with_false_verdicts_and_malformed_datagrams_takes_no_server_out_of_use(
    tmp_path: Path,
) -> None:
    servers = [StubServer(f"a-{number}", "a") for number in range(4)]
    async with running_cluster(tmp_path, 3, servers, "a", membership=MEMBERSHIP_ON) as cluster:
        tier = cluster.tier
        await tier.wait_until(lambda: all_alive(tier))
        await tier.kill(2)  # from now on, the test sends in place of member 2
        faulty_peer = tier.proxies[2].transport
        assert faulty_peer is not None
        false_verdicts = _false_verdicts(origin=2)
        malformed = [false_verdicts[0] * 9, b"\xff" * 1400]
        for number in (0, 1):
            for _ in range(20):
                for datagram in [*false_verdicts, *malformed]:
                    faulty_peer.sendto(datagram, tier.peer_addresses[number])
            await tier.wait_until(partial(dropped_at_least, tier, number, "malformed", 20))
            await tier.wait_until(partial(_peer_verdicts_are, cluster, number, "a-3", 1))
        cluster.load.start([0, 1])
        await cluster.load.wait_for_responses(200)
        assert {response.status for response in cluster.load.responses} == {200}
        used = {response.server for response in cluster.load.responses}
        assert used == {server.name for server in servers}
