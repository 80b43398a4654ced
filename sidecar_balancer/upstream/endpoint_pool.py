"""Pool of connections to servers, which sends requests on a limited number of them."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Collection
from functools import partial

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.runtime.memory_budget import MAX_BUFFERED_BODY_BYTES, MemoryBudget
from sidecar_balancer.upstream.dialing import connect
from sidecar_balancer.upstream.exchange import Exchange, OnOutcome, PooledEndpoint, UpstreamRequest
from sidecar_balancer.upstream.response import Response, classify_outcome
from sidecar_balancer.upstream.server_connection import ServerConnection

log = logging.getLogger(__name__)

_UNKNOWN_ADDRESS: Address = ("127.0.0.1", 0)  # placeholder for a server that no request is sent to
_IDLE_MARGIN_RATIO = 0.1  # the share of the idle timeout by which a connection is closed early
_REUSE_DELAY_S = 0.01  # wait before a connection is reused: a second response may follow a malformed one
_HEALTH_CHECK_DIAL_TIMEOUTS = 4.0  # a health check may take this many dial timeouts


class EndpointPool:
    """All connections to servers, with a limit on their number.

    Attributes:
        endpoints: The servers by name.
        max_connections: The maximum number of connections, including those being dialed.
    """

    def __init__(
        self,
        dial_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Start without endpoints.

        Args:
            dial_timeout_s: The longest time that a dial may take.
            idle_timeout_s: The time for which servers keep idle connections.
            max_connections: The maximum number of connections, including those being dialed.
            memory_budget: The memory that bodies are counted in.
        """
        self._memory_budget = memory_budget or MemoryBudget()
        self._dial_timeout_s = dial_timeout_s
        self._idle_timeout_s = idle_timeout_s * (1.0 - _IDLE_MARGIN_RATIO)
        self.max_connections = max_connections
        self._dial_tasks: set[asyncio.Task[None]] = set()
        self._open: set[ServerConnection] = set()  # connections in use or idle, without those being dialed
        self._closed = False
        self.endpoints: dict[str, PooledEndpoint] = {}
        self._removed: dict[str, None] = {}  # removed endpoints, deleted once unused
        self._disabled: frozenset[str] = frozenset()

    @property
    def open_count(self) -> int:
        """The number of connections, including those being dialed."""
        return len(self._dial_tasks) + len(self._open)

    # -- Endpoints

    def set_disabled(self, names: frozenset[str]) -> None:
        """Set which servers are treated as draining, regardless of the endpoint list."""
        self._disabled = names
        for name in names & self.endpoints.keys():
            self._end_unsent(self.endpoints[name])

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Apply an entry of the endpoint list; after a restart or a move, close the old connections."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            self.endpoints[name] = PooledEndpoint(name, address or _UNKNOWN_ADDRESS, started_at, state)
            if state is ServerState.REMOVED:
                self._removed[name] = None
            return
        address = address or endpoint.address
        if (endpoint.address, endpoint.started_at) != (address, started_at):
            endpoint.address, endpoint.started_at = address, started_at
            endpoint.generation += 1
            self.close_idle(name)
            for exchange in list(endpoint.dialing):
                exchange.end(Outcome.UNSENT)  # the dial leads to the earlier process or address
        endpoint.state = state
        self._removed.pop(name, None)
        if state is ServerState.REMOVED:
            self._removed[name] = None
        if state is not ServerState.READY:
            self._end_unsent(endpoint)

    def retain(self, names: Collection[str]) -> None:
        """Mark all endpoints except these as removed."""
        for endpoint in self.endpoints.values():
            if endpoint.name not in names:
                endpoint.state = ServerState.REMOVED
                self._removed[endpoint.name] = None
                self._end_unsent(endpoint)

    def forget_removed(self) -> None:
        """Delete removed endpoints without dials or idle connections; exchanges in flight keep theirs."""
        for name in list(self._removed):
            endpoint = self.endpoints[name]
            if not endpoint.dialing and not endpoint.idle:
                del self.endpoints[name], self._removed[name]

    def _end_unsent(self, endpoint: PooledEndpoint) -> None:
        """End unwritten requests to a draining server: a slow dial may outlast its grace period."""
        self.close_idle(endpoint.name)
        for exchange in list(endpoint.dialing):
            exchange.end(Outcome.CONNECT_FAILED)

    # -- Exchanges

    def send(self, name: str, request: UpstreamRequest, deadline: float, on_outcome: OnOutcome) -> Exchange:
        """Start an attempt.

        Args:
            name: The server's name.
            request: The request to send.
            deadline: The time at which to give up, on the event loop's clock.
            on_outcome: Called exactly once, possibly before this returns.
        """
        loop = asyncio.get_running_loop()
        endpoint = self.endpoints.get(name)
        is_available = endpoint is not None and self._accepts_requests(endpoint)
        endpoint = endpoint or PooledEndpoint(name, _UNKNOWN_ADDRESS, None, ServerState.REMOVED)
        exchange = Exchange(endpoint, request, deadline, on_outcome)
        if self._closed or not is_available or deadline <= loop.time():
            exchange.end(Outcome.UNSENT)  # decided before the list change, the shutdown or the deadline
            return exchange
        self.set_deadline(exchange, deadline)
        connection = self._acquire_idle(endpoint)
        if connection is not None:
            self._write_request(exchange, connection)
        elif self._ensure_capacity():
            self._start_dial(exchange)
        else:
            extra = {"event": "connection_limit_reached", "server": name}
            log.warning("no connection is available for %s", name, extra=extra)
            exchange.end(Outcome.CONNECT_FAILED)
        return exchange

    def set_deadline(self, exchange: Exchange, deadline: float) -> None:
        """Set the time on the event loop's clock at which an exchange is given up; infinity means never."""
        exchange.deadline = deadline
        if deadline < math.inf:
            loop = asyncio.get_running_loop()
            exchange.timers.append(loop.call_at(deadline, self._deadline_passed, exchange))

    def clear_deadline(self, exchange: Exchange) -> None:
        """Remove the time limits of an exchange, as its response is being streamed."""
        for timer in exchange.timers:
            timer.cancel()
        exchange.timers.clear()

    def check_health(self, name: str, target: str, on_outcome: OnOutcome) -> Exchange:
        """Start a health check of a server."""
        host = ("Host", name)
        request = UpstreamRequest(lambda _: h11.Request(method="GET", target=target, headers=[host]))
        timeout_s = _HEALTH_CHECK_DIAL_TIMEOUTS * self._dial_timeout_s
        return self.send(name, request, asyncio.get_running_loop().time() + timeout_s, on_outcome)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange; no effect if it has ended."""
        exchange.end(Outcome.CANCELLED)

    def cancel_unsent(self, exchange: Exchange) -> None:
        """End an exchange if the last byte of its request is not written yet; it is never written then."""
        if exchange.connection is None or not exchange.connection.written:
            exchange.end(Outcome.UNSENT)

    @staticmethod
    def end_if_blocked(exchange: Exchange) -> None:
        """End an exchange whose server does not take the request, as a failure of that server."""
        if exchange.connection is None or exchange.connection.awaits_reader:
            exchange.end(Outcome.CONNECT_FAILED)

    @staticmethod
    def _deadline_passed(exchange: Exchange) -> None:
        connection = exchange.connection
        was_written = connection is not None and connection.written
        exchange.end(Outcome.TIMED_OUT if was_written else Outcome.CONNECT_FAILED)

    def _write_request(self, exchange: Exchange, connection: ServerConnection) -> None:
        exchange.connection = connection
        exchange.endpoint.dialing.discard(exchange)
        remaining_s = exchange.deadline - asyncio.get_running_loop().time()
        request = exchange.request
        if request.upload is not None and not request.upload.is_available():
            extra = {"event": "body_unavailable", "server": exchange.endpoint.name}
            log.error("another attempt has read the request's body", extra=extra)
            exchange.end(Outcome.UNSENT)  # no client sent what is left of the body as a request
            return
        try:
            head = request.build_head(max(remaining_s, 0.0))
            on_response = partial(self._response_received, exchange, connection)
            connection.request(head, request.body, on_response, request.upload, request.start_streaming)
        except h11.LocalProtocolError:
            log.exception("writing a request failed", extra={"event": "request_write_failed"})
            exchange.end(Outcome.CONNECT_FAILED)  # no byte was written

    def _response_received(
        self, exchange: Exchange, connection: ServerConnection, response: Response | None
    ) -> None:
        self._release(exchange, connection)
        exchange.end(classify_outcome(response, connection.written, connection.response_began), response)

    # -- Connections

    def close_idle(self, name: str) -> None:
        """Close a server's idle connections."""
        endpoint = self.endpoints.get(name)
        while endpoint is not None and endpoint.idle:
            connection = next(reversed(endpoint.idle))
            endpoint.remove_idle(connection)
            connection.abort()

    def _accepts_requests(self, endpoint: PooledEndpoint) -> bool:
        return endpoint.state is ServerState.READY and endpoint.name not in self._disabled

    @staticmethod
    def _acquire_idle(endpoint: PooledEndpoint) -> ServerConnection | None:
        """Take the most recently used connection whose reuse delay has passed."""
        idle_before = asyncio.get_running_loop().time() - _REUSE_DELAY_S
        for connection in reversed(list(endpoint.idle)):
            if connection.idle_since > idle_before:
                continue
            endpoint.remove_idle(connection)
            if connection.is_idle():
                return connection
            connection.abort()
        return None

    def _ensure_capacity(self) -> bool:
        """Make room for one more connection, closing an idle one if needed; return whether that succeeded."""
        return self.open_count < self.max_connections or self._close_one_idle()

    def shed_excess(self) -> None:
        """Close idle connections beyond the limit on the number of all."""
        excess = self.open_count - self.max_connections
        while excess > 0 and self._close_one_idle():
            excess -= 1

    def _close_one_idle(self) -> bool:
        """Close the longest idle connection of the server that has most of them; False if there is none."""
        with_idle = [endpoint for endpoint in self.endpoints.values() if endpoint.idle]
        if not with_idle:
            return False
        endpoint = max(with_idle, key=lambda candidate: len(candidate.idle))
        connection = next(iter(endpoint.idle))
        endpoint.remove_idle(connection)
        connection.abort()
        return True

    def _start_dial(self, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        exchange.endpoint.dialing.add(exchange)
        dial_deadline = loop.time() + self._dial_timeout_s
        exchange.timers.append(loop.call_at(dial_deadline, self._dial_timed_out, exchange))
        exchange.dial_task = dial_task = loop.create_task(self._dial(exchange))
        self._dial_tasks.add(dial_task)
        dial_task.add_done_callback(self._dial_tasks.discard)

    @staticmethod
    def _dial_timed_out(exchange: Exchange) -> None:
        if exchange.connection is None:
            exchange.end(Outcome.CONNECT_FAILED)

    async def _dial(self, exchange: Exchange) -> None:
        """Dial and write the request; `open_count` counts the dial until it ends or its connection opens."""
        endpoint = exchange.endpoint
        try:
            connection = await connect(endpoint.address, MAX_BUFFERED_BODY_BYTES, self._memory_budget)
        except (OSError, ValueError) as error:  # ValueError: the host is not a valid name
            extra = {"event": "connect_failed", "server": endpoint.name}
            log.info("connecting to %s failed: %s", endpoint.name, error, extra=extra)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        assert exchange.dial_task is not None
        self._dial_tasks.discard(exchange.dial_task)
        self._open.add(connection)
        connection.on_closed = partial(self._connection_closed, endpoint, connection)
        if exchange.request.check_client is not None:
            exchange.request.check_client()
        if exchange.on_outcome is None:
            connection.abort()
        else:
            self._write_request(exchange, connection)

    def _release(self, exchange: Exchange, connection: ServerConnection) -> None:
        """Keep a connection for reuse, for less time than its server keeps it."""
        endpoint = exchange.endpoint
        if not connection.reusable:
            return
        if exchange.generation != endpoint.generation or not self._accepts_requests(endpoint):
            connection.abort()
            return
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        # Closing the connection removes it from the idle ones.
        endpoint.idle[connection] = loop.call_later(self._idle_timeout_s, connection.abort)

    def _connection_closed(self, endpoint: PooledEndpoint, connection: ServerConnection) -> None:
        """Stop counting a connection after either side closed it."""
        self._open.discard(connection)
        endpoint.remove_idle(connection)

    async def close(self) -> None:
        """Close all connections, end all dials and send no more requests."""
        self._closed = True
        for endpoint in list(self.endpoints.values()):
            self._end_unsent(endpoint)
        for connection in list(self._open):
            connection.abort()
        for dial_task in (dial_tasks := list(self._dial_tasks)):
            dial_task.cancel()
        await asyncio.gather(*dial_tasks, return_exceptions=True)
        await asyncio.sleep(0)  # connection_lost is called in the next turn
