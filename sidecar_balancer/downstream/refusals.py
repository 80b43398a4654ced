"""Connections that are refused with a response, as there is no room to serve them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
_MAX_OPEN = 16  # part of the descriptors that are kept free
_CLOSE_DELAY_S = 0.05  # a close over unread input would reset the connection and discard the response
_MAX_DISCARDED_BYTES = 64 * 1024


class Refusals:
    """Refused connections that are about to be closed.

    Attributes:
        count: The number of connections that have been refused.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.count = 0
        self._open: set[socket.socket] = set()

    def is_full(self) -> bool:
        """Return whether no further connection can be refused for now."""
        return len(self._open) >= _MAX_OPEN

    def refuse(self, sock: socket.socket) -> None:
        """Answer an accepted connection with 503, unread, and close it."""
        self.count += 1
        self._open.add(sock)
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.send(_RESPONSE)
            sock.shutdown(socket.SHUT_WR)
        asyncio.get_running_loop().call_later(_CLOSE_DELAY_S, self._close, sock)

    def _close(self, sock: socket.socket) -> None:
        self._open.discard(sock)
        with contextlib.suppress(OSError):
            sock.recv(_MAX_DISCARDED_BYTES)
        sock.close()

    def close(self) -> None:
        """Close all connections at once."""
        for sock in list(self._open):
            self._close(sock)
