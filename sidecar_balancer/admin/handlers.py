"""Admin API handlers: the routes, and the calls that store and apply operator overrides."""

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

if TYPE_CHECKING:  # not imported at run time unless configured: imports cost CPU at start
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.observability.latency import LatencyHistograms

log = logging.getLogger(__name__)


class AdminHandlers:
    """Handles admin API calls and applies the stored overrides."""

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
        self._load_failed = False

    def routes(self) -> dict[str, Route]:
        """Return the routes by path below /api/; a path that ends in a slash is followed by a name."""
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
        """Apply the stored overrides, which the other process may have changed during an upgrade."""
        try:
            stored = self.overrides.load()
        except OSError as error:
            self._report_load_failure(error)
            return
        self._load_failed = False
        self.disabled_servers.apply_stored(stored.disabled_servers)
        self._apply_stored_zone_overrides()
        self._drain.apply_stored(stored.is_draining)

    def _report_load_failure(self, error: OSError) -> None:
        if not self._load_failed:
            log.error(
                "operator overrides cannot be read, the current ones stay in effect: %s",
                error,
                extra={"event": "overrides_read_failed"},
            )
        self._load_failed = True

    def _apply_stored_zone_overrides(self) -> None:
        if not self._zone_overrides.zones.enabled:
            return
        try:
            stored = self.overrides.zone_overrides()
        except OSError:
            return  # loading the other overrides reports an error of the folder
        self._zone_overrides.apply_stored(stored)

    def _override_zone(self, zone: str, override: ZoneOverride | None) -> None:
        zones = self._zone_overrides.zones
        if not zones.enabled:
            raise RequestRejectedError(404, "zones are off")
        if zone not in zones.by_name:
            raise RequestRejectedError(404, "no such zone is listed")
        with _rejecting_storage_errors():
            self.overrides.set_zone_override(zone, override.value if override is not None else None)
        self.apply_stored_overrides()

    def _override_server(self, server: str, disabled: bool) -> None:
        """Store the override, then apply it; change nothing if it cannot be stored."""
        store = self.overrides.disable_server if disabled else self.overrides.enable_server
        with _rejecting_storage_errors():
            store(server)
        if not self.disabled_servers.set_disabled(server, disabled):
            with _rejecting_storage_errors():
                self.overrides.enable_server(server)
            raise RequestRejectedError(404, "no such server was ever listed")

    def _override_drain(self, _: str, store: Callable[[], None]) -> None:
        with _rejecting_storage_errors():
            store()
        self.apply_stored_overrides()


@contextlib.contextmanager
def _rejecting_storage_errors() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise RequestRejectedError(500, f"the order could not be stored: {error}") from None
