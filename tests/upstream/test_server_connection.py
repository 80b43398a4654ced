"""Connections to servers: when a request counts as written, and when a connection may be reused."""

from __future__ import annotations

import asyncio
import socket

import h11
import pytest

from loopback import (
    WAIT_TIMEOUT_S,
    http_response,
    reset_connection,
    run_scenario,
    running_sidecar,
    wait_until,
)
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.upstream.dialing import connect
from sidecar_balancer.upstream.response import Response, classify_outcome


def served(*_: object) -> bytes:
    return http_response(200, b"served")


# Guards against writing a request to a connection that its server has already ended.
@pytest.mark.parametrize("leftover", ["end", "stray"])
def test_connection_with_an_unread_end_or_stray_bytes_is_not_reused(leftover: str) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 200
            (connection,) = environment.sidecar.endpoint_pool.endpoints["s-0"].idle
            writer = environment.servers[0].writers[0]
            if leftover == "end":
                server_socket = writer.get_extra_info("socket")
                server_socket.shutdown(socket.SHUT_WR)
            else:
                writer.write(b"HTTP/1.1 200 X\r\n")
            # Blocks until the kernel has it.  The event loop can't have seen it, so only the peek detects it.
            connection.sock.setblocking(True)
            assert connection.sock.recv(1, socket.MSG_PEEK) is not None
            connection.sock.setblocking(False)
            assert not connection.is_idle()
            assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 200
            assert len(environment.servers[0].writers) == 2

    run_scenario(scenario())


def head(body: bytes = b"") -> h11.Request:
    headers = [("Host", "x"), ("Content-Length", str(len(body)))]
    return h11.Request(method="POST", target="/", headers=headers)


def test_connection_lost_before_the_last_byte_was_written_counts_as_not_executed() -> None:
    async def scenario() -> None:
        body = bytes(32 * 1024 * 1024)  # more than the kernel takes, so that the rest waits in the transport
        listener = socket.create_server(("127.0.0.1", 0))
        connection = await connect(listener.getsockname()[:2], 1024)
        accepted, _ = listener.accept()
        ended: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()
        connection.request(head(body), body, ended.set_result)
        assert not connection.written
        accepted.close()  # unread bytes turn the close into a reset
        assert await asyncio.wait_for(ended, WAIT_TIMEOUT_S) is None
        assert classify_outcome(None, connection.written, connection.response_began) is Outcome.CONNECT_FAILED
        listener.close()

    run_scenario(scenario())


def test_request_counts_as_written_once_the_kernel_has_all_of_it() -> None:
    async def scenario() -> None:
        body = bytes(32 * 1024 * 1024)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        connection = await connect(listener.getsockname()[:2], 1024)
        accepted, _ = listener.accept()
        reader, writer = await asyncio.open_connection(sock=accepted, limit=2**26)
        ended: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()
        connection.request(head(body), body, ended.set_result)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(body))
        await wait_until(lambda: connection.written)
        reset_connection(writer)
        assert await asyncio.wait_for(ended, WAIT_TIMEOUT_S) is None
        assert (
            classify_outcome(None, connection.written, connection.response_began) is Outcome.CONNECTION_LOST
        )
        listener.close()

    run_scenario(scenario())
