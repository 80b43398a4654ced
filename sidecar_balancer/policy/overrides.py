"""Servers disabled by the operators."""

from __future__ import annotations

from sidecar_balancer.policy.endpoint import Server


class DisabledServers:
    """Operator overrides of servers, which apply to servers listed now or later.

    Attributes:
        names: names of all disabled servers, listed or not.
        awaiting_first_request: servers enabled again that no request has used since, in the order they were
            enabled.
    """

    def __init__(self) -> None:
        self.names = frozenset[str]()
        self.awaiting_first_request: dict[Server, None] = {}

    def server_enabled(self, server: Server) -> None:
        """Make the next eligible request use the server; with few requests it is rarely sampled."""
        self.awaiting_first_request[server] = None

    def server_used(self, server: Server) -> None:
        """Remove a server from `awaiting_first_request`: a request uses it, or it was dropped."""
        self.awaiting_first_request.pop(server, None)

    def replace(self, names: frozenset[str]) -> frozenset[str]:
        """Replace the set of disabled servers; return the names of those that this enables."""
        enabled, self.names = self.names - names, names
        return enabled
