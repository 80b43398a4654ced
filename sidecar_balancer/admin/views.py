"""Views of a balancer for operators: JSON-ready objects with the field names of the admin API."""

from __future__ import annotations

from typing import Any

from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.locality import Zone, Zones

_US_PER_MS = 1_000


def zones_view(zones: Zones, now_us: int) -> dict[str, Any]:
    """Return the state of each zone and the share of requests that leave the own zone (docs/zones.md)."""
    view = {"on": zones.enabled, "here": zones.own_zone, "probing": zones.is_health_checker}
    if not zones.enabled:
        return view
    return view | {
        "spill": round(1.0 - zones.load_shares()[0], 3),
        "panic": zones.is_panicking,
        "zones": {name: _zone_view(zones, zone, now_us) for name, zone in sorted(zones.by_name.items())},
    }


def _zone_view(zones: Zones, zone: Zone, now_us: int) -> dict[str, Any]:
    evacuated_ms = None if zone.evacuated_at is None else (now_us - zone.evacuated_at) // _US_PER_MS
    return {
        "servers": zone.ready_count,
        "failing": len(zone.failing),
        "failed_share": round(zones.failure_ratio(now_us, zone), 3),
        "left_for_ms": evacuated_ms,
        "ramp": round(zones.recovery_weight(now_us, zone.recovering_since), 3),
        "peers_left": zone.peers_evacuated,
        "order": zone.override.value if zone.override else None,
    }


def state_summary(balancer: Balancer) -> str:
    """Return a one-line summary of the state that explains rejected requests."""
    ready = balancer.ready_servers
    warming_up = sum(balancer.is_warming_up(server) for server in ready)
    return (
        f"load {balancer.load} of window {balancer.window:.1f}, "
        f"aim spent {balancer.median_latency_ratio:.2f}, "
        f"late {balancer.late_ratio:.2f}; of {len(ready)} ready {len(balancer.ejected_servers)} ejected, "
        f"{warming_up} cold, "
        f"{len(balancer.disabled_servers)} excluded"
    )


def servers_view(balancer: Balancer, now_us: int) -> dict[str, dict[str, Any]]:
    """Return the state of each listed server by name; times in ms."""
    return {server.name: _server_view(balancer, server, now_us) for server in balancer.servers.values()}


def _server_view(balancer: Balancer, server: Server, now_us: int) -> dict[str, Any]:
    ejected_ms = None
    if server.ejected_until is not None:
        ejected_ms = max(server.ejected_until - now_us, 0) // _US_PER_MS
    verdicts = {name or "all": verdict.value for name, verdict in server.published_verdicts.items()}
    return {
        "zone": server.zone,
        "state": server.state.value,
        "excluded": server.disabled,
        "in_flight": server.in_flight,
        "pace": round(server.relative_latency, 2),
        "warmth": round(balancer.slow_start_weight(server), 2),
        "strikes": server.consecutive_failures,
        "ejected_for_ms": ejected_ms,
        "peers_against": max(server.peer_verdicts.values(), default=0),
        "told": verdicts,
    }
