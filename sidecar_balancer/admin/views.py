"""What the operators see of a balancer: plain JSON-ready objects.  Nothing is decided here."""

from __future__ import annotations

from collections import Counter
from typing import Any

from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.locality import Zone, Zones


def zones_view(zones: Zones, now: int) -> dict[str, Any]:
    """Each zone's state and the share of requests that leaves the own one (docs/zones.md); `now` in us."""
    told = {"on": zones.on, "here": zones.here, "probing": zones.probing}
    if not zones.on:
        return told
    each = {name: _zone(zones, zone, now) for name, zone in sorted(zones.by_name.items())}
    return told | {"spill": round(1.0 - zones.reckon()[0], 3), "panic": zones.panicking, "zones": each}


def _zone(zones: Zones, zone: Zone, now: int) -> dict[str, Any]:
    return {
        "servers": zone.listed,
        "failing": len(zone.failing),
        "failed_share": round(zones.failed(now, zone), 3),
        "left_for_ms": None if zone.left_at is None else (now - zone.left_at) // 1000,
        "ramp": round(zones.ramp(now, zone.ramp_at), 3),
        "peers_left": zone.told,
        "order": zone.order.value if zone.order else None,
    }


def state_summary(balancer: Balancer) -> str:
    """The state behind refusals, for the operators' log."""
    ready = balancer.ready
    return (
        f"load {balancer._load()} of window {balancer._window:.1f}, aim spent {balancer._spent:.2f}, "
        f"late {balancer._late:.2f}; of {len(ready)} ready {len(balancer._ejected)} ejected, "
        f"{sum(balancer._is_cold(each) for each in ready)} cold, {len(balancer._excluded)} excluded"
    )


def request_rates_per_s(balancer: Balancer, now: int) -> dict[str, float]:
    """What the balancer was asked of late by tenant, requests a second: for the others of the tier."""
    asked = Counter[str]()
    for (_, tenant), rate in balancer.mix.items():
        asked[tenant or ""] += int(rate.per_us(now) * 1e8)
    return {tenant: hundredths / 100.0 for tenant, hundredths in asked.items()}


def servers_view(balancer: Balancer, now: int) -> dict[str, dict[str, Any]]:
    """Each server on the list and what is held of it; times in ms."""
    return {each.name: _server(balancer, each, now) for each in balancer.servers.values()}


def _server(balancer: Balancer, server: Server, now: int) -> dict[str, Any]:
    until = server.ejected_until
    return {
        "zone": server.zone,
        "state": server.state.value,
        "excluded": server.excluded,
        "in_flight": server.in_flight,
        "pace": round(server.pace, 2),
        "warmth": round(balancer._slow_start_weight(server), 2),
        "strikes": server.strikes,
        "ejected_for_ms": None if until is None else max(until - now, 0) // 1000,
        "peers_against": max(server.doubts.values(), default=0),
        "told": {name or "all": verdict.name.lower() for name, verdict in server.told.items()},
    }
