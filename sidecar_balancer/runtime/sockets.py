"""Checks of what the kernel has received on a socket, without reading it."""

from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import struct
import termios

_BUFFER_BYTES = 64 * 1024  # the kernel doubles it; its buffers belong to the memory of the sidecar
_INT = struct.Struct("=i")


def bound_send_buffer(sock: socket.socket) -> None:
    """Keep the kernel from growing the send buffer to megabytes, so that the reading of a slow peer shows."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)


def peek(sock: socket.socket, size: int) -> bytes:
    """Return unread input without taking it; b"" if there is none."""
    try:
        return sock.recv(size, socket.MSG_PEEK)
    except OSError:
        return b""


def unread_bytes(sock: socket.socket) -> int:
    """Return how many received bytes the kernel holds; 0 if that is unknown."""
    return _queued_bytes(sock, termios.FIONREAD)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged; 0 if that is unknown."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def _queued_bytes(sock: socket.socket, request: int) -> int:
    try:
        (size,) = _INT.unpack(fcntl.ioctl(sock.fileno(), request, bytes(_INT.size)))
    except (OSError, ValueError):
        return 0
    return int(size)


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
