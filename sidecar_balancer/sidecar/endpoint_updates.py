"""Applies updates of the endpoint list to the balancer and the connections to servers."""

from __future__ import annotations

from sidecar_balancer.discovery.endpoint_list import EndpointList, ListUpdate
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.types import ListKind
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool


class EndpointUpdates:
    """Applies updates of the endpoint list.

    Attributes:
        current: The list as it is now; it stays empty unless it is tracked.
    """

    def __init__(self, engine: Engine, endpoint_pool: EndpointPool, tracks_list: bool) -> None:
        """Apply to these; `tracks_list`: keep the whole list, to persist it."""
        self.current = EndpointList()
        self._engine = engine
        self._endpoint_pool = endpoint_pool
        self._tracks_list = tracks_list

    def apply(self, kind: ListKind, update: ListUpdate) -> None:
        """Apply an update: the addresses first, as the balancer may send on receiving the list.

        The balancer receives the list before the outcomes that it causes, such as of a dial to a draining
        server: else it could retry by a list that is out of date.
        """
        servers = [entry.server for entry in update.entries]
        with self._engine.handle_first(EndpointListReceived(kind, servers, update.version)):
            if kind is not ListKind.DELTA:
                self._endpoint_pool.retain({server.server for server in servers})
            if self._tracks_list:
                self.current.apply(update)
            for entry in update.entries:
                server = entry.server
                self._endpoint_pool.update(server.server, entry.address, server.started_at, server.state)
        self._endpoint_pool.forget_removed()
