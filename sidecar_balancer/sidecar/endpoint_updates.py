"""Application of endpoint list updates to the balancer and to the connections to servers."""

from __future__ import annotations

from sidecar_balancer.discovery.endpoint_list import EndpointList, ListUpdate
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.types import ListKind
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.upstream.endpoint_pool import EndpointPool


class EndpointUpdates:
    """The receiver of endpoint list updates.

    Attributes:
        current: The current endpoint list; it stays empty unless the list is tracked.
    """

    def __init__(self, engine: Engine, endpoint_pool: EndpointPool, tracks_list: bool) -> None:
        """Apply updates to `engine` and `endpoint_pool`; with `tracks_list`, keep the list to persist it."""
        self.current = EndpointList()
        self._engine = engine
        self._endpoint_pool = endpoint_pool
        self._tracks_list = tracks_list

    def apply(self, kind: ListKind, update: ListUpdate) -> None:
        """Apply an update to the pool first, as the balancer may send requests on receiving the list.

        The balancer receives the list before the outcomes that the update causes, such as that of a dial to a
        draining server; otherwise it could retry according to an outdated list.
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
