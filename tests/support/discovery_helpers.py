"""Accessors to the internals of a sidecar of `loopback.running_sidecar`, for the tests of discovery."""

from __future__ import annotations

from loopback import SidecarEnvironment, http_response
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.policy.balancer import Balancer


def served(*_: object) -> bytes:
    """Return the response of a server that is up."""
    return http_response(200, b"served")


def balancer_of(environment: SidecarEnvironment) -> Balancer:
    """Return the balancer of the environment's sidecar."""
    balancer: Balancer = environment.sidecar.engine.balancer
    return balancer


def client_of(environment: SidecarEnvironment) -> DiscoveryClient:
    """Return the discovery client of the environment's sidecar."""
    client: DiscoveryClient = environment.sidecar.discovery
    return client


def pooled_servers(environment: SidecarEnvironment) -> set[str]:
    """Return the names of the servers that the sidecar holds connections or addresses for."""
    return set(environment.sidecar.endpoint_pool.endpoints)


def consecutive_failures(environment: SidecarEnvironment) -> int:
    """Return how many polls in a row the balancer has seen fail."""
    return balancer_of(environment).components.discovery.failed_calls


def now_us(environment: SidecarEnvironment) -> int:
    """Return the time on the sidecar's clock, in microseconds."""
    now: int = environment.sidecar.engine.clock.now()
    return now
