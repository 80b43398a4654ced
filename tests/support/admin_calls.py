"""Calls of an in-process sidecar's admin server, for the admin tests."""

from __future__ import annotations

import asyncio
import json

from loopback import PATIENCE_S, World, answer, ask, request
from sidecar_balancer.admin.server import AdminServer


def served(*_: object) -> bytes:
    """The response of a server that is up."""
    return answer(200, b"served")


def admin_server(sidecar_world: World) -> AdminServer:
    server = sidecar_world.sidecar.admin_server
    assert server is not None
    return server


async def call(sidecar_world: World, method: str, path: str, head: str = "") -> int:
    """Call the admin server; return the status."""
    data = f"{method} {path} HTTP/1.1\r\nHost: ops\r\n{head}\r\n".encode()
    return (await ask(admin_server(sidecar_world).address, data))[0]


async def readiness(sidecar_world: World) -> int:
    """Return the status of the client side's readiness check."""
    return (await ask(sidecar_world.sidecar.frontend.address, request(path="/health/ready")))[0]


async def disabled_servers(sidecar_world: World) -> set[str]:
    """Return the listed servers that the balancer holds as disabled."""
    data = b"GET /api/servers HTTP/1.1\r\nHost: ops\r\n\r\n"
    _, _, body = await ask(admin_server(sidecar_world).address, data)
    return {name for name, server in json.loads(body).items() if server["excluded"]}


async def wait_until_disabled(sidecar_world: World, servers: set[str]) -> None:
    """Wait until these of the listed servers are disabled and no others."""
    async with asyncio.timeout(PATIENCE_S):
        while await disabled_servers(sidecar_world) != servers:
            pass
