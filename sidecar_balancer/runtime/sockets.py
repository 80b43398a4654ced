"""Checks of what the kernel has received on a socket, without reading it."""

from __future__ import annotations

import select
import socket


def has_no_unread_input(sock: socket.socket) -> bool:
    """Return whether a connection has nothing unread: no data, no end of input, no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def is_readable(sock: socket.socket) -> bool:
    """Return whether a socket has input to read or, if it is listening, a connection to accept."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side, even if data sent before that is still unread."""
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))
