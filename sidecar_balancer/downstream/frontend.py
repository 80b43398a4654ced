"""The connections of the application: a bound on their number, draining and graceful shutdown."""

from __future__ import annotations

import asyncio
import math
import socket

from sidecar_balancer.addresses import Address
from sidecar_balancer.downstream.acceptor import Acceptor
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.downstream.request import RequestHandler
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.runtime.queueing import PollTimes
from sidecar_balancer.runtime.streams import BodyMemory

_IDLE_CLOSE_INTERVAL_S = 0.02  # how often a drain looks for idle connections
_FLUSH_POLL_S = 0.005  # how often the shutdown looks whether the last responses have been sent


class Frontend:
    """Serves the application, within a bound on its connections.

    Attributes:
        address: Where it listens.
        body_memory: The memory that bodies count in.
        connections: The connections that are served, the longest idle first.
        draining: Whether each response is the last one of its connection.
        handler: Who handles the requests.
        poll_times: When the event loop looked at its sockets.
        settings: The service classes and tenants.
    """

    def __init__(
        self,
        address: Address,
        max_connections: int,
        handler: RequestHandler,
        settings: Settings,
        listen_fd: int | None = None,
        body_memory: BodyMemory | None = None,
        poll_times: PollTimes | None = None,
    ) -> None:
        """Listen, and accept nothing yet.

        Args:
            address: Where to listen, unless `listen_fd` is an inherited listening socket.
            max_connections: The bound on connections.
            handler: Who handles the requests.
            settings: The service classes and tenants.
            listen_fd: The descriptor of an inherited listening socket.
            body_memory: The memory that bodies count in.
            poll_times: When the event loop looked at its sockets; without it, input never counts as delayed.

        Raises:
            OSError: If it can't listen.
        """
        self.body_memory = body_memory or BodyMemory()
        self.connections: dict[ClientConnection, None] = {}
        self.draining = False
        self.handler = handler
        self.poll_times = poll_times or PollTimes(math.inf)
        self.settings = settings
        self._max_connections = max_connections
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._opening: set[ClientConnection] = set()  # accepted, and not among `connections` yet
        self._idle_close_timer: asyncio.TimerHandle | None = None
        self._acceptor = Acceptor(address, listen_fd, self.poll_times, self)
        self.address = self._acceptor.address

    def start(self) -> None:
        """Accept connections from now on."""
        self._acceptor.start()

    # -- Connections

    def is_full(self) -> bool:
        """Return whether the bound on connections is reached."""
        return len(self.connections) + len(self._opening) >= self._max_connections

    def ensure_capacity(self) -> bool:
        """Close the connection longest idle, preferring one that has carried a request.

        One that has not was opened for a request that may still be on its way.

        Returns:
            Whether there was one to close.
        """
        connection = self._longest_idle(has_served=True) or self._longest_idle(has_served=False)
        if connection is None:
            return False
        connection.close()
        del self.connections[connection]
        return True

    def _longest_idle(self, has_served: bool) -> ClientConnection | None:
        """Find the first idle connection; no more are checked, as each check is a system call."""
        for connection in self.connections:
            if connection.has_served is has_served and connection.is_idle():
                return connection
        return None

    def connection_accepted(self, sock: socket.socket, established_after: float) -> None:
        """Serve a connection, which came up after that time on the event loop's clock."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
        """Count a connection among those that are served."""
        self._opening.discard(connection)
        self.connections[connection] = None

    def connection_idle(self, connection: ClientConnection) -> None:
        """Count a connection as the one idle for the shortest time."""
        if self.connections.pop(connection, self) is None:
            self.connections[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.pop(connection, None)

    def close_idle(self, only_used: bool) -> None:
        """Close idle connections; with `only_used`, none whose first request may be on its way."""
        for connection in list(self.connections):
            if connection.is_idle() and (connection.has_served or not only_used):
                connection.close()

    def is_empty(self) -> bool:
        """Return whether no connection is left."""
        return not self.connections and not self._open_tasks

    # -- Draining and shutdown

    def drain(self, idle_grace_s: float = 0.0) -> None:
        """End each connection with its next response and close idle ones, until `cancel_drain`.

        New connections are still accepted, as clients retry a request that crosses the close of theirs.

        Args:
            idle_grace_s: How long idle connections are kept, so that most end by a response and no request
                crosses their close.
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
        """Keep connections open again."""
        self.draining = False
        if self._idle_close_timer is not None:
            self._idle_close_timer.cancel()

    def stop_listening(self, accept_pending: bool = True) -> None:
        """Stop listening; with `accept_pending`, accept first all that waits."""
        self._acceptor.close(accept_pending)

    async def close(self, timeout_s: float) -> None:
        """End all connections within `timeout_s`, if possible each with its response on the wire."""
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
