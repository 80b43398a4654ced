"""What tests of discovery read inside a sidecar of `loopback.world`."""

from __future__ import annotations

from operator import attrgetter

from loopback import World, answer
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.policy.balancer import Balancer


def served(*_: object) -> bytes:
    """The script of a server that answers every request."""
    return answer(200, b"served")


def balancer_of(world: World) -> Balancer:
    """Return the balancer of the world's sidecar."""
    balancer: Balancer = attrgetter("_engine.balancer")(world.sidecar)
    return balancer


def client_of(world: World) -> DiscoveryClient:
    """Return the discovery client of the world's sidecar."""
    client: DiscoveryClient = attrgetter("_discovery")(world.sidecar)
    return client


def pooled_servers(world: World) -> set[str]:
    """Return the names of the servers that the sidecar holds connections or addresses for."""
    return set(attrgetter("_endpoint_pool._endpoints")(world.sidecar))


def consecutive_failures(world: World) -> int:
    """Return how many polls in a row the balancer has seen fail."""
    return balancer_of(world).components.discovery.failed_calls


def now_us(world: World) -> int:
    """Return the time on the sidecar's clock, in microseconds."""
    now: int = attrgetter("_engine.clock.now")(world.sidecar)()
    return now
