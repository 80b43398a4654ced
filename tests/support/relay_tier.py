"""A fake registry, relays in front of it and sidecars' discovery clients, in one process on one clock."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from loopback import wait_until
from registry import FakeRegistry, entry
from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import EndpointList, ListUpdate
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.observability.logs import LogConfig
from sidecar_balancer.relay.app import Relay
from sidecar_balancer.relay.config import RelayConfig, RelayLimits

CHANGE_IN_FORCE_LIMIT_S = 6.0  # from a change at the registry until every sidecar that reaches a relay has it
LIMITS = RelayLimits(snapshots=2)
READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

_ANY_PORT = ("127.0.0.1", 0)
_RETRY_S = 1.0  # a sidecar's delay before it polls again after all sources failed


def list_request(**query: object) -> bytes:
    """Return the bytes of a request for the list."""
    text = "&".join(f"{name}={value}" for name, value in query.items())
    return f"GET /registry/instances{'?' if text else ''}{text} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


class SidecarClient:
    """Discovery client of a sidecar, and its endpoint list."""

    def __init__(self, sources: list[Address], index: int) -> None:
        self.endpoints = EndpointList()
        self.versions: list[int] = []
        self.failure_count = 0
        self._retry: asyncio.TimerHandle | None = None
        self.client = DiscoveryClient(sources, index, self._on_watch_event)
        self.client.set_watching(True)

    def _on_watch_event(self, event: WatchEvent) -> None:
        if not isinstance(event, ListUpdate):
            self.failure_count += 1
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(_RETRY_S, self.client.set_watching, True)
            return
        self.endpoints.apply(event)
        self.versions.append(event.version)

    async def end(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
        await self.client.close()

    def status_of(self, name: str) -> str | None:
        """Return a server's status in the endpoint list; None if it is not listed."""
        listed = {member["name"]: member["status"] for member in self.endpoints.snapshot()["endpoints"]}
        return listed.get(name)


class RelayTier:
    """Registry, relays in front of it, and sidecars that prefer the relays in different orders."""

    def __init__(self, registry: FakeRegistry) -> None:
        self.registry = registry
        self.relays: list[Relay] = []
        self.sidecars: list[SidecarClient] = []
        self._stops: list[asyncio.Event] = []
        self._running: list[asyncio.Task[None]] = []

    async def add_relay(
        self, upstreams: list[Address], listen: Address = _ANY_PORT, limits: RelayLimits = LIMITS
    ) -> Relay:
        config = RelayConfig(listen, tuple(upstreams), None, limits, LogConfig())
        relay, stop = Relay(config), asyncio.Event()
        self.relays.append(relay)
        self._stops.append(stop)
        self._running.append(asyncio.create_task(relay.run(stop)))
        await wait_until(lambda: relay.is_serving)
        return relay

    def add_sidecar(self, sources: list[Address]) -> SidecarClient:
        sidecar = SidecarClient(sources, self.registry.index)
        self.sidecars.append(sidecar)
        return sidecar

    def add_sidecars(self, count: int) -> None:
        sources = [relay.address() for relay in self.relays]
        for number in range(count):
            first = number % len(sources)
            self.add_sidecar(sources[first:] + sources[:first])

    async def kill_relay(self, number: int) -> Address:
        """Stop a relay; return the address that it had."""
        address = self.relays[number].address()
        self._stops[number].set()
        await self._running[number]
        return address

    def snapshots_sent(self) -> int:
        return sum(relay.service.counters.snapshots for relay in self.relays)

    def requests_served(self) -> int:
        return sum(relay.service.counters.calls for relay in self.relays)

    async def wait_until_in_force(
        self, name: str, status: str | None, within_s: float = CHANGE_IN_FORCE_LIMIT_S
    ) -> None:
        """Wait until every sidecar lists the server with the status, which must take at most `within_s`."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await wait_until(lambda: all(sidecar.status_of(name) == status for sidecar in self.sidecars))
        assert loop.time() - started_at <= within_s

    async def end(self) -> None:
        for sidecar in self.sidecars:
            await sidecar.end()
        for stop in self._stops:
            stop.set()
        await asyncio.gather(*self._running)
        await self.registry.end()


@contextlib.asynccontextmanager
async def relay_tier(
    relays: int, sidecars: int = 6, limits: RelayLimits = LIMITS
) -> AsyncIterator[RelayTier]:
    """Run a tier whose relays have the list and whose sidecars have received a first update."""
    registry = FakeRegistry([entry("s-0"), entry("s-1")])
    await registry.start()
    tier = RelayTier(registry)
    try:
        for _ in range(relays):
            await tier.add_relay([registry.address], limits=limits)
        await wait_until(lambda: all(relay.service.status()["index"] is not None for relay in tier.relays))
        tier.add_sidecars(sidecars)
        registry.change(entry("s-0", weight=2.0))
        await wait_until(lambda: all(sidecar.versions for sidecar in tier.sidecars))
        yield tier
    finally:
        await tier.end()
