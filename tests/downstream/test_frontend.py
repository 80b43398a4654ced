"""The limit on client connections, and accepting at the limit."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket

import pytest

from loopback import (
    http_response,
    is_closed,
    read_response,
    request,
    run_scenario,
    running_sidecar,
    send_request,
    wait_until,
)
from policy_settings import settings
from sidecar_balancer.downstream import client_connection, request_deadline
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.downstream.request import ClientRequest
from sidecar_balancer.runtime import sockets


def served(*_: object) -> bytes:
    return http_response(200, b"served")


def test_connection_beyond_the_limit_replaces_an_idle_one() -> None:
    # Guards the limit on file descriptors: 66 sockets leave one for clients.
    async def scenario() -> None:
        async with running_sidecar(served, sockets=66) as environment:
            first, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request())
            assert (await read_response(first))[0] == 200
            for _ in range(3):
                assert (await environment.send_request())[0] == 200
            assert await is_closed(first)
            writer.close()

    run_scenario(scenario())


def test_flood_of_idle_clients_costs_bounded_checks_and_closes_only_what_it_must(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a failure of herd+crowd: each connection accepted at the limit checked all others, with
    # one system call each.  The longer time limit keeps silent clients connected meanwhile.
    monkeypatch.setattr(request_deadline, "REQUEST_TIMEOUT_S", 60.0)
    checks, real_check = 0, sockets.has_no_unread_input

    def counted_check(sock: socket.socket) -> bool:
        nonlocal checks
        checks += 1
        return real_check(sock)

    async def scenario() -> None:
        max_connections, flood = 100, 300
        async with running_sidecar(served, sockets=64 + 2 * max_connections) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request())
            assert (await read_response(reader))[0] == 200
            monkeypatch.setattr(client_connection, "has_no_unread_input", counted_check)
            with contextlib.ExitStack() as clients:
                for _ in range(flood):
                    clients.enter_context(socket.create_connection(environment.sidecar.frontend.address))
                    await asyncio.sleep(0)
                await wait_until(lambda: not environment.sidecar.frontend._open_tasks)
                assert len(environment.sidecar.frontend.connections) == max_connections
                assert checks <= 2 * flood
            writer.close()

    run_scenario(scenario())


class ImmediateHandler:
    """Responds to each request at once."""

    def request_received(self, client_request: ClientRequest) -> None:
        client_request.response_writer.respond(200, [], b"taken")

    def body_completed(self, client_request: ClientRequest) -> None:
        pass

    def client_disconnected(self, client_request: ClientRequest) -> None:
        pass


def test_lack_of_descriptors_neither_spins_nor_stops_accepting() -> None:
    class ListenerWithoutDescriptors:
        """A listener whose first accepts fail."""

        def __init__(self, real_listener: socket.socket) -> None:
            self.real_listener, self.failures = real_listener, 3

        def accept(self) -> object:
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return self.real_listener.accept()

        def fileno(self) -> int:
            return self.real_listener.fileno()

        def setblocking(self, flag: bool) -> None:
            self.real_listener.setblocking(flag)

    async def scenario() -> None:
        frontend = Frontend(("127.0.0.1", 0), 5, ImmediateHandler(), settings())
        acceptor = frontend._acceptor
        real_listener = acceptor._sock
        acceptor._sock = ListenerWithoutDescriptors(real_listener)  # type: ignore[assignment]
        frontend.start()
        assert (await send_request(frontend.address, request()))[2] == b"taken"
        acceptor._sock = real_listener
        frontend.stop_listening()
        await wait_until(frontend.is_empty)

    run_scenario(scenario())
