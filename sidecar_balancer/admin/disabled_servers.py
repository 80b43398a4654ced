"""Servers disabled by operator overrides of this sidecar or of its peers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sidecar_balancer.policy.actions import ApplyDisabledServers
from sidecar_balancer.policy.events import DisabledServersChanged, ServerOverrideRequested
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:  # not imported at run time unless membership is configured: imports cost CPU at start
    from sidecar_balancer.membership.bridge import MembershipBridge

log = logging.getLogger(__name__)

_MAX_LOGGED_NAMES_LENGTH = 500


class DisabledServers:
    """Applies the set of disabled servers to the balancer and to the connections."""

    def __init__(self, engine: Engine, endpoint_pool: EndpointPool, bridge: MembershipBridge | None) -> None:
        self._engine = engine
        self._endpoint_pool = endpoint_pool
        self._bridge = bridge
        self._locally_disabled: frozenset[str] = frozenset()
        self._effective: frozenset[str] = frozenset()
        self._override_accepted = False  # whether the balancer knew the server of the last override
        engine.executors[ApplyDisabledServers] = self._apply

    @property
    def locally_disabled(self) -> frozenset[str]:
        """The servers disabled by this sidecar's own overrides."""
        return self._locally_disabled

    @property
    def effective(self) -> frozenset[str]:
        """The servers disabled now, by overrides of this sidecar or of its peers."""
        return self._effective

    def set_disabled(self, server: str, disabled: bool) -> bool:
        """Disable or enable a server at once; return False if the balancer does not know it."""
        self._override_accepted = False
        self._engine.handle(ServerOverrideRequested(server, disabled))
        if self._override_accepted:
            changed = frozenset([server])
            names = self._locally_disabled
            self._set_locally_disabled(names | changed if disabled else names - changed)
        return self._override_accepted

    def apply_stored(self, stored: frozenset[str]) -> None:
        """Apply the servers disabled by the stored overrides, and publish them to the tier."""
        self._set_locally_disabled(stored)
        self.refresh()

    def _set_locally_disabled(self, names: frozenset[str]) -> None:
        if names == self._locally_disabled:
            return
        self._locally_disabled = names
        if self._bridge is not None:
            self._bridge.set_disabled_servers(names)

    def refresh(self) -> None:
        """Apply this sidecar's overrides together with those published by its peers."""
        wanted = self._locally_disabled
        if self._bridge is not None:
            wanted |= self._bridge.disabled_servers()
        if wanted != self._effective:
            self._engine.handle(DisabledServersChanged(wanted))

    def _apply(self, action: ApplyDisabledServers) -> None:
        self._override_accepted = True
        if action.servers != self._effective:
            self._effective = action.servers
            self._endpoint_pool.set_disabled(action.servers)
            names = ", ".join(sorted(action.servers))[:_MAX_LOGGED_NAMES_LENGTH]
            log.info("disabled servers: %s", names or "none", extra={"event": "disabled_servers_changed"})
