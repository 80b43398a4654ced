"""Zones across sidecar processes: failed and unresponsive zones, operator overrides, recovery
(docs/zones.md)."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from harness import MEMBERSHIP_ON, scenario
from stub_cluster import running_cluster
from stub_servers import StubServer

LOCALITY = {"locality": {"on": True, "ramp_ms": 2000}}


@pytest.fixture
def servers() -> list[StubServer]:
    """Return three servers in each of two zones."""
    return [StubServer(f"{zone}-{number}", zone) for zone in "ab" for number in range(3)]


@scenario
async def test_a_failed_zone_is_evacuated_and_recovers_without_overload(
    tmp_path: Path, servers: list[StubServer]
) -> None:
    async with running_cluster(
        tmp_path, 2, servers, "ab", membership=MEMBERSHIP_ON, config_changes=LOCALITY
    ) as cluster:
        cluster.load.start()
        await cluster.load.wait_for_responses(300)
        await cluster.crash_zone("b")
        await cluster.tier.wait_until(lambda: cluster.zone_evacuated("b", [1]))  # sidecar 0 is in zone a
        evacuated_s = asyncio.get_running_loop().time()
        await cluster.load.wait_for_responses(300)
        responses = cluster.load.since(evacuated_s)
        assert {response.server[0] for response in responses if response.status == 200} == {"a"}
        await cluster.restart_zone("b")
        await cluster.tier.wait_until(lambda: cluster.zone_in_use("b"))
        returned = cluster.servers_in("b")
        before = sum(server.response_count for server in returned)
        while sum(server.response_count for server in returned) < before + 100:
            await cluster.load.wait_for_responses(20)
        peak_overload_ratio = max(server.peak_overload_ratio for server in returned)
        assert peak_overload_ratio <= 1.0
        assert peak_overload_ratio > 0.0  # it was measured while the servers warmed up


@scenario
async def test_an_unresponsive_zone_is_evacuated_and_its_requests_succeed_elsewhere(
    tmp_path: Path, servers: list[StubServer]
) -> None:
    async with running_cluster(tmp_path, 1, servers, "a", config_changes=LOCALITY) as cluster:
        cluster.load.send_only_idempotent()
        cluster.load.start()
        await cluster.load.wait_for_responses(200)
        for server in cluster.servers_in("a"):
            server.unresponsive = True
        await cluster.tier.wait_until(lambda: cluster.zone_evacuated("a"))
        evacuated_s = asyncio.get_running_loop().time()
        await cluster.load.wait_for_responses(200)
        assert {response.status for response in cluster.load.since(evacuated_s)} == {200}


@scenario
async def test_an_unknown_zone_cannot_be_drained(tmp_path: Path, servers: list[StubServer]) -> None:
    async with running_cluster(tmp_path, 1, servers, "a", config_changes=LOCALITY) as cluster:
        assert (await cluster.tier.call_admin(0, "PUT", "/api/drain-zone/nowhere")).status == 404


@scenario
async def test_a_drained_zone_gets_no_requests_and_stays_drained_after_a_restart(
    tmp_path: Path, servers: list[StubServer]
) -> None:
    async with running_cluster(tmp_path, 1, servers, "a", config_changes=LOCALITY) as cluster:
        assert (await cluster.tier.call_admin(0, "PUT", "/api/drain-zone/a")).status == 200
        cluster.load.start()
        await cluster.load.wait_for_responses(200)
        responses = cluster.load.responses
        assert {response.server[0] for response in responses if response.status == 200} == {"b"}
        await cluster.tier.restart(0)
        assert (await cluster.zones(0))["zones"]["a"]["order"] == "drain"


@scenario
async def test_a_zone_released_from_draining_gets_requests_and_a_sticky_one_is_not_evacuated(
    tmp_path: Path, servers: list[StubServer]
) -> None:
    async with running_cluster(tmp_path, 1, servers, "a", config_changes=LOCALITY) as cluster:
        assert (await cluster.tier.call_admin(0, "PUT", "/api/drain-zone/a")).status == 200
        cluster.load.start()
        await cluster.load.wait_for_responses(200)
        await cluster.tier.restart(0)
        assert (await cluster.tier.call_admin(0, "PUT", "/api/free-zone/a")).status == 200
        assert (await cluster.tier.call_admin(0, "PUT", "/api/pin-zone/b")).status == 200
        released_s = asyncio.get_running_loop().time()
        while not any(response.server.startswith("a") for response in cluster.load.since(released_s)):
            await cluster.load.wait_for_responses(50)
        await cluster.crash_zone("b")
        await cluster.load.wait_for_responses(300)
        zone = (await cluster.zones(0))["zones"]["b"]
        assert zone["order"] == "pin"
        assert zone["left_for_ms"] is None


@scenario
async def test_a_flapping_zone_is_evacuated_each_time_and_no_request_fails(
    tmp_path: Path, servers: list[StubServer]
) -> None:
    async with running_cluster(tmp_path, 1, servers, "b", config_changes=LOCALITY) as cluster:
        cluster.load.send_only_idempotent()
        cluster.load.start()
        await cluster.load.wait_for_responses(200)
        for _ in range(3):
            await cluster.crash_zone("b")
            await cluster.tier.wait_until(lambda: cluster.zone_evacuated("b"))
            await cluster.load.wait_for_responses(50)
            await cluster.restart_zone("b", notify=False)
            await cluster.tier.wait_until(lambda: cluster.zone_in_use("b"))
            await cluster.load.wait_for_responses(50)
        await cluster.load.stop()
        assert {response.status for response in cluster.load.responses} == {200}
        log = cluster.tier.log(0)
        assert log.count('"zone_evacuated"') == log.count('"zone_recovered"') == 3


@scenario
async def test_the_last_zone_stays_in_use_though_it_fails(tmp_path: Path, servers: list[StubServer]) -> None:
    async with running_cluster(tmp_path, 1, servers, "a", config_changes=LOCALITY) as cluster:
        cluster.load.start()
        await cluster.load.wait_for_responses(100)
        await cluster.crash_zone("a")
        await cluster.tier.wait_until(lambda: cluster.zone_evacuated("a"))
        await cluster.crash_zone("b")
        await cluster.load.wait_for_responses(100)
        assert not await cluster.zone_evacuated("b")
        await cluster.restart_zone("b")
        restarted_s = asyncio.get_running_loop().time()
        while not any(response.status == 200 for response in cluster.load.since(restarted_s)):
            await cluster.load.wait_for_responses(10)
