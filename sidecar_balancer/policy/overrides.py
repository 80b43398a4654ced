"""Servers disabled by the operators."""

from __future__ import annotations

from sidecar_balancer.policy.endpoint import Server


class DisabledServers:
    """Operator overrides of servers, which apply to servers listed now or later.

    Attributes:
        names: names of all disabled servers, listed or not.
        unused: servers enabled again that no request has used since, in the order they were enabled.
    """

    def __init__(self) -> None:
        self.names = frozenset[str]()
        self.unused: dict[Server, None] = {}

    def server_enabled(self, server: Server) -> None:
        """Make the next eligible request use the server: its odds are low when there are few requests."""
        self.unused[server] = None

    def server_used(self, server: Server) -> None:
        """Remove a server from `unused`: a request uses it, or it is forgotten."""
        self.unused.pop(server, None)

    def replace(self, names: frozenset[str]) -> frozenset[str]:
        """Replace the set of disabled servers; return the names of those that this enables."""
        enabled, self.names = self.names - names, names
        return enabled
