"""Client connections: pipelining, slow clients, and rejections."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loopback import (
    WAIT_TIMEOUT_S,
    http_response,
    is_closed,
    read_response,
    request,
    run_scenario,
    running_sidecar,
    wait_until,
)
from sidecar_balancer.downstream import client_transport, request_deadline
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.runtime.streams import MAX_REQUEST_BODY_BYTES


def served(*_: object) -> bytes:
    return http_response(200, b"served")


TOO_LONG_TO_BUFFER = bytes(64 * 1024 + 1)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario() -> None:
        async with running_sidecar(lambda first, *_: http_response(200, first.encode())) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(b"".join(request(path=f"/api/{number}") for number in range(20)))
            for number in range(20):
                assert f"/api/{number} " in (await read_response(reader))[2].decode()
            writer.close()

    run_scenario(scenario())


def test_longest_buffered_body_is_accepted_in_pieces() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            data = request("pay", body=TOO_LONG_TO_BUFFER[:-1], Expect="100-continue")
            head = data.index(b"\r\n\r\n") + 4
            writer.write(data[:head])
            assert b" 100 " in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
            writer.write(data[head:])
            assert (await read_response(reader))[0] == 200
            assert environment.sent()[0][2] == TOO_LONG_TO_BUFFER[:-1]
            writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize(
    "sent", [b"", b"GET /a", request("pay", body=b"xyz")[:-1]], ids=["0", "line", "body"]
)
@pytest.mark.parametrize("used", [False, True])
def test_client_that_sends_slowly_or_nothing_is_disconnected(
    sent: bytes, used: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards the limit on file descriptors.  A used connection that sends nothing is idle and may stay.
    monkeypatch.setattr(request_deadline, "REQUEST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            if used:
                writer.write(request())
                assert (await read_response(reader))[0] == 200
            writer.write(sent)
            if sent:
                assert (await read_response(reader))[0] == 408
            if sent or not used:
                assert await is_closed(reader)
            else:
                await asyncio.sleep(0.4)
                writer.write(request())
                assert (await read_response(reader))[0] == 200
            writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("used", [False, True])
def test_a_request_that_waits_unread_past_its_deadline_is_answered(
    used: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_deadline, "REQUEST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            data = request()
            if used:
                writer.write(request() + data[:9])
                assert (await read_response(reader))[0] == 200
                data = data[9:]
            await wait_until(lambda: environment.sidecar.frontend.connections)
            (connection,) = environment.sidecar.frontend.connections
            assert connection._transport is not None
            connection._transport.pause_reading()
            writer.write(data)
            await asyncio.sleep(0.5)
            connection._transport.resume_reading()
            assert (await read_response(reader))[0] == 200
            writer.close()

    run_scenario(scenario())


def test_client_that_does_not_read_its_response_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the limit on file descriptors: the connection would never become idle.
    monkeypatch.setattr(client_transport, "STALL_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        async with running_sidecar(lambda *_: http_response(200, bytes(60_000))) as environment:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, environment.sidecar.frontend.address)
            for _ in range(200):
                with contextlib.suppress(BlockingIOError):
                    sock.send(request())
            await wait_until(lambda: environment.sidecar.frontend.connections)
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            sock.close()

    run_scenario(scenario())


def test_request_in_flight_is_not_disconnected_as_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_deadline, "REQUEST_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with running_sidecar(lambda *_: None) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request("pay", body=b"x", budget="0.4"))
            assert (await read_response(reader))[0] == 500
            writer.close()

    run_scenario(scenario())


def test_connection_with_an_unread_request_is_not_idle() -> None:
    # Guards against closing a connection whose next request is in the kernel's buffer but not read yet.
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            _, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            await wait_until(lambda: environment.sidecar.frontend.connections)
            connection: ClientConnection = next(iter(environment.sidecar.frontend.connections))
            assert connection.is_idle()
            peer = writer.get_extra_info("socket")
            peer_copy = socket.socket(fileno=socket.dup(peer.fileno()))
            peer_copy.send(request())  # within one turn of the event loop
            assert not connection.is_idle()
            peer_copy.close()
            writer.close()

    run_scenario(scenario())


def test_rejection_arrives_while_the_body_is_still_being_sent() -> None:
    # Guards against closing with unread input, which resets the connection and loses the response.
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(
                request("pay", body=TOO_LONG_TO_BUFFER * 64, Content_Length=str(MAX_REQUEST_BODY_BYTES + 1))
            )
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            assert (await read_response(reader))[0] == 413
            assert await is_closed(reader)
            writer.close()

    run_scenario(scenario())


def test_exception_in_the_request_handler_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            monkeypatch.setattr(environment.sidecar.frontend.handler, "request_received", None)
            assert (await environment.send_request())[0] == 500
            monkeypatch.undo()
            assert (await environment.send_request())[0] == 200

    run_scenario(scenario())


def test_a_connection_that_ends_within_a_request_is_logged_with_its_phase(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            for sent, phase in (
                (b"GET /api/1 HT", "awaited"),
                (request("pay", body=b"xyz")[:-1], "receiving"),
            ):
                _, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
                writer.write(sent)
                await wait_until(
                    lambda: any(
                        each._is_partly_received() for each in environment.sidecar.frontend.connections
                    )
                )
                writer.close()
                await wait_until(lambda: not environment.sidecar.frontend.connections)
                events = [
                    each.getMessage()
                    for each in caplog.records
                    if vars(each).get("event") == "connection_ended_within_request"
                ]
                assert f"was {phase}" in events[-1]

    caplog.set_level("INFO")
    run_scenario(scenario())
