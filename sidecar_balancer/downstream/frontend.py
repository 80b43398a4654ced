"""Client connections: the limit on their number, draining and graceful shutdown."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Iterator

from sidecar_balancer.addresses import Address
from sidecar_balancer.downstream.acceptor import Acceptor
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.downstream.connection_table import NO_WAIT, CapacityWait, ConnectionTable
from sidecar_balancer.downstream.request import RequestHandler
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.runtime.memory_budget import MemoryBudget
from sidecar_balancer.runtime.queueing import PollTimes
from sidecar_balancer.runtime.sockets import bound_send_buffer

_IDLE_CLOSE_INTERVAL_S = 0.02  # interval between a drain's checks for idle connections
_LINGERING_SHARE = 8  # part of the connections that may linger, though their clients go on sending
_FLUSH_POLL_S = 0.005  # interval between the shutdown's checks whether the last responses have been sent


class Frontend:
    """The listener for clients, with a limit on their connections.

    Attributes:
        address: The address that it listens on.
        memory_budget: The budget that connections charge what they hold to.
        connections: The connections that are served, the least recently active first.
        evictions: The number of connections that were evicted for new ones.
        draining: Whether each response is the last one of its connection.
        handler: The handler of the requests.
        max_connections: The maximum number of connections.
        poll_times: The times at which the event loop polled its sockets.
        settings: The service classes and tenants.
    """

    def __init__(
        self,
        address: Address,
        max_connections: int,
        handler: RequestHandler,
        settings: Settings,
        listen_fd: int | None = None,
        memory_budget: MemoryBudget | None = None,
        poll_times: PollTimes | None = None,
    ) -> None:
        """Listen without accepting yet.

        Args:
            address: The address to listen on, unless `listen_fd` is given.
            max_connections: The maximum number of connections.
            handler: The handler of the requests.
            settings: The service classes and tenants.
            listen_fd: The descriptor of an inherited listening socket.
            memory_budget: The budget that connections charge what they hold to.
            poll_times: The times at which the event loop polled its sockets; without them, input never counts
                as delayed.

        Raises:
            OSError: If it can't listen on the address or the descriptor.
        """
        self.memory_budget = memory_budget or MemoryBudget()
        self.connections: ConnectionTable[ClientConnection] = ConnectionTable()
        self.draining = False
        self.evictions = 0
        self.handler = handler
        self.poll_times = poll_times or PollTimes(math.inf)
        self.settings = settings
        self.max_connections = max_connections
        self._victims: Iterator[ClientConnection] = iter(())
        self._victims_wait: CapacityWait | None = None  # the wait that they were chosen for
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._opening: set[ClientConnection] = set()  # accepted but not yet in `connections`
        self._idle_close_timer: asyncio.TimerHandle | None = None
        self._acceptor = Acceptor(address, listen_fd, self.poll_times, self)
        self.address = self._acceptor.address

    def start(self) -> None:
        """Start accepting connections."""
        self._acceptor.start()

    # -- Connections

    def is_full(self) -> bool:
        """Return whether the limit on connections is reached."""
        return len(self.connections) + len(self._opening) >= self.max_connections

    def is_opening(self) -> bool:
        """Return whether accepted connections are still being opened, so that their input is unread."""
        return bool(self._opening)

    def accepting_starts(self) -> None:
        """Choose anew which connections are evicted in this turn of the event loop."""
        self._victims_wait = None

    def ensure_capacity(self, wait: CapacityWait) -> bool:
        """Evict a connection on which no complete request waits for its response.

        Args:
            wait: For how long new connections have waited for capacity.

        Returns:
            Whether a connection was evicted.
        """
        if 2 * len(self._opening) >= self.max_connections:
            wait = NO_WAIT  # the input of so many new connections is read before any request is given up
        if wait is not self._victims_wait:
            self._victims_wait = wait
            self._victims = self.connections.victims(asyncio.get_running_loop().time(), wait)
        connection = next((each for each in self._victims if each in self.connections), None)
        if connection is None:
            return False
        self.evictions += 1
        connection.evict()
        self.connections.remove(connection)
        return True

    def shed_excess(self) -> None:
        """Evict connections beyond the limit on their number that no request in progress needs."""
        self.accepting_starts()
        while len(self.connections) > self.max_connections and self.ensure_capacity(NO_WAIT):
            pass

    def connection_accepted(self, sock: socket.socket, established_after: float) -> None:
        """Serve a connection that was established after this time on the event loop's clock."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bound_send_buffer(sock)
        connection = ClientConnection(self, sock, established_after)
        self._opening.add(connection)
        task = asyncio.get_running_loop().create_task(self._open_connection(sock, connection))
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    async def _open_connection(self, sock: socket.socket, connection: ClientConnection) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except BaseException as error:
            sock.close()
            if not isinstance(error, OSError):
                raise
        finally:
            self._opening.discard(connection)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection to those that are served."""
        self._opening.discard(connection)
        self.connections.add(connection)

    def input_received(self, connection: ClientConnection) -> None:
        """Record that a connection has received a part of a request."""
        self.connections.record_input(connection)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Record that a connection waits for its next request."""
        self.connections.record_kept_alive(connection)

    def connection_lingering(self, connection: ClientConnection) -> None:
        """Record that a connection lingers; end those that have done so for longest if too many do."""
        now = asyncio.get_running_loop().time()
        self.connections.record_lingering(connection, now)
        for excess in self.connections.excess_lingering(self.max_connections // _LINGERING_SHARE, now):
            self.connections.remove(excess)
            excess.end_linger()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop tracking a connection."""
        self.connections.remove(connection)

    def close_idle(self, only_used: bool) -> None:
        """Close idle connections; with `only_used`, keep those whose first request may be on its way."""
        for connection in list(self.connections):
            if connection.is_idle() and (connection.has_served or not only_used):
                connection.close()

    @property
    def refusals(self) -> int:
        """The number of connections that were refused."""
        return self._acceptor.refusals

    def is_empty(self) -> bool:
        """Return whether no connection is left."""
        return not self.connections and not self._open_tasks

    # -- Draining and shutdown

    def drain(self, idle_grace_s: float = 0.0) -> None:
        """Close each connection after its next response, and idle ones, until `cancel_drain` is called.

        New connections are still accepted, as clients retry a request that crosses the close of its
        connection.

        Args:
            idle_grace_s: The time for which idle connections are kept, so that most close after a response
                and no request crosses the close.
        """
        if not self.draining:
            self.draining = True
            self._close_idle_periodically(asyncio.get_running_loop().time() + idle_grace_s)

    def _close_idle_periodically(self, keep_idle_until: float) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() >= keep_idle_until:
            self.close_idle(only_used=True)
        self._idle_close_timer = loop.call_later(
            _IDLE_CLOSE_INTERVAL_S, self._close_idle_periodically, keep_idle_until
        )

    def cancel_drain(self) -> None:
        """Stop draining and keep connections open again."""
        self.draining = False
        if self._idle_close_timer is not None:
            self._idle_close_timer.cancel()

    def has_waiting_connections(self) -> bool:
        """Return whether connections wait to be accepted."""
        return self._acceptor.has_waiting_connections()

    def stop_listening(self, accept_pending: bool = True) -> None:
        """Stop listening; with `accept_pending`, first accept all waiting connections."""
        self._acceptor.close(accept_pending)

    async def close(self, timeout_s: float) -> None:
        """Close all connections within `timeout_s`, if possible after their responses are sent."""
        if self._idle_close_timer is not None:
            self._idle_close_timer.cancel()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        for connection in list(self.connections):
            connection.close_gracefully()
        while not self.is_empty():
            if loop.time() >= deadline:
                break
            await asyncio.sleep(_FLUSH_POLL_S)
        for task in (open_tasks := list(self._open_tasks)):
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)  # connection_lost is called in the next turn
