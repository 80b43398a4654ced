"""The servers of the endpoint list, with the operators' overrides applied."""

from __future__ import annotations

import random
from collections.abc import Mapping

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import ApplyDisabledServers
from sidecar_balancer.policy.discovery_schedule import DiscoverySchedule
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import (
    DisabledServersChanged,
    EndpointListReceived,
    ListedServer,
    ServerOverrideRequested,
)
from sidecar_balancer.policy.locality import Zones
from sidecar_balancer.policy.outliers import OutlierDetector
from sidecar_balancer.policy.overrides import DisabledServers
from sidecar_balancer.policy.slow_start import SlowStart
from sidecar_balancer.policy.types import ListKind, ServerState
from sidecar_balancer.policy.verdicts import VerdictExchange

FORMER_NAMES_MAX = 4096  # names kept, as operators may still name servers that have left the list


class EndpointTable:
    """Table of servers; a removed one stays until its last attempt has ended and it is not disabled.

    Attributes:
        servers: the servers by name.
        former_names: names of servers that have left the list, the latest at the end.
    """

    def __init__(
        self,
        server_zones: Mapping[str, str],
        discovery: DiscoverySchedule,
        zones: Zones,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        verdicts: VerdictExchange,
        disabled: DisabledServers,
        rng: random.Random,
        actions: ActionQueue,
    ) -> None:
        self.servers: dict[str, Server] = {}
        self.former_names: dict[str, None] = {}
        self._removed: dict[Server, None] = {}
        self._server_zones = server_zones
        self._discovery = discovery
        self._zones = zones
        self._outliers = outliers
        self._slow_start = slow_start
        self._verdicts = verdicts
        self._disabled = disabled
        self._rng = rng
        self._actions = actions

    def list_received(self, now: int, event: EndpointListReceived) -> None:
        """Apply an endpoint list, or schedule another call if none was received."""
        if not self._discovery.list_received(now, event.kind):
            return
        if event.kind not in (ListKind.DELTA, ListKind.SOURCE_CHANGED):
            listed = {entry.server for entry in event.servers}
            for server in [server for server in self.servers.values() if server.name not in listed]:
                server.state = ServerState.REMOVED
                self._update_ready_zone(server)
        for entry in event.servers:
            self._apply_entry(now, entry)
        self._drop_removed()

    def override_requested(self, now: int, event: ServerOverrideRequested) -> None:
        """Disable or enable one server; a name that was never listed is ignored."""
        names = self._disabled.names
        if event.server in self.servers or event.server in self.former_names or event.server in names:
            changed = {event.server}
            self._set_disabled(now, names | changed if event.disabled else names - changed)

    def disabled_servers_changed(self, now: int, event: DisabledServersChanged) -> None:
        """Disable exactly these servers."""
        self._set_disabled(now, frozenset(event.servers))

    def _set_disabled(self, now: int, names: frozenset[str]) -> None:
        """Disable exactly these servers; one enabled again warms up, as it was restarted in the meantime."""
        enabled = self._disabled.replace(names)
        for server in self.servers.values():
            if server.name in names and not server.disabled:
                server.warming_since = None
            server.disabled = server.name in names
            if server.name in enabled:
                self._disabled.server_enabled(server)
                if not self._slow_start.is_warming_up(now, server):
                    self._slow_start.start(now, server, now)
                if server.ejected_until is not None:
                    self._outliers.readmit(now, server)
            self._update_ready_zone(server)
        self._drop_removed()
        self._actions.append(ApplyDisabledServers(names))

    def _apply_entry(self, now: int, entry: ListedServer) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            server = Server(entry.server, self._rng.random())
            self.servers[entry.server] = server
            server.disabled = entry.server in self._disabled.names
        server.zone = entry.zone or self._server_zones.get(entry.server, "")
        if server.state is ServerState.REMOVED:
            server.relative_latency = 1.0  # assumed until responses show it: the list omits a server's size
        server.state = entry.state
        if entry.started_at is not None and entry.started_at != server.started_at:
            server.started_at = entry.started_at
            self._slow_start.start(now, server, entry.started_at)
            if server.ejected_until is not None and entry.state is ServerState.READY:
                self._outliers.readmit(now, server)  # the failures were those of the previous process
        self._update_ready_zone(server)

    def _update_ready_zone(self, server: Server) -> None:
        """Update the ready servers of the zones after a change of a server."""
        zone = server.zone if server.is_ready() else None
        if server.ready_zone != zone:
            self._zones.set_ready_zone(server, zone)
        self._removed.pop(server, None)
        if server.state is ServerState.REMOVED:
            self._removed[server] = None

    def _drop_removed(self) -> None:
        """Drop servers that have left the list, as each deploy brings new names."""
        for server in list(self._removed):
            if server.in_flight or server.disabled:
                continue
            del self.servers[server.name], self._removed[server]
            server.removed_from_table = True
            self.former_names[server.name] = None
            if len(self.former_names) > FORMER_NAMES_MAX:
                del self.former_names[next(iter(self.former_names))]
            self._disabled.server_used(server)
            self._verdicts.withdraw_all(server)
            self._outliers.drop(server)
