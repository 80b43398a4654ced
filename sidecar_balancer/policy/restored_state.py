"""Restoration of the state that an earlier process of this balancer, or its peers, had learned."""

from __future__ import annotations

from sidecar_balancer.policy.events import StateRestored
from sidecar_balancer.policy.latency import LatencyTracker, clamp_relative_latency
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.locality import Zones
from sidecar_balancer.policy.outliers import EJECTED_MAX_RATIO, OutlierDetector
from sidecar_balancer.policy.slow_start import SlowStart


class StateRestorer:
    """Restorer of state, which it applies only where nothing newer is known."""

    def __init__(
        self,
        zones: Zones,
        load: LoadTracker,
        latency: LatencyTracker,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        self._zones = zones
        self._load = load
        self._latency = latency
        self._slow_start = slow_start
        self._outliers = outliers

    def restore(self, now: int, event: StateRestored) -> None:
        """Take over baselines, capacity, and the latency and ejection of each server."""
        self._latency.restore(event.baselines_us)
        self._slow_start.restore_capacity(now, event.capacity_per_us)
        for server in self._zones.ready_servers:
            restored = event.servers.get(server.name)
            if restored is None or server.last_response_at >= 0 or restored.started_at != server.started_at:
                continue  # responses to this process, or a restart of the server, take precedence
            server.relative_latency = clamp_relative_latency(restored.relative_latency)
            if restored.ejected_us > 0 and server.ejected_until is None:
                # Here the limit applies to the whole list, as the subset is not known yet.
                ratio = EJECTED_MAX_RATIO * len(self._zones.ready_servers) / self._load.subset_size()
                self._outliers.eject(now, server, "restored", ratio)
