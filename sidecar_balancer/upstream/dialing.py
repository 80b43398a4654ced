"""Dialing of connections to servers."""

from __future__ import annotations

import asyncio
import socket
from functools import partial

from sidecar_balancer.addresses import Address
from sidecar_balancer.runtime.memory_budget import MemoryBudget
from sidecar_balancer.runtime.sockets import bound_send_buffer
from sidecar_balancer.upstream.server_connection import ServerConnection


async def connect(
    address: Address, max_body_bytes: int, memory_budget: MemoryBudget | None = None
) -> ServerConnection:
    """Open a connection to a server.

    Args:
        address: The address that the server listens on.
        max_body_bytes: The longest response body to buffer.
        memory_budget: The memory that bodies are counted in; by default one for this connection alone.

    Raises:
        OSError: If the connection can't be established.
        ValueError: If the host is not a valid name.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bound_send_buffer(sock)
        await loop.sock_connect(sock, address)
        factory = partial(ServerConnection, sock, max_body_bytes, memory_budget or MemoryBudget())
        _, connection = await loop.create_connection(factory, sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection
