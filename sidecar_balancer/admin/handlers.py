"""The operators' calls at a sidecar's door: what they are told, and the orders that they give."""

from __future__ import annotations

import contextlib
import json
import logging
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict
from functools import partial
from typing import TYPE_CHECKING

from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.admin.server import Operation, RequestRejectedError
from sidecar_balancer.admin.views import servers_view, state_summary, zones_view
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.policy.actions import ApplyDisabledServers
from sidecar_balancer.policy.events import (
    DisabledServersChanged,
    ServerOverrideRequested,
    ZoneOverridesChanged,
)
from sidecar_balancer.policy.types import ZoneOverride
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.runtime.proxy import Proxy, count_by_status
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.observability.latency import LatencyHistograms
    from sidecar_balancer.observability.logs import LogRateLimiter

log = logging.getLogger(__name__)

EVACUATION_KEPT_S = 0.4  # where others take the clients, how long resting connections may end by an answer


class AdminHandlers:
    """Carries out the operators' calls, and follows the orders that are stored."""

    def __init__(
        self,
        engine: Engine,
        proxy: Proxy,
        frontend: Frontend,
        connections: EndpointPool,
        discovery: DiscoveryClient,
        overrides: OperatorOverrides,
        link: MembershipBridge | None,
        latencies: LatencyHistograms | None,
    ) -> None:
        self._engine = engine
        self._proxy = proxy
        self._frontend = frontend
        self._endpoint_pool = connections
        self._discovery = discovery
        self._overrides = overrides
        self._link = link
        self._latencies = latencies
        self.log_rate_limiter: LogRateLimiter | None = None  # what bounds the log
        self.accepts_clients = False
        self.is_shutting_down = False
        self.disabled_servers: frozenset[str] = frozenset()  # exclusions in this sidecar's own orders
        self._excluded: frozenset[str] = frozenset()  # servers left out, as the balancer last said
        self._overrides_fault = False
        self._knows_server = False  # whether the balancer took the call that it was last asked about
        self._evacuated = False
        self._zone_orders: dict[str, ZoneOverride] = {}
        engine.executors[ApplyDisabledServers] = self._exclude

    def routes(self) -> dict[str, tuple[str, Operation]]:
        """The door's calls by name: method and operation."""
        return {
            "ready": ("GET", self._tell_ready),
            "members": ("GET", self._tell_members),
            "status": ("GET", self._tell_status),
            "servers": ("GET", self._tell_servers),
            "zones": ("GET", self._tell_zones),
            "duties": ("GET", self._tell_duties),
            "drain-zone/": ("PUT", partial(self._order_zone, order=ZoneOverride.DRAIN)),
            "pin-zone/": ("PUT", partial(self._order_zone, order=ZoneOverride.NEVER_EVACUATE)),
            "free-zone/": ("PUT", partial(self._order_zone, order=None)),
            "exclude/": ("PUT", partial(self._ask_exclusion, excluded=True)),
            "include/": ("PUT", partial(self._ask_exclusion, excluded=False)),
            "evacuate": ("PUT", lambda _: self._order(self._overrides.start_drain)),
            "rejoin": ("PUT", lambda _: self._order(self._overrides.end_drain)),
        }

    # -- What they are told -------------------------------------------------------------------------------

    def _tell_ready(self, _: str) -> None:
        if not self.accepts_clients:
            raise RequestRejectedError(503, "this process takes no clients")

    def _tell_members(self, _: str) -> str:
        if self._link is None:
            raise RequestRejectedError(404, "the peer plane is off")
        return json.dumps(self._link.describe() | {"excluded": sorted(self._excluded)})

    def _tell_status(self, _: str) -> str:
        """The whole of this sidecar at a glance; latencies in ms."""
        limiter = self.log_rate_limiter
        told = {
            "ready": self.accepts_clients and not self._frontend.draining,
            "held": len(self._proxy.by_client_request),
            "clients": len(self._frontend.connections),
            "connections_to_servers": self._endpoint_pool.open_count,
            "answered": count_by_status(self._proxy.response_counts),
            "state": state_summary(self._engine.balancer),
            "discovery": asdict(self._discovery.status()),
            "cpu_s": round(time.process_time(), 3),
            "log_lines_suppressed": limiter.suppressed if limiter is not None else 0,
            "latency_ms": self._latencies.by_class() if self._latencies is not None else {},
        }
        return json.dumps(told)

    def _tell_servers(self, _: str) -> str:
        told = servers_view(self._engine.balancer, self._engine.clock.now())
        for name, server in told.items():
            server["latency_ms"] = self._latencies.for_server(name) if self._latencies is not None else None
        return json.dumps(told)

    def _tell_zones(self, _: str) -> str:
        return json.dumps(zones_view(self._engine.balancer.zones, self._engine.clock.now()))

    def _tell_duties(self, _: str) -> str:
        told = self._link.describe_leases() if self._link is not None else None
        if told is None:
            raise RequestRejectedError(404, "there are no duties: the peer plane or its leases are off")
        return json.dumps(told)

    # -- What they order ----------------------------------------------------------------------------------

    def _order_zone(self, zone: str, order: ZoneOverride | None) -> None:
        zones = self._engine.balancer.zones
        if not zones.enabled:
            raise RequestRejectedError(404, "zones are off")
        if zone not in zones.by_name:
            raise RequestRejectedError(404, "no such zone is listed")
        with _storing():
            self._overrides.set_zone_override(zone, order.value if order is not None else None)
        self.apply_stored_overrides()

    def _ask_exclusion(self, server: str, excluded: bool) -> None:
        """Yes once the order is stored and in force; where it can't be stored, nothing has changed."""
        with _storing():
            (self._overrides.disable_server if excluded else self._overrides.enable_server)(server)
        self._knows_server = False
        self._engine.handle(ServerOverrideRequested(server, excluded))
        if not self._knows_server:
            with _storing():
                self._overrides.enable_server(server)
            raise RequestRejectedError(404, "no such server was ever listed")

    def _order(self, store: Callable[[], None]) -> None:
        with _storing():
            store()
        self.apply_stored_overrides()

    # -- The orders in force ------------------------------------------------------------------------------

    def apply_stored_overrides(self) -> None:
        """Follow what is stored; of two processes in an upgrade either may have been told."""
        try:
            excluded, evacuated = self._overrides.load()
        except OSError as fault:
            if not self._overrides_fault:
                log.error("the operators' orders can't be read, what is in force stays: %s", fault)
            self._overrides_fault = True
            return
        self._overrides_fault = False
        changed, self.disabled_servers = excluded != self.disabled_servers, excluded
        if changed and self._link is not None:
            self._link.set_disabled_servers(excluded)
        self.apply_disabled_servers()
        self._hear_zone_orders()
        if evacuated == self._evacuated or self.is_shutting_down:
            return
        self._evacuated = evacuated
        log.info("evacuated" if evacuated else "back at work")
        if evacuated:
            self._frontend.drain(EVACUATION_KEPT_S)
        else:
            self._frontend.cancel_drain()

    def apply_disabled_servers(self) -> None:
        """The module hears this sidecar's own orders and the bans that the plane holds for the tier."""
        wanted = self.disabled_servers | (
            self._link.disabled_servers() if self._link is not None else frozenset()
        )
        if wanted != self._excluded:
            self._engine.handle(DisabledServersChanged(wanted))

    def _hear_zone_orders(self) -> None:
        if not self._engine.balancer.zones.enabled:
            return
        try:
            stored = self._overrides.zone_overrides()
        except OSError:
            return  # the orders' own reading has said so
        known = {each.value: each for each in ZoneOverride}
        orders = {zone: known[order] for zone, order in stored.items() if order in known}
        if orders != self._zone_orders:
            self._zone_orders = orders
            log.info("zones ordered: %s", ", ".join(f"{z} {o}" for z, o in sorted(stored.items())) or "none")
            self._engine.handle(ZoneOverridesChanged(orders))

    def _exclude(self, action: ApplyDisabledServers) -> None:
        self._knows_server = True
        if action.servers != self._excluded:
            self._excluded = action.servers
            self._endpoint_pool.set_disabled(action.servers)
            log.info("excluded now: %s", ", ".join(sorted(action.servers))[:500] or "none")


@contextlib.contextmanager
def _storing() -> Iterator[None]:
    try:
        yield
    except OSError as fault:
        raise RequestRejectedError(500, f"the order could not be stored: {fault}") from None
