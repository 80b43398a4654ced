"""Transport of a client connection: unsent bytes, stalled readers and the close after a response."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from sidecar_balancer.runtime.memory_budget import MemoryBudget
from sidecar_balancer.runtime.sockets import unacknowledged_bytes
from sidecar_balancer.runtime.streams import STALL_TIMEOUT_S, BufferedReceiver

_LINGER_S = 1.0  # duration of lingering after the last byte read
_MAX_LINGER_S = 30.0  # limit on lingering in total, as a long body may still be arriving


class ClientTransport(BufferedReceiver):
    """A client connection below the HTTP layer.

    Closing a socket with unread input resets the connection, and the client may lose the end of its response.
    So where input may follow, the connection lingers: it ends only its sending side and discards input.
    """

    def __init__(self, sock: socket.socket, memory_budget: MemoryBudget) -> None:
        """Serve an accepted socket."""
        super().__init__(memory_budget)
        self._sock = sock
        self._timer: asyncio.TimerHandle | None = None  # timer of the one time limit that applies now
        self._unread_bytes = 0  # bytes that the client had not read at the last check
        self._linger_deadline: float | None = None  # None unless the connection lingers

    def close(self) -> None:
        """Close once all data is written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once, discarding unwritten data."""
        if self._transport is not None:
            self._transport.abort()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # -- Clients that read slowly or not at all

    def _start_write_timer(self) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(STALL_TIMEOUT_S, self._check_write_progress)

    def _check_write_progress(self) -> None:
        """Disconnect a client that reads nothing, but not one that reads slowly."""
        if self._transport is None:
            return
        unread_bytes = self._unread_output()
        if unread_bytes >= self._unread_bytes:
            self.abort()
            return
        self._unread_bytes = unread_bytes
        self._timer = asyncio.get_running_loop().call_later(STALL_TIMEOUT_S, self._check_write_progress)

    def _unread_output(self) -> int:
        """Return how much written data the client has not read, of which the kernel holds a part."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size() + unacknowledged_bytes(self._sock)

    # -- Lingering

    def _linger(self) -> None:
        """End the sending side and discard further input."""
        if self._transport is not None and not self._transport.is_closing():
            loop = asyncio.get_running_loop()
            self._linger_deadline = loop.time() + _MAX_LINGER_S
            self._input.clear()
            self._transport.resume_reading()
            with contextlib.suppress(OSError):  # the client has already closed
                self._transport.write_eof()
            self._update_charge()
            self._extend_linger()
            self._linger_started()

    def _linger_started(self) -> None:
        """Report that the connection lingers."""
        raise NotImplementedError

    def _extend_linger(self) -> None:
        loop = asyncio.get_running_loop()
        self._stop_timer()
        linger_until = min(loop.time() + _LINGER_S, self._linger_deadline or 0.0)
        self._timer = loop.call_at(linger_until, self.end_linger)

    def end_linger(self) -> None:
        """Close a connection that has lingered for long enough."""
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._transport.abort()  # a close would wait for the client, which does not read
        else:
            self.close()
