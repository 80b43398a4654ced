"""Graceful shutdown: requests in flight get a response, and a truncated response is detectable."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loopback import (
    assert_nothing_pending,
    http_response,
    request,
    running_sidecar,
    unresponsive_listener,
    wait_until,
)
from policy_settings import IDEMPOTENT, NON_IDEMPOTENT, S
from scenario_helpers import RawClient, hung, served
from sidecar_balancer.policy.types import ServerState
from sidecar_balancer.runtime.streams import STALL_TIMEOUT_S
from virtual_clock import RunScenario


def test_request_in_flight_at_the_end_of_the_drain_gets_its_response(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, classes=[NON_IDEMPOTENT | {"deadline_us": 60 * S}]) as environment:
            client = RawClient(environment)
            client.send(request("pay", body=b"x", budget="50") + b"unread" * 100)
            await wait_until(environment.sent)
            started_at = asyncio.get_running_loop().time()
            environment.stop.set()
            await wait_until(lambda: environment.sidecar._timers._is_closed)
            # The platform kills the process after 3.7 s.
            assert 3.6 <= asyncio.get_running_loop().time() - started_at < 3.7
            received = client.sock.recv(10_000)
            assert received.startswith(b"HTTP/1.1 500")
            assert b"Connection: close" in received
            assert client.sock.recv(1) == b""  # closed without a reset, which would discard the response
            assert_nothing_pending(environment.sidecar)
            client.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_streamed_response_truncated_by_the_shutdown_is_detectably_incomplete(
    on_virtual_clock: RunScenario, version: bytes
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, classes=[IDEMPOTENT | {"deadline_us": 1 * S}]) as environment:
            client = RawClient(environment)
            client.send(request(budget="1.0").replace(b"HTTP/1.1", version))
            await wait_until(environment.sent)
            (in_flight_request,), (server_writer,) = (
                environment.sidecar.proxy.in_flight.values(),
                environment.servers[0].writers,
            )
            server_writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
            await wait_until(lambda: in_flight_request.streamed_attempt is not None)
            await asyncio.sleep(0.1)
            environment.stop.set()
            await wait_until(lambda: environment.sidecar._timers._is_closed)
            assert_nothing_pending(environment.sidecar)
            received = client.sock.recv(10_000)
            assert b"part" in received
            assert not received.endswith(b"0\r\n\r\n")
            if version == b"HTTP/1.0":  # the end of the connection ends the response
                with pytest.raises(ConnectionResetError):
                    client.sock.recv(1)
            else:
                assert client.sock.recv(1) == b""
            client.sock.close()

    on_virtual_clock(scenario())


def test_stalled_client_of_a_response_delimited_by_connection_close_sees_a_reset(
    on_virtual_clock: RunScenario,
) -> None:
    chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"

    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(environment.sidecar.frontend.address)
            sock.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            await wait_until(environment.sent)
            (connection,), (server_writer,) = (
                environment.sidecar.frontend.connections,
                environment.servers[0].writers,
            )
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            server_writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 20)
            await wait_until(lambda: connection._write_blocked)
            await asyncio.sleep(STALL_TIMEOUT_S)  # the client reads nothing
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            sock.setblocking(True)
            with pytest.raises(ConnectionResetError):
                _read_to_the_end(sock)
            sock.close()

    on_virtual_clock(scenario())


# Guards against requests that are reset in the kernel's queue when the listening socket closes.
def test_requests_that_wait_for_capacity_during_a_shutdown_are_answered(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        classes = [IDEMPOTENT | {"deadline_us": 2 * S}]
        async with running_sidecar(hung, sockets=72, classes=classes) as environment:
            assert environment.sidecar.frontend.max_connections == 4
            clients = [RawClient(environment) for _ in range(4)]
            for client in clients:
                client.send(request(budget="1.5"))
            await wait_until(lambda: len(environment.sidecar.proxy.in_flight) == 4)
            environment.stop.set()
            await asyncio.sleep(0.3)
            waiting = [RawClient(environment) for _ in range(6)]
            for client in waiting:
                client.send(request(budget="1.0"))
            await wait_until(lambda: environment.sidecar._timers._is_closed)
            assert_nothing_pending(environment.sidecar)
            for client in (*clients, *waiting):
                assert client.sock.recv(10_000).startswith(b"HTTP/1.1 50")
                client.sock.close()

    on_virtual_clock(scenario())


def test_idle_connections_do_not_delay_the_shutdown(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            used, fresh = RawClient(environment), RawClient(environment)
            used.send(request())
            await wait_until(lambda: len(environment.sidecar.frontend.connections) == 2)
            await wait_until(lambda: len(environment.sent()) == 1 and not environment.sidecar.proxy.in_flight)
            started_at = asyncio.get_running_loop().time()
            environment.stop.set()
            await wait_until(lambda: environment.sidecar._timers._is_closed)
            assert asyncio.get_running_loop().time() - started_at < 0.75
            assert_nothing_pending(environment.sidecar)
            for each in (used, fresh):
                each.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("phase", ["unaccepted", "just connected", "dialling", "responding", "crossing"])
def test_request_that_meets_the_drain_gets_a_response(on_virtual_clock: RunScenario, phase: str) -> None:
    async def scenario() -> None:
        async with running_sidecar(
            hung if phase == "responding" else served, graceful_shutdown=True
        ) as environment:
            with unresponsive_listener() as address:
                if phase == "dialling":
                    environment.sidecar.endpoint_pool.update("s-0", address, None, ServerState.READY)
                if phase == "unaccepted":
                    environment.sidecar.frontend._acceptor.pause()
                client = RawClient(environment)
                if phase not in ("unaccepted", "just connected"):
                    await wait_until(lambda: environment.sidecar.frontend.connections)
                if phase == "crossing":
                    environment.stop.set()
                    await asyncio.sleep(0.64)  # just before connections without a request are closed
                client.send(request())
                if phase == "dialling":
                    await wait_until(lambda: environment.sidecar.endpoint_pool._dial_tasks)
                if phase == "responding":
                    await wait_until(environment.sent)
                environment.stop.set()
                if phase == "responding":
                    environment.servers[0].writers[-1].write(http_response(200, b"served"))
                await wait_until(lambda: environment.sidecar._timers._is_closed)
                received = client.sock.recv(10_000)
                status = b"503" if phase == "dialling" else b"200"
                assert received.startswith(b"HTTP/1.1 " + status)
                assert client.sock.recv(1) == b""
                client.sock.close()

    on_virtual_clock(scenario())


def _read_to_the_end(sock: socket.socket) -> None:
    while sock.recv(65_536):
        pass
