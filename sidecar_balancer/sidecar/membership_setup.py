"""Creation of the membership bridge, and the balancer's state that it sends to peers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.runtime.engine import Engine

if TYPE_CHECKING:
    from sidecar_balancer.membership.bridge import MembershipBridge


def create_membership(config: SidecarConfig, engine: Engine) -> MembershipBridge | None:
    """Create the bridge if membership is configured; its modules are loaded only then."""
    if config.membership is None or config.membership_address is None:
        return None
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.membership.transport import MembershipTransport

    settings = config.settings
    transport = MembershipTransport(
        config.membership_address,
        list(config.member_addresses),
        settings.member_index,
        config.seed,
        config.membership,
        config.leases,
    )
    return MembershipBridge(
        transport,
        [service_class.name for service_class in settings.classes],
        engine.handle,
        partial(_request_rates, engine),
        partial(_healthy_server_latencies, engine.balancer),
        settings.locality.health_check_interval_us,
    )


def _request_rates(engine: Engine) -> dict[str, float]:
    return engine.balancer.demand_per_s_by_tenant(engine.clock.now())


def _healthy_server_latencies(balancer: Balancer) -> dict[str, float]:
    """Return relative latencies for peers that are starting up.

    The result contains only servers that have responded, have no published verdict and are not ejected.
    """
    return {
        server.name: server.relative_latency
        for server in balancer.ready_servers
        if server.last_response_at >= 0 and not server.published_verdicts and server.ejected_until is None
    }
