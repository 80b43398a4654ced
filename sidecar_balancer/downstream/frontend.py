"""Accepts the application's connections, within a bound on their number, and drains them."""

from __future__ import annotations

import asyncio
import logging
import math
import socket

from sidecar_balancer.addresses import Address
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.downstream.request import RequestHandler
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.runtime.queueing import BacklogAge, PollTimes
from sidecar_balancer.runtime.sockets import is_readable
from sidecar_balancer.runtime.streams import (
    BodyMemory,
)

log = logging.getLogger(__name__)

_LISTEN_BACKLOG = 512
_MAX_ACCEPTS_PER_TURN = 64  # connections taken in one step of the event loop
_IDLE_CLOSE_INTERVAL_S = 0.02  # how often a drain looks for connections that came to rest
_FLUSH_POLL_S = 0.005  # how often the end looks whether its last answers have left
_ACCEPT_PAUSE_S = 0.05  # after a failed accept, descriptors lacking: no spinning


def _adopt_listening_socket(fd: int) -> socket.socket:
    """The listening socket that the platform holds; OSError on anything else."""
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        raise OSError(f"descriptor {fd}, where the clients' listening socket should be: {error}") from None
    try:
        listens = bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
    except OSError:
        listens = False
    if not listens:
        sock.detach()  # it is not ours to close
        raise OSError(f"descriptor {fd} is no listening socket")
    return sock


class Frontend:
    """Listens for the application, within a bound on its connections."""

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
        self.handler = handler
        self.poll_times = poll_times or PollTimes(math.inf)  # without: input is never known to have waited
        self._backlog = BacklogAge(_LISTEN_BACKLOG)
        self.body_memory = body_memory or BodyMemory()
        self.settings = settings
        self.draining = False
        self._idle_close_timer: asyncio.TimerHandle | None = None
        self.connections: dict[ClientConnection, None] = {}  # the longest at rest first
        self._max_connections = max_connections
        self._accepting = False
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._opening: set[ClientConnection] = set()  # those accepted that are not among `connections` yet
        if listen_fd is None:
            self._sock = socket.create_server(address, backlog=_LISTEN_BACKLOG)
        else:
            self._sock = _adopt_listening_socket(listen_fd)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    def start(self) -> None:
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept_waiting)

    def _stop_accepting(self) -> None:
        """Leave new connections to the kernel's queue for now."""
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._sock)

    def _accept_waiting(self) -> bool:
        """Take connections that wait, a bounded number in a step: the operators' door must have its turn.

        Says whether more may be waiting.
        """
        self._sock.setblocking(False)  # an inherited socket shares its flags with whoever else holds it
        now, unread_since = asyncio.get_running_loop().time(), self.poll_times.unread_since
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            if len(self.connections) + len(self._opening) >= self._max_connections:
                if not is_readable(self._sock):  # no room is made for nobody
                    self._backlog.emptied()
                    return False
                if not self._ensure_capacity():
                    self._backlog.left(unread_since, now)
                    self._pause_accepting()
                    return False
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self._backlog.emptied()
                return False
            except OSError as error:
                log.error("accept: %s", error)
                self._backlog.left(unread_since, now)
                self._pause_accepting()
                return False
            self._accept_connection(sock, self._backlog.oldest(unread_since))
            self._backlog.accepted(now)
        self._backlog.left(unread_since, now)
        return True

    def _pause_accepting(self) -> None:
        self._stop_accepting()
        asyncio.get_running_loop().call_later(_ACCEPT_PAUSE_S, self._resume_accepting)

    def _accept_connection(self, sock: socket.socket, established_after: float) -> None:
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
        """Count an accepted connection among those that are served from now on."""
        self._opening.discard(connection)
        self.connections[connection] = None

    def _ensure_capacity(self) -> bool:
        """Close the connection longest at rest, preferring one that has carried a request.

        A connection that carried none was opened for a request that may still be on its way.
        """
        chosen = self._longest_idle(has_served=True) or self._longest_idle(has_served=False)
        if chosen is None:
            return False
        chosen.close()
        del self.connections[chosen]
        return True

    def _longest_idle(self, has_served: bool) -> ClientConnection | None:
        """Find the first closable connection; it stops there, as each look at one is a system call."""
        return next(
            (each for each in self.connections if each.has_served is has_served and each.is_idle()), None
        )

    def connection_idle(self, connection: ClientConnection) -> None:
        """A connection has begun to rest, or to wait for its next request."""
        if self.connections.pop(connection, self) is None:
            self.connections[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)

    def drain(self, idle_grace_s: float = 0.0) -> None:
        """Send clients away until `undrain`: each answer ends its connection, and those at rest are closed.

        New connections are still taken: a request that crosses the closing of its connection comes again.
        Those at rest are kept for `kept_s`, so that most end by an answer and are crossed by nothing.
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
        """Be there for clients again."""
        self.draining = False
        if self._idle_close_timer is not None:
            self._idle_close_timer.cancel()

    def close_idle(self, only_used: bool) -> None:
        """Close what is at rest; with `used`, not what was just opened for a request still on its way."""
        for connection in list(self.connections):
            if connection.is_idle() and (connection.has_served or not only_used):
                connection.close()

    def stop_listening(self, accept_pending: bool = True) -> None:
        """Listen no more; with `take`, not before all that waits is taken.

        An inherited socket is closed here and never shut down: it goes on at others that hold it.
        """
        if self._sock.fileno() >= 0:
            while accept_pending and self._accept_waiting():
                pass
            if self._accepting:
                self._stop_accepting()
            self._sock.close()

    def is_empty(self) -> bool:
        return not self.connections and not self._open_tasks

    async def close(self, within_s: float) -> None:
        """End all connections, each with its answer on the wire first; none lasts longer than `within_s`."""
        if self._idle_close_timer is not None:
            self._idle_close_timer.cancel()
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        for connection in list(self.connections):
            connection.close_gracefully()
        while not self.is_empty() and loop.time() < until:
            await asyncio.sleep(_FLUSH_POLL_S)
        for task in (open_tasks := list(self._open_tasks)):
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)  # their ends are told in the next turn
