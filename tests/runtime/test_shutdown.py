"""The graceful shutdown: what is in flight is answered, or visibly broken off."""

from __future__ import annotations

import asyncio
import socket

import pytest

from helpers import IDEMPOTENT, NON_IDEMPOTENT, S
from loopback import (
    assert_nothing_pending,
    http_response,
    request,
    running_sidecar,
    unresponsive_listener,
    wait_until,
)
from scenario_helpers import RawClient, hung, served
from sidecar_balancer.policy.types import ServerState
from sidecar_balancer.runtime.streams import STALL_TIMEOUT_S
from virtual_clock import RunScenario


def test_request_in_flight_at_the_last_moment_is_answered_on_the_wire(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, classes=[NON_IDEMPOTENT | {"deadline_us": 60 * S}]) as environment:
            client = RawClient(environment)
            client.send(request("pay", body=b"x", budget="50") + b"unread" * 100)
            await wait_until(environment.sent)
            started_at = asyncio.get_running_loop().time()
            environment.stop.set()
            await wait_until(lambda: environment.sidecar._timers._is_closed)
            assert 3.6 <= asyncio.get_running_loop().time() - started_at < 3.7  # killed it is after 3.7 s
            got = client.sock.recv(10_000)
            assert got.startswith(b"HTTP/1.1 500")
            assert b"Connection: close" in got
            assert client.sock.recv(1) == b""  # its end, and no reset that would take the answer away
            assert_nothing_pending(environment.sidecar)
            client.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_streamed_response_cut_off_by_the_shutdown_is_visibly_broken(
    on_virtual_clock: RunScenario, version: bytes
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, classes=[IDEMPOTENT | {"deadline_us": 1 * S}]) as environment:
            client = RawClient(environment)
            client.send(request(budget="1.0").replace(b"HTTP/1.1", version))
            await wait_until(environment.sent)
            (live,), (there,) = environment.sidecar.proxy.in_flight.values(), environment.servers[0].writers
            there.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
            await wait_until(lambda: live.streamed_attempt is not None)
            await asyncio.sleep(0.1)
            environment.stop.set()
            await wait_until(lambda: environment.sidecar._timers._is_closed)
            assert_nothing_pending(environment.sidecar)
            got = client.sock.recv(10_000)
            assert b"part" in got
            assert not got.endswith(b"0\r\n\r\n")
            if version == b"HTTP/1.0":  # only the connection's end tells it that an answer is whole
                with pytest.raises(ConnectionResetError):
                    client.sock.recv(1)
            else:
                assert client.sock.recv(1) == b""
            client.sock.close()

    on_virtual_clock(scenario())


def test_stalled_client_of_a_response_delimited_by_its_end_sees_a_reset(
    on_virtual_clock: RunScenario,
) -> None:
    piece = b"10000\r\n" + bytes(0x10000) + b"\r\n"

    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(environment.sidecar.frontend.address)
            sock.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            await wait_until(environment.sent)
            (connection,), (there,) = environment.sidecar.frontend.connections, environment.servers[0].writers
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            there.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + piece * 20)
            await wait_until(lambda: connection._write_blocked)
            await asyncio.sleep(STALL_TIMEOUT_S)  # it reads nothing
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            sock.setblocking(True)
            with pytest.raises(ConnectionResetError):
                _read_to_the_end(sock)
            sock.close()

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


@pytest.mark.parametrize("at", ["unaccepted", "unbegun", "dialling", "answering", "crossing"])
def test_request_that_meets_the_drain_is_answered(on_virtual_clock: RunScenario, at: str) -> None:
    async def scenario() -> None:
        async with running_sidecar(
            hung if at == "answering" else served, graceful_shutdown=True
        ) as environment:
            with unresponsive_listener() as address:
                if at == "dialling":
                    environment.sidecar.endpoint_pool.update("s-0", address, None, ServerState.READY)
                if at == "unaccepted":
                    environment.sidecar.frontend._acceptor.pause()
                client = RawClient(environment)
                if at not in ("unaccepted", "unbegun"):
                    await wait_until(lambda: environment.sidecar.frontend.connections)
                if at == "crossing":
                    environment.stop.set()
                    await asyncio.sleep(0.64)  # one step before those just opened are closed
                client.send(request())
                if at == "dialling":
                    await wait_until(lambda: environment.sidecar.endpoint_pool._dial_tasks)
                if at == "answering":
                    await wait_until(environment.sent)
                environment.stop.set()
                if at == "answering":
                    environment.servers[0].writers[-1].write(http_response(200, b"served"))
                await wait_until(lambda: environment.sidecar._timers._is_closed)
                got = client.sock.recv(10_000)
                status = b"503" if at == "dialling" else b"200"
                assert got.startswith(b"HTTP/1.1 " + status)
                assert client.sock.recv(1) == b""
                client.sock.close()

    on_virtual_clock(scenario())


def _read_to_the_end(sock: socket.socket) -> None:
    while sock.recv(65_536):
        pass
