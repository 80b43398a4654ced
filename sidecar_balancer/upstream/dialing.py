"""Dialing of connections to servers."""

from __future__ import annotations

import asyncio
import socket
from functools import partial

from sidecar_balancer.addresses import Address
from sidecar_balancer.runtime.streams import BodyMemory
from sidecar_balancer.upstream.server_connection import ServerConnection


async def connect(
    address: Address, max_body_bytes: int, body_memory: BodyMemory | None = None
) -> ServerConnection:
    """Open a connection to a server.

    Args:
        address: The address that the server listens on.
        max_body_bytes: The longest response body to buffer.
        body_memory: The memory that bodies are counted in; by default one for this connection alone.

    Raises:
        OSError: If the connection can't be established.
        ValueError: If the host is not a valid name.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, address)
        factory = partial(ServerConnection, sock, max_body_bytes, body_memory or BodyMemory())
        _, connection = await loop.create_connection(factory, sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection
