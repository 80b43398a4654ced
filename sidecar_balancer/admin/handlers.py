"""Admin API handlers: the routes, and the calls that store and apply operator overrides."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from sidecar_balancer.admin.disabled_servers import DisabledServers
from sidecar_balancer.admin.drain import SidecarDrain
from sidecar_balancer.admin.lifecycle import Lifecycle
from sidecar_balancer.admin.overrides import OperatorOverrides, StoredOverrides
from sidecar_balancer.admin.server import RequestRejectedError, Route, StoredChange
from sidecar_balancer.admin.status_handlers import StatusHandlers
from sidecar_balancer.admin.zone_overrides import ZoneOverrides
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.policy.types import ZoneOverride
from sidecar_balancer.proxy.proxy import Proxy
from sidecar_balancer.runtime.background import Completion, FileWorker
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:  # not imported at run time unless configured: imports cost CPU at start
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.observability.latency import LatencyHistograms

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LoadedOverrides:
    """All stored overrides.

    Attributes:
        stored: Those of servers and of the whole sidecar.
        zones: The override names by zone; None if zones are off or could not be read.
    """

    stored: StoredOverrides
    zones: Mapping[str, str] | None


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
        file_worker: FileWorker,
        bridge: MembershipBridge | None,
        latencies: LatencyHistograms | None,
    ) -> None:
        self.lifecycle = Lifecycle()
        self.overrides = overrides
        self._file_worker = file_worker
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
        self._is_loading = False

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

    def poll_overrides(self) -> None:
        """Load and apply the stored overrides, which the other process may have changed during an upgrade."""
        if not self._is_loading:
            self._is_loading = True
            self._file_worker.start(self.load_overrides, self._overrides_loaded)

    def _overrides_loaded(self, completion: Completion[LoadedOverrides]) -> None:
        self._is_loading = False
        self.apply_overrides(completion)

    def load_overrides(self) -> LoadedOverrides:
        """Read the stored overrides; raises OSError.  This waits for the disk."""
        stored = self.overrides.load()
        zones = None
        if self._zone_overrides.zones.enabled:
            with contextlib.suppress(OSError):  # loading the other overrides reports an error of the folder
                zones = self.overrides.zone_overrides()
        return LoadedOverrides(stored, zones)

    def apply_overrides(self, completion: Completion[LoadedOverrides]) -> None:
        """Apply the overrides that were loaded; an error leaves the current ones in effect."""
        try:
            loaded = completion.get()
        except OSError as error:
            self._report_load_failure(error)
            return
        self._load_failed = False
        self.disabled_servers.apply_stored(loaded.stored.disabled_servers)
        if loaded.zones is not None:
            self._zone_overrides.apply_stored(loaded.zones)
        self._drain.apply_stored(loaded.stored.is_draining)

    def _report_load_failure(self, error: OSError) -> None:
        if not self._load_failed:
            log.error(
                "operator overrides cannot be read, the current ones stay in effect: %s",
                error,
                extra={"event": "overrides_read_failed"},
            )
        self._load_failed = True

    def _override_zone(self, zone: str, override: ZoneOverride | None) -> StoredChange:
        zones = self._zone_overrides.zones
        if not zones.enabled:
            raise RequestRejectedError(404, "zones are off")
        if zone not in zones.by_name:
            raise RequestRejectedError(404, "no such zone is listed")
        name = override.value if override is not None else None
        return self._stored_change(partial(self.overrides.set_zone_override, zone, name))

    def _override_drain(self, _: str, store: Callable[[], None]) -> StoredChange:
        return self._stored_change(store)

    def _stored_change(self, store: Callable[[], None]) -> StoredChange:
        """Return a change that stores an override, then applies all that are stored."""

        def store_and_load() -> LoadedOverrides:
            store()
            return self.load_overrides()

        return StoredChange(store_and_load, self._apply_change)

    def _apply_change(self, completion: Completion[LoadedOverrides]) -> None:
        _require_stored(completion)
        self.apply_overrides(completion)

    def _override_server(self, server: str, disabled: bool) -> StoredChange:
        """Store the override, then apply it; change nothing if it cannot be stored."""
        store = self.overrides.disable_server if disabled else self.overrides.enable_server
        return StoredChange(partial(store, server), partial(self._apply_server_change, server, disabled))

    def _apply_server_change(self, server: str, disabled: bool, completion: Completion[None]) -> None:
        _require_stored(completion)
        if not self.disabled_servers.set_disabled(server, disabled):
            self._file_worker.start(partial(self.overrides.enable_server, server), _report_removal)
            raise RequestRejectedError(404, "no such server was ever listed")


def _require_stored(completion: Completion[Any]) -> None:
    try:
        completion.get()
    except OSError as error:
        raise RequestRejectedError(500, f"the order could not be stored: {error}") from None


def _report_removal(completion: Completion[None]) -> None:
    try:
        completion.get()
    except OSError as error:
        extra = {"event": "override_removal_failed"}
        log.error("the override of a server that was never listed stays stored: %s", error, extra=extra)  # noqa: TRY400
