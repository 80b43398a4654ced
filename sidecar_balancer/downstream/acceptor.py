"""Acceptor of client connections, which accepts a bounded number in each turn of the event loop."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol

from sidecar_balancer.addresses import Address
from sidecar_balancer.downstream.connection_table import NO_WAIT, CapacityWait
from sidecar_balancer.downstream.refusals import Refusals
from sidecar_balancer.runtime.queueing import BacklogAge, PollTimes
from sidecar_balancer.runtime.sockets import is_readable

log = logging.getLogger(__name__)

_LISTEN_BACKLOG = 512
_MAX_ACCEPTS_PER_TURN = 16  # lets other sockets, such as the admin server's, be served in each turn
_MAX_QUEUE_S = 0.5  # time for which connections wait for room, after which they may be refused
_ACCEPT_PAUSE_S = 0.02  # avoids a busy loop at the limit, and lets input be read


class AcceptHandler(Protocol):
    """Receiver of accepted connections, with a limit on their number."""

    def is_full(self) -> bool:
        """Return whether the limit on connections is reached."""

    def is_opening(self) -> bool:
        """Return whether accepted connections are still being opened, so that their input is unread."""

    def accepting_starts(self) -> None:
        """Prepare for the connections of one turn of the event loop."""

    def ensure_capacity(self, wait: CapacityWait) -> bool:
        """Make room for one more connection; return whether that succeeded.

        Args:
            wait: For how long new connections have waited for capacity.
        """

    def connection_accepted(self, sock: socket.socket, established_after: float) -> None:
        """Serve a connection that was established after this time on the event loop's clock."""


class Acceptor:
    """The listening socket for clients.

    Attributes:
        address: The address that it listens on.
    """

    def __init__(
        self, address: Address, listen_fd: int | None, poll_times: PollTimes, handler: AcceptHandler
    ) -> None:
        """Listen on the inherited descriptor, or else on the address, without accepting yet.

        Raises:
            OSError: If the address can't be bound, or the descriptor is not a listening socket.
        """
        if listen_fd is None:
            self._sock = socket.create_server(address, backlog=_LISTEN_BACKLOG)
        else:
            self._sock = _adopt_listening_socket(listen_fd)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]
        self._backlog = BacklogAge(_LISTEN_BACKLOG)
        self._poll_times = poll_times
        self._handler = handler
        self._refusals = Refusals()
        self._is_accepting = False
        self._full_since: float | None = None  # start of the wait for capacity; None: nobody waits
        self._last_accepted_at = 0.0

    def start(self) -> None:
        """Start accepting connections."""
        if not self._is_accepting and self._sock.fileno() >= 0:
            self._is_accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept_waiting)

    def pause(self) -> None:
        """Stop accepting; new connections wait in the kernel's queue."""
        self._is_accepting = False
        asyncio.get_running_loop().remove_reader(self._sock)

    def has_waiting_connections(self) -> bool:
        """Return whether connections wait to be accepted."""
        return self._sock.fileno() >= 0 and is_readable(self._sock)

    def close(self, accept_pending: bool) -> None:
        """Stop listening; with `accept_pending`, first accept all waiting connections.

        An inherited socket is closed but never shut down, as other processes may still use it.
        """
        if self._sock.fileno() >= 0:
            while accept_pending and self._accept_waiting():
                pass
            if self._is_accepting:
                self.pause()
            self._sock.close()
            self._refusals.close()

    def _accept_waiting(self) -> bool:
        """Accept connections; return whether more may be waiting."""
        self._sock.setblocking(False)  # processes that share an inherited socket share this flag
        now, unread_since = asyncio.get_running_loop().time(), self._poll_times.unread_since
        wait = self._capacity_wait(now)
        self._handler.accepting_starts()
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            if self._handler.is_full():
                if not is_readable(self._sock):  # no connection is waiting
                    self._record_emptied()
                    return False
                if not self._handler.ensure_capacity(wait):
                    self._refuse_waiting(wait)
                    self._pause_for_resources(unread_since, now)
                    return False
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self._record_emptied()
                return False
            except OSError as error:
                _log_failure(error)
                self._handler.ensure_capacity(wait)  # frees a descriptor
                self._pause_for_resources(unread_since, now)
                return False
            self._last_accepted_at = now
            self._handler.connection_accepted(sock, self._backlog.oldest_arrival(unread_since))
            self._backlog.record_accepted(now)
        self._backlog.record_remaining(unread_since, now)
        return True

    def _refuse_waiting(self, wait: CapacityWait) -> None:
        """Refuse those that wait if there has been too little room for long."""
        while wait.queued_s >= _MAX_QUEUE_S and not self._refusals.is_full():
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._refusals.refuse(sock)

    @property
    def refusals(self) -> int:
        """The number of connections that were refused."""
        return self._refusals.count

    def _record_emptied(self) -> None:
        self._backlog.record_emptied()
        self._full_since = None

    def _capacity_wait(self, now: float) -> CapacityWait:
        """Return for how long connections have waited; not at all while accepted ones are being opened."""
        if self._full_since is None or self._handler.is_opening():
            return NO_WAIT
        accepted_at = max(self._last_accepted_at, self._full_since)
        return CapacityWait(now - self._full_since, now - accepted_at)

    def _pause_for_resources(self, unread_since: float, now: float) -> None:
        self._backlog.record_remaining(unread_since, now)
        if self._full_since is None:
            self._full_since = now
        self.pause()
        asyncio.get_running_loop().call_later(_ACCEPT_PAUSE_S, self.start)


def _log_failure(error: OSError) -> None:
    log.error("accepting a connection failed: %s", error, extra={"event": "accept_failed"})


def _adopt_listening_socket(fd: int) -> socket.socket:
    """Return the listening socket that the platform passes to this process.

    Raises:
        OSError: If the descriptor is not a listening socket.
    """
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        raise OSError(f"expected the clients' listening socket at descriptor {fd}: {error}") from None
    try:
        is_listening = bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
    except OSError:
        is_listening = False
    if not is_listening:
        sock.detach()  # leaves the descriptor open, as this process doesn't own it
        raise OSError(f"descriptor {fd} is not a listening socket")
    return sock
