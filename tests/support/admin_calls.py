"""Calls to the admin server of an in-process sidecar, for the admin tests."""

from __future__ import annotations

import asyncio
import json

from loopback import WAIT_TIMEOUT_S, SidecarEnvironment, http_response, request, send_request
from sidecar_balancer.admin.server import AdminServer


def served(*_: object) -> bytes:
    """Return the response of a server that is up."""
    return http_response(200, b"served")


def admin_server(environment: SidecarEnvironment) -> AdminServer:
    server = environment.sidecar.admin_server
    assert server is not None
    return server


async def call(environment: SidecarEnvironment, method: str, path: str, head: str = "") -> int:
    """Call the admin server; return the status."""
    data = f"{method} {path} HTTP/1.1\r\nHost: ops\r\n{head}\r\n".encode()
    return (await send_request(admin_server(environment).address, data))[0]


async def readiness(environment: SidecarEnvironment) -> int:
    """Return the status of the readiness check on the clients' listener."""
    return (await send_request(environment.sidecar.frontend.address, request(path="/health/ready")))[0]


async def disabled_servers(environment: SidecarEnvironment) -> set[str]:
    """Return the listed servers that the balancer treats as disabled."""
    data = b"GET /api/servers HTTP/1.1\r\nHost: ops\r\n\r\n"
    _, _, body = await send_request(admin_server(environment).address, data)
    return {name for name, server in json.loads(body).items() if server["excluded"]}


async def wait_until_disabled(environment: SidecarEnvironment, servers: set[str]) -> None:
    """Wait until exactly these of the listed servers are disabled."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while await disabled_servers(environment) != servers:
            pass
