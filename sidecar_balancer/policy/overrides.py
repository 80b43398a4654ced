"""Servers that the operators have disabled."""

from __future__ import annotations

from sidecar_balancer.policy.endpoint import Server


class DisabledServers:
    """The operators' overrides, which apply to servers listed now or later.

    Attributes:
        names: all disabled servers, listed or not.
        unused: servers enabled again that no request has used since, in order.
    """

    def __init__(self) -> None:
        self.names = frozenset[str]()
        self.unused: dict[Server, None] = {}

    def replace(self, names: frozenset[str]) -> frozenset[str]:
        """Set the complete set of disabled servers; return those enabled by it."""
        enabled, self.names = self.names - names, names
        return enabled
