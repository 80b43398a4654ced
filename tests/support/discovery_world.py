"""What tests of discovery read inside a sidecar of `loopback.world`."""

from __future__ import annotations

from loopback import World, answer
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.policy.balancer import Balancer


def served(*_: object) -> bytes:
    """The script of a server that answers every request."""
    return answer(200, b"served")


def balancer_of(world: World) -> Balancer:
    """Return the balancer of the world's sidecar."""
    balancer: Balancer = world.sidecar.engine.balancer
    return balancer


def client_of(world: World) -> DiscoveryClient:
    """Return the discovery client of the world's sidecar."""
    client: DiscoveryClient = world.sidecar.discovery
    return client


def pooled_servers(world: World) -> set[str]:
    """Return the names of the servers that the sidecar holds connections or addresses for."""
    return set(world.sidecar.endpoint_pool.endpoints)


def consecutive_failures(world: World) -> int:
    """Return how many polls in a row the balancer has seen fail."""
    return balancer_of(world).components.discovery.failed_calls


def now_us(world: World) -> int:
    """Return the time on the sidecar's clock, in microseconds."""
    now: int = world.sidecar.engine.clock.now()
    return now
