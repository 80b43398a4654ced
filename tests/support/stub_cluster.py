"""A tier of sidecar processes with stub servers, discovery and clients in the test's own process."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from harness import Tier, format_address
from load_generator import LoadGenerator
from stub_servers import GUARANTEES, StubDiscovery, StubServer

SERVICE_CLASSES = [
    {"name": "look", "giveUpUs": 2_000_000, "promiseUs": 1_000_000, "repeat": "read_like", "worth": 3.0},
    {
        "name": "pay",
        "giveUpUs": 3_000_000,
        "promiseUs": 1_500_000,
        "repeat": "non_idempotent",
        "worth": 10.0,
    },
]
LIMITS = {"sendCap": 4, "mayCancel": True, "secondCopies": True, "probing": True, "dialTimeoutUs": 250_000}


def settings(number: int, size: int, zone: str = "a", **changes: Any) -> dict[str, Any]:
    """Return the settings of sidecar `number` of `size`, in their wire form."""
    return {
        "lanes": SERVICE_CLASSES,
        "bounds": LIMITS,
        "guarantees": GUARANTEES,
        "me": number,
        "groupSize": size,
        "zone": zone,
        "zones": ["a", "b"],
        "discovery": "on_request",
    } | changes


@dataclass
class Cluster:
    """Tier with its servers, its discovery service and its clients."""

    tier: Tier
    servers: list[StubServer]
    discovery: StubDiscovery
    load: LoadGenerator

    def servers_in(self, zone: str) -> list[StubServer]:
        """Return the servers of one zone."""
        return [server for server in self.servers if server.zone == zone]

    def executed_twice(self) -> set[str]:
        """Return the call ids of non-idempotent requests executed more than once, over all servers."""
        executions: Counter[str] = Counter()
        for server in self.servers:
            executions.update(server.executions)
        return {call_id for call_id, count in executions.items() if count > 1}

    async def crash_zone(self, name: str) -> None:
        """Crash every server of a zone."""
        for server in self.servers_in(name):
            server.crash()

    async def restart_zone(self, name: str, notify: bool = True) -> None:
        """Restart every server of a zone; `notify`: discovery reports the restarts."""
        for server in self.servers_in(name):
            await server.restart()
        if notify:
            self.discovery.notify_watches()

    async def zones(self, number: int) -> dict[str, Any]:
        """Return sidecar `number`'s view of its zones; empty while it does not respond."""
        return (await self.tier.call_admin(number, "GET", "/api/zones")).json() or {}

    async def zone_evacuated(self, zone: str, sidecars: Iterable[int] | None = None) -> bool:
        """Return whether these sidecars (None: all) have evacuated the zone."""
        views = [await self._zone(number, zone) for number in sidecars or self.tier.processes]
        return all(view is not None and view["left_for_ms"] is not None for view in views)

    async def zone_in_use(self, zone: str) -> bool:
        """Return whether every sidecar responds and none has the zone evacuated."""
        views = [await self._zone(number, zone) for number in self.tier.processes]
        return all(view is not None and view["left_for_ms"] is None for view in views)

    async def _zone(self, number: int, zone: str) -> dict[str, Any] | None:
        view: dict[str, Any] | None = (await self.zones(number)).get("zones", {}).get(zone)
        return view


@contextlib.asynccontextmanager
async def running_cluster(
    folder: Path,
    size: int,
    servers: list[StubServer],
    zones: str = "aabb",
    seed: int = 7,
    membership: dict[str, Any] | None = None,
    clients: int = 4,
    config_changes: dict[str, Any] | None = None,
    setting_changes: dict[str, Any] | None = None,
    program_folder: Path | None = None,
) -> AsyncIterator[Cluster]:
    """Run a tier of `size` sidecars (sidecar i in zone `zones[i]`) with these servers, all ready on entry."""
    discovery = StubDiscovery(servers)
    for server in servers:
        await server.start()
    await discovery.start()
    tier = Tier(size, folder, seed)
    tier.program_folder = program_folder or tier.program_folder

    def changes_of(number: int) -> dict[str, Any]:
        zone = zones[number % len(zones)]
        return {
            "discovery": format_address(discovery.address),
            "known": discovery.endpoint_list(),
            "settings": settings(number, size, zone, **(setting_changes or {})),
            "peer_plane": membership if membership is not None else {"on": False},
        } | (config_changes or {})

    tier.config_changes = changes_of
    await tier.open()
    cluster = Cluster(tier, servers, discovery, LoadGenerator(tier, clients, seed=seed))
    try:
        for number in range(size):
            await tier.start(number)
        await tier.wait_until(tier.all_ready)
        yield cluster
    finally:
        await cluster.load.stop()
        await tier.close()
        discovery.stop()
        for server in servers:
            server.crash()
