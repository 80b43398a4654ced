"""What the operators see of a balancer: plain JSON-ready objects.  Nothing is decided here."""

from __future__ import annotations

from typing import Any

from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.locality import Zone, Zones


def zones_view(zones: Zones, now: int) -> dict[str, Any]:
    """Each zone's state and the share of requests that leaves the own one (docs/zones.md); `now` in us."""
    told = {"on": zones.enabled, "here": zones.own_zone, "probing": zones.is_health_checker}
    if not zones.enabled:
        return told
    each = {name: _zone(zones, zone, now) for name, zone in sorted(zones.by_name.items())}
    return told | {
        "spill": round(1.0 - zones.load_shares()[0], 3),
        "panic": zones.is_panicking,
        "zones": each,
    }


def _zone(zones: Zones, zone: Zone, now: int) -> dict[str, Any]:
    return {
        "servers": zone.ready_count,
        "failing": len(zone.failing),
        "failed_share": round(zones.failure_ratio(now, zone), 3),
        "left_for_ms": None if zone.evacuated_at is None else (now - zone.evacuated_at) // 1000,
        "ramp": round(zones.recovery_weight(now, zone.recovering_since), 3),
        "peers_left": zone.peers_evacuated,
        "order": zone.override.value if zone.override else None,
    }


def state_summary(balancer: Balancer) -> str:
    """The state behind refusals, for the operators' log."""
    ready = balancer.ready_servers
    return (
        f"load {balancer.load} of window {balancer.window:.1f}, "
        f"aim spent {balancer.typical_latency_ratio:.2f}, "
        f"late {balancer.late_ratio:.2f}; of {len(ready)} ready {len(balancer.ejected_servers)} ejected, "
        f"{sum(balancer.is_warming_up(each) for each in ready)} cold, "
        f"{len(balancer.disabled_servers)} excluded"
    )


def request_rates_per_s(balancer: Balancer, now: int) -> dict[str, float]:
    """What the balancer was asked of late by tenant, requests a second: for the others of the tier."""
    return balancer.demand_per_s_by_tenant(now)


def servers_view(balancer: Balancer, now: int) -> dict[str, dict[str, Any]]:
    """Each server on the list and what is held of it; times in ms."""
    return {each.name: _server(balancer, each, now) for each in balancer.servers.values()}


def _server(balancer: Balancer, server: Server, now: int) -> dict[str, Any]:
    until = server.ejected_until
    return {
        "zone": server.zone,
        "state": server.state.value,
        "excluded": server.disabled,
        "in_flight": server.in_flight,
        "pace": round(server.relative_latency, 2),
        "warmth": round(balancer.slow_start_weight(server), 2),
        "strikes": server.consecutive_failures,
        "ejected_for_ms": None if until is None else max(until - now, 0) // 1000,
        "peers_against": max(server.peer_verdicts.values(), default=0),
        "told": {name or "all": verdict.name.lower() for name, verdict in server.published_verdicts.items()},
    }
