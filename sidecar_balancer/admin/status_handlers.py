"""Read-only admin API calls; their JSON is described in docs/on-call.md."""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from sidecar_balancer.admin.disabled_servers import DisabledServers
from sidecar_balancer.admin.lifecycle import Lifecycle
from sidecar_balancer.admin.server import RequestRejectedError
from sidecar_balancer.admin.views import servers_view, state_summary, zones_view
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.proxy.proxy import Proxy, count_by_status
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:  # not imported at run time unless configured: imports cost CPU at start
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.observability.latency import LatencyHistograms
    from sidecar_balancer.observability.logs import LogRateLimiter


class StatusHandlers:
    """Handles the read-only calls; each handler ignores its name and returns the response body."""

    def __init__(
        self,
        engine: Engine,
        proxy: Proxy,
        frontend: Frontend,
        endpoint_pool: EndpointPool,
        discovery: DiscoveryClient,
        disabled_servers: DisabledServers,
        lifecycle: Lifecycle,
        bridge: MembershipBridge | None,
        latencies: LatencyHistograms | None,
    ) -> None:
        self._engine = engine
        self._proxy = proxy
        self._frontend = frontend
        self._endpoint_pool = endpoint_pool
        self._discovery = discovery
        self._disabled_servers = disabled_servers
        self._lifecycle = lifecycle
        self._bridge = bridge
        self._latencies = latencies
        self.log_rate_limiter: LogRateLimiter | None = None

    def ready(self, _: str) -> None:
        """Reject the call unless this process accepts clients."""
        if not self._lifecycle.accepts_clients:
            raise RequestRejectedError(503, "this process takes no clients")

    def members(self, _: str) -> str:
        """Return the tier membership and the servers disabled now."""
        if self._bridge is None:
            raise RequestRejectedError(404, "the peer plane is off")
        return json.dumps(self._bridge.describe() | {"excluded": sorted(self._disabled_servers.effective)})

    def status(self, _: str) -> str:
        """Return a summary of the sidecar's state; latencies in ms."""
        limiter, latencies = self.log_rate_limiter, self._latencies
        view = {
            "ready": self._lifecycle.accepts_clients and not self._frontend.draining,
            "held": len(self._proxy.by_client_request),
            "clients": len(self._frontend.connections),
            "connections_to_servers": self._endpoint_pool.open_count,
            "answered": count_by_status(self._proxy.response_counts),
            "state": state_summary(self._engine.balancer),
            "discovery": asdict(self._discovery.status()),
            "cpu_s": round(time.process_time(), 3),
            "log_lines_suppressed": limiter.suppressed if limiter is not None else 0,
            "latency_ms": latencies.by_class() if latencies is not None else {},
        }
        return json.dumps(view)

    def servers(self, _: str) -> str:
        """Return the state of each listed server; latencies in ms."""
        view = servers_view(self._engine.balancer, self._engine.clock.now())
        for name, server in view.items():
            server["latency_ms"] = self._latencies.for_server(name) if self._latencies is not None else None
        return json.dumps(view)

    def zones(self, _: str) -> str:
        """Return the state of each zone."""
        return json.dumps(zones_view(self._engine.balancer.zones, self._engine.clock.now()))

    def leases(self, _: str) -> str:
        """Return the leases of the tier."""
        view = self._bridge.describe_leases() if self._bridge is not None else None
        if view is None:
            raise RequestRejectedError(404, "there are no duties: the peer plane or its leases are off")
        return json.dumps(view)
