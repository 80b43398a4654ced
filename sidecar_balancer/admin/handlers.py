"""The admin API: its routes, and the calls that store operators' overrides and apply them."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Iterator
from functools import partial
from typing import TYPE_CHECKING

from sidecar_balancer.admin.disabled_servers import DisabledServers
from sidecar_balancer.admin.drain import SidecarDrain
from sidecar_balancer.admin.lifecycle import Lifecycle
from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.admin.server import RequestRejectedError, Route
from sidecar_balancer.admin.status_handlers import StatusHandlers
from sidecar_balancer.admin.zone_overrides import ZoneOverrides
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.policy.types import ZoneOverride
from sidecar_balancer.proxy.proxy import Proxy
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:  # loaded only where configured: starts cost CPU
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.observability.latency import LatencyHistograms

log = logging.getLogger(__name__)


class AdminHandlers:
    """Handles the calls of the admin API, and follows the overrides that are stored."""

    def __init__(
        self,
        engine: Engine,
        proxy: Proxy,
        frontend: Frontend,
        endpoint_pool: EndpointPool,
        discovery: DiscoveryClient,
        overrides: OperatorOverrides,
        bridge: MembershipBridge | None,
        latencies: LatencyHistograms | None,
    ) -> None:
        self.lifecycle = Lifecycle()
        self.overrides = overrides
        self.disabled_servers = DisabledServers(engine, endpoint_pool, bridge)
        self._zone_overrides = ZoneOverrides(engine)
        self._drain = SidecarDrain(frontend, self.lifecycle)
        self.status = StatusHandlers(
            engine,
            proxy,
            frontend,
            endpoint_pool,
            discovery,
            self.disabled_servers,
            self.lifecycle,
            bridge,
            latencies,
        )
        self._load_fails = False

    def routes(self) -> dict[str, Route]:
        """Return the calls by their path below /api/; a path that ends in a slash takes a name after it."""
        status, overrides = self.status, self.overrides
        return {
            "ready": Route("GET", status.ready),
            "members": Route("GET", status.members),
            "status": Route("GET", status.status),
            "servers": Route("GET", status.servers),
            "zones": Route("GET", status.zones),
            "duties": Route("GET", status.leases),
            "drain-zone/": Route("PUT", partial(self._override_zone, override=ZoneOverride.DRAIN)),
            "pin-zone/": Route("PUT", partial(self._override_zone, override=ZoneOverride.NEVER_EVACUATE)),
            "free-zone/": Route("PUT", partial(self._override_zone, override=None)),
            "exclude/": Route("PUT", partial(self._override_server, disabled=True)),
            "include/": Route("PUT", partial(self._override_server, disabled=False)),
            "evacuate": Route("PUT", partial(self._override_drain, store=overrides.start_drain)),
            "rejoin": Route("PUT", partial(self._override_drain, store=overrides.end_drain)),
        }

    def apply_stored_overrides(self) -> None:
        """Follow what is stored; during an upgrade the other process may have stored it."""
        try:
            stored = self.overrides.load()
        except OSError as error:
            self._report_load_failure(error)
            return
        self._load_fails = False
        self.disabled_servers.follow(stored.disabled_servers)
        self._follow_zone_overrides()
        self._drain.follow(stored.is_draining)

    def _report_load_failure(self, error: OSError) -> None:
        if not self._load_fails:
            log.error(
                "the operators' overrides can't be read, those in force stay: %s",
                error,
                extra={"event": "overrides_read_failed"},
            )
        self._load_fails = True

    def _follow_zone_overrides(self) -> None:
        if not self._zone_overrides.zones.enabled:
            return
        try:
            stored = self.overrides.zone_overrides()
        except OSError:
            return  # reading the other overrides reports a fault of the folder
        self._zone_overrides.follow(stored)

    def _override_zone(self, zone: str, override: ZoneOverride | None) -> None:
        zones = self._zone_overrides.zones
        if not zones.enabled:
            raise RequestRejectedError(404, "zones are off")
        if zone not in zones.by_name:
            raise RequestRejectedError(404, "no such zone is listed")
        with _storing():
            self.overrides.set_zone_override(zone, override.value if override is not None else None)
        self.apply_stored_overrides()

    def _override_server(self, server: str, disabled: bool) -> None:
        """Store the override, then apply it; where it can't be stored, nothing has changed."""
        store = self.overrides.disable_server if disabled else self.overrides.enable_server
        with _storing():
            store(server)
        if not self.disabled_servers.request(server, disabled):
            with _storing():
                self.overrides.enable_server(server)
            raise RequestRejectedError(404, "no such server was ever listed")

    def _override_drain(self, _: str, store: Callable[[], None]) -> None:
        with _storing():
            store()
        self.apply_stored_overrides()


@contextlib.contextmanager
def _storing() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise RequestRejectedError(500, f"the order could not be stored: {error}") from None
