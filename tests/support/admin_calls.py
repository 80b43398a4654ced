"""Calls of an in-process sidecar's admin server, for the admin tests."""

from __future__ import annotations

from loopback import World, answer, ask, request
from sidecar_balancer.admin.server import AdminServer
from sidecar_balancer.policy.balancer import Balancer


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


def balancer(sidecar_world: World) -> Balancer:
    return sidecar_world.sidecar._engine.balancer
