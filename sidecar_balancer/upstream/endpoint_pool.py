"""The pool of connections to servers, which sends requests on them within a bound on their number."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Collection
from functools import partial

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.runtime.streams import MAX_BUFFERED_BODY_BYTES, BodyMemory
from sidecar_balancer.upstream.dialing import connect
from sidecar_balancer.upstream.exchange import Exchange, OnOutcome, PooledEndpoint, UpstreamRequest
from sidecar_balancer.upstream.response import Response, classify_outcome
from sidecar_balancer.upstream.server_connection import ServerConnection

log = logging.getLogger(__name__)

_UNKNOWN_ADDRESS: Address = ("127.0.0.1", 0)  # of a server that takes nothing new anyway
_IDLE_MARGIN_RATIO = 0.1  # an idle connection is closed this part of its time before the server would
_REUSE_DELAY_S = 0.01  # before a connection is used again: a spoilt answer may have a second one behind it
_HEALTH_CHECK_DIAL_TIMEOUTS = 4.0  # a probe may take this many dial time limits


class EndpointPool:
    """All connections to servers, within a bound on their number."""

    def __init__(
        self,
        dial_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        body_memory: BodyMemory | None = None,
    ) -> None:
        self._body_memory = body_memory or BodyMemory()
        self._dial_timeout_s = dial_timeout_s
        self._idle_timeout_s = idle_timeout_s * (1.0 - _IDLE_MARGIN_RATIO)
        self._max_connections = max_connections
        self._dial_tasks: set[asyncio.Task[None]] = set()  # those under way
        self._open: set[ServerConnection] = set()  # connections, in use or idle
        self._closed = False
        self._endpoints: dict[str, PooledEndpoint] = {}
        self._removed: dict[str, None] = {}  # those that left, and may be forgotten
        self._disabled: frozenset[str] = frozenset()

    @property
    def open_count(self) -> int:
        """Connections, and dials under way."""
        return len(self._dial_tasks) + len(self._open)

    def set_disabled(self, names: frozenset[str]) -> None:
        """Treat these servers, and no others, as draining ones whatever the list says."""
        self._disabled = names
        for name in names & self._endpoints.keys():
            self._end_unsent(self._endpoints[name])

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Note what the list says of a server; a new process or place makes its old connections useless."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            self._endpoints[name] = PooledEndpoint(name, address or _UNKNOWN_ADDRESS, started_at, state)
            if state is ServerState.REMOVED:
                self._removed[name] = None
            return
        address = address or endpoint.address
        if (endpoint.address, endpoint.started_at) != (address, started_at):
            endpoint.address, endpoint.started_at = address, started_at
            endpoint.generation += 1
            self.close_idle(name)
            for exchange in list(endpoint.dialing):
                exchange.end(Outcome.UNSENT)  # it would be written to the process or place that was
        endpoint.state = state
        self._removed.pop(name, None)
        if state is ServerState.REMOVED:
            self._removed[name] = None
        if state is not ServerState.READY:
            self._end_unsent(endpoint)

    def retain(self, names: Collection[str]) -> None:
        """Drop all servers but these."""
        for endpoint in self._endpoints.values():
            if endpoint.name not in names:
                endpoint.state = ServerState.REMOVED
                self._removed[endpoint.name] = None
                self._end_unsent(endpoint)

    def forget_removed(self) -> None:
        """Forget servers that left, once nobody sends to them any more; what is out keeps its endpoint."""
        for name in list(self._removed):
            endpoint = self._endpoints[name]
            if not endpoint.dialing and not endpoint.idle:
                del self._endpoints[name], self._removed[name]

    def _end_unsent(self, endpoint: PooledEndpoint) -> None:
        """End what was not written to a server that takes nothing new: a slow dial may outlast the grace."""
        self.close_idle(endpoint.name)
        for exchange in list(endpoint.dialing):
            exchange.end(Outcome.CONNECT_FAILED)

    def send(self, name: str, request: UpstreamRequest, deadline: float, on_outcome: OnOutcome) -> Exchange:
        """Start an attempt; `ended` hears its outcome exactly once, maybe before this returns."""
        loop = asyncio.get_running_loop()
        endpoint = self._endpoints.get(name)
        is_available = (
            endpoint is not None and endpoint.state is ServerState.READY and name not in self._disabled
        )
        endpoint = endpoint or PooledEndpoint(name, _UNKNOWN_ADDRESS, None, ServerState.REMOVED)
        exchange = Exchange(endpoint, request, deadline, on_outcome)
        if self._closed or not is_available or deadline <= loop.time():
            exchange.end(Outcome.UNSENT)  # the list, the end of the run or of its time came first
            return exchange
        self.set_deadline(exchange, deadline)
        connection = self._acquire_idle(endpoint)
        if connection is not None:
            self._write_request(exchange, connection)
        elif self._ensure_capacity():
            endpoint.dialing.add(exchange)
            dial_deadline = loop.time() + self._dial_timeout_s
            exchange.timers.append(loop.call_at(dial_deadline, self._dial_timed_out, exchange))
            exchange.dial_task = dial_task = loop.create_task(self._dial(exchange))
            self._dial_tasks.add(dial_task)
            dial_task.add_done_callback(self._dial_tasks.discard)
        else:
            log.warning("no connection to spare for %s", name)
            exchange.end(Outcome.CONNECT_FAILED)
        return exchange

    def set_deadline(self, exchange: Exchange, deadline: float) -> None:
        """Give an attempt up at this time on the event loop's clock, unless its answer is under way."""
        exchange.deadline = deadline
        if deadline < math.inf:
            exchange.timers.append(
                asyncio.get_running_loop().call_at(deadline, self._deadline_passed, exchange)
            )

    def clear_deadline(self, exchange: Exchange) -> None:
        """Let an attempt take its time: its answer is under way."""
        for timer in exchange.timers:
            timer.cancel()
        exchange.timers.clear()

    def check_health(self, name: str, target: str, on_outcome: OnOutcome) -> Exchange:
        """Ask a server how it is."""
        host = ("Host", name)
        request = UpstreamRequest(lambda _: h11.Request(method="GET", target=target, headers=[host]))
        deadline = asyncio.get_running_loop().time() + _HEALTH_CHECK_DIAL_TIMEOUTS * self._dial_timeout_s
        return self.send(name, request, deadline, on_outcome)

    def cancel(self, exchange: Exchange) -> None:
        exchange.end(Outcome.CANCELLED)

    def cancel_unsent(self, exchange: Exchange) -> None:
        """End an attempt that is not all written yet, so that it never will be."""
        if exchange.connection is None or not exchange.connection.written:
            exchange.end(Outcome.UNSENT)

    def close_idle(self, name: str) -> None:
        endpoint = self._endpoints.get(name)
        while endpoint is not None and endpoint.idle:
            connection = next(reversed(endpoint.idle))
            endpoint.remove_idle(connection)
            connection.abort()

    @staticmethod
    def _deadline_passed(exchange: Exchange) -> None:
        connection = exchange.connection
        exchange.end(
            Outcome.TIMED_OUT if connection is not None and connection.written else Outcome.CONNECT_FAILED
        )

    @staticmethod
    def _dial_timed_out(exchange: Exchange) -> None:
        if exchange.connection is None:
            exchange.end(Outcome.CONNECT_FAILED)

    @staticmethod
    def _acquire_idle(endpoint: PooledEndpoint) -> ServerConnection | None:
        """The connection used last of those that have rested: a second answer may come late, to anyone."""
        reusable_before = asyncio.get_running_loop().time() - _REUSE_DELAY_S
        for connection in reversed(list(endpoint.idle)):
            if connection.idle_since > reusable_before:
                continue
            endpoint.remove_idle(connection)
            if connection.is_idle():
                return connection
            connection.abort()
        return None

    def _ensure_capacity(self) -> bool:
        """Whether one more connection may be opened, perhaps for an idle one elsewhere."""
        if self.open_count < self._max_connections:
            return True
        idle = [endpoint for endpoint in self._endpoints.values() if endpoint.idle]
        if not idle:
            return False
        largest = max(idle, key=lambda endpoint: len(endpoint.idle))
        connection = next(iter(largest.idle))
        largest.remove_idle(connection)
        connection.abort()
        return True

    async def _dial(self, exchange: Exchange) -> None:
        """Dial and write; the dial counts as open until its connection does, or until it ends."""
        endpoint = exchange.endpoint
        try:
            connection = await connect(endpoint.address, MAX_BUFFERED_BODY_BYTES, self._body_memory)
        except (OSError, ValueError) as error:  # ValueError: no name that could be looked up
            log.info("no connection to %s: %s", endpoint.name, error)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        assert exchange.dial_task is not None
        self._dial_tasks.discard(exchange.dial_task)
        self._open.add(connection)
        connection.on_closed = partial(self._connection_closed, endpoint, connection)
        exchange.request.check_client()  # its client may have left during the dial, and nobody noticed yet
        if exchange.on_outcome is None:
            connection.abort()
        else:
            self._write_request(exchange, connection)

    def _connection_closed(self, endpoint: PooledEndpoint, connection: ServerConnection) -> None:
        """A connection is over, whoever ended it: one at rest that its server closed gives no room."""
        self._open.discard(connection)
        endpoint.remove_idle(connection)

    def _write_request(self, exchange: Exchange, connection: ServerConnection) -> None:
        exchange.connection = connection
        exchange.endpoint.dialing.discard(exchange)
        remaining_s = exchange.deadline - asyncio.get_running_loop().time()
        try:
            head = exchange.request.head(max(remaining_s, 0.0))
            request = exchange.request
            on_response = partial(self._response_received, exchange, connection)
            connection.request(head, request.body, on_response, request.upload, request.start_streaming)
        except h11.LocalProtocolError:
            log.exception("a request can't be written")  # not a byte of it was
            exchange.end(Outcome.CONNECT_FAILED)

    def _response_received(
        self, exchange: Exchange, connection: ServerConnection, response: Response | None
    ) -> None:
        self._release(exchange, connection)
        exchange.end(classify_outcome(response, connection.written, connection.response_began), response)

    def _release(self, exchange: Exchange, connection: ServerConnection) -> None:
        """Keep a connection for the next request, for less long than the server keeps it."""
        endpoint = exchange.endpoint
        if not connection.reusable:
            return
        is_available = endpoint.state is ServerState.READY and endpoint.name not in self._disabled
        if exchange.generation != endpoint.generation or not is_available:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        # Its end takes it out of those at rest.
        endpoint.idle[connection] = asyncio.get_running_loop().call_later(
            self._idle_timeout_s, connection.abort
        )

    async def close(self) -> None:
        """End all connections and dials, for good."""
        self._closed = True
        for endpoint in list(self._endpoints.values()):
            self._end_unsent(endpoint)
        for connection in list(self._open):
            connection.abort()
        for dial_task in (dial_tasks := list(self._dial_tasks)):
            dial_task.cancel()
        await asyncio.gather(*dial_tasks, return_exceptions=True)
        await asyncio.sleep(0)  # the ends of connections are told in the next turn
