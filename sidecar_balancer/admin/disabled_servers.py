"""Servers that operators have disabled, here or at another sidecar of the tier."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sidecar_balancer.policy.actions import ApplyDisabledServers
from sidecar_balancer.policy.events import DisabledServersChanged, ServerOverrideRequested
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:  # loaded only where membership is configured: starts cost CPU
    from sidecar_balancer.membership.bridge import MembershipBridge

log = logging.getLogger(__name__)

_MAX_LOGGED_NAMES_LENGTH = 500


class DisabledServers:
    """Brings the balancer and the connections in line with the disabled servers."""

    def __init__(self, engine: Engine, endpoint_pool: EndpointPool, bridge: MembershipBridge | None) -> None:
        self._engine = engine
        self._endpoint_pool = endpoint_pool
        self._bridge = bridge
        self._locally_disabled: frozenset[str] = frozenset()
        self._in_force: frozenset[str] = frozenset()
        self._was_accepted = False  # whether the balancer knew the server of the last request
        engine.executors[ApplyDisabledServers] = self._apply

    @property
    def locally_disabled(self) -> frozenset[str]:
        """The servers that this sidecar's own overrides disable."""
        return self._locally_disabled

    @property
    def in_force(self) -> frozenset[str]:
        """The servers that are disabled now, by this sidecar's overrides or the tier's."""
        return self._in_force

    def request(self, server: str, disabled: bool) -> bool:
        """Disable or enable a server at once; False where the balancer never heard of it."""
        self._was_accepted = False
        self._engine.handle(ServerOverrideRequested(server, disabled))
        return self._was_accepted

    def follow(self, stored: frozenset[str]) -> None:
        """Apply the servers that the stored overrides disable, and publish them to the tier."""
        has_changed = stored != self._locally_disabled
        self._locally_disabled = stored
        if has_changed and self._bridge is not None:
            self._bridge.set_disabled_servers(stored)
        self.refresh()

    def refresh(self) -> None:
        """Apply this sidecar's overrides together with those that its peers have published."""
        wanted = self._locally_disabled
        if self._bridge is not None:
            wanted |= self._bridge.disabled_servers()
        if wanted != self._in_force:
            self._engine.handle(DisabledServersChanged(wanted))

    def _apply(self, action: ApplyDisabledServers) -> None:
        self._was_accepted = True
        if action.servers != self._in_force:
            self._in_force = action.servers
            self._endpoint_pool.set_disabled(action.servers)
            names = ", ".join(sorted(action.servers))[:_MAX_LOGGED_NAMES_LENGTH]
            log.info("excluded now: %s", names or "none", extra={"event": "disabled_servers_changed"})
