"""Long responses over loopback: streamed in bounded memory, and visibly incomplete if they break off."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loopback import WAIT_TIMEOUT_S, request, reset_connection, run_scenario, wait_until
from raw_server import (
    HUGE_BODY_BYTES,
    LONG_BODY,
    Reader,
    Writer,
    chunked,
    connect_client,
    read_chunked,
    read_head,
    sidecar_with_raw_server,
)
from sidecar_balancer.policy.events import AttemptEnded, ResponseStarted
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.upstream import server_connection


def test_long_response_is_streamed_and_not_ended_by_its_deadline() -> None:
    send_rest = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:300_000])
        await send_rest.wait()
        writer.write(LONG_BODY[300_000:])
        await writer.drain()
        await reader.read()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            events = environment.record_events()
            reader, writer = await connect_client(environment)
            writer.write(request())
            assert f"content-length: {len(LONG_BODY)}" in await read_head(reader)
            got = await reader.readexactly(300_000)
            in_flight_request = next(iter(environment.sidecar.proxy.in_flight.values()))
            attempt = in_flight_request.attempts[0]
            assert attempt is not None
            assert not attempt.timers
            assert in_flight_request.failsafe_timer is not None
            assert in_flight_request.failsafe_timer.cancelled()
            send_rest.set()
            got += await asyncio.wait_for(reader.readexactly(len(LONG_BODY) - 300_000), WAIT_TIMEOUT_S)
            assert got == LONG_BODY
            await wait_until(lambda: any(isinstance(each, AttemptEnded) for each in events))
            assert [each.outcome for each in events if isinstance(each, AttemptEnded)] == [Outcome.DELIVERED]
            assert sum(isinstance(each, ResponseStarted) for each in events) == 1
            writer.write(request())  # the connection is still usable
            send_rest.clear()
            await read_head(reader)
            writer.close()

    run_scenario(scenario())


FORMS = {
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG_BODY, 100_000),
    "small chunks": b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG_BODY, 300),
    "the connection's end": b"Connection: close\r\n\r\n" + LONG_BODY,
    "informational": b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY,
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_long_response_arrives_complete_with_every_framing(form: str, version: bytes) -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        early = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" if form == "informational" else b""
        writer.write(early + b"HTTP/1.1 200 X\r\n" + FORMS[form])
        await writer.drain()
        if "end" not in form:
            await reader.read()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/" + version))
            head = await read_head(reader)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                if "chunked" in head:
                    assert version == b"1.1"
                    assert await read_chunked(reader) == LONG_BODY
                elif "content-length" in head:
                    assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY
                else:
                    assert version == b"1.0"
                    assert await reader.read() == LONG_BODY
            writer.close()

    run_scenario(scenario())


def test_short_response_delimited_by_an_announced_close_is_served() -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\nall of it")

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            assert (await environment.send_request())[2] == b"all of it"

    run_scenario(scenario())


def test_client_that_does_not_read_pauses_its_server_within_bounded_memory() -> None:
    sent = 0

    async def script(reader: Reader, writer: Writer) -> None:
        nonlocal sent
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        writer.transport.set_write_buffer_limits(high=0)
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % HUGE_BODY_BYTES)
        while sent < HUGE_BODY_BYTES:
            writer.write(bytes(65_536))
            await writer.drain()
            sent += 65_536
        await reader.read()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address, limit=1_000)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            writer.write(request())
            await wait_until(lambda: environment.sidecar.endpoint_pool._memory_budget.active_streams == 1)
            client_connection = next(iter(environment.sidecar.frontend.connections))
            await wait_until(lambda: client_connection._write_blocked)
            assert client_connection._transport is not None
            assert client_connection._transport.get_write_buffer_size() <= 2 * 64 * 1024
            assert sent < HUGE_BODY_BYTES  # the rest stays at the server
            got = 0
            await read_head(reader)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while got < HUGE_BODY_BYTES:
                    got += len(await reader.read(1_000_000))
            await wait_until(lambda: environment.sidecar.endpoint_pool._memory_budget.active_streams == 0)
            writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_response_broken_after_its_first_byte_is_visibly_broken_and_not_retried(
    form: str,
) -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        framing = b"Content-Length: 500000" if form == "length" else b"Transfer-Encoding: chunked"
        body = LONG_BODY[:200_000] if form == "length" else b"%x\r\n" % 400_000 + LONG_BODY[:200_000]
        writer.write(b"HTTP/1.1 200 X\r\n" + framing + b"\r\n\r\n" + body)
        await writer.drain()
        await broken.wait()
        reset_connection(writer)

    broken = asyncio.Event()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, server):
            reader, writer = await connect_client(environment)
            writer.write(request())
            await read_head(reader)
            await reader.readexactly(10_000)
            broken.set()
            rest = b""
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    rest = await reader.read()
            assert len(rest) < 490_000
            assert not rest.endswith(b"0\r\n\r\n")
            assert server.connections == 1
            writer.close()

    run_scenario(scenario())


def test_broken_response_to_an_http_1_0_client_ends_in_a_reset() -> None:
    broken = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % 400_000 + LONG_BODY[:200_000]
        )
        await broken.wait()
        reset_connection(writer)

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            await read_head(reader)
            broken.set()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    await reader.read()
            writer.close()

    run_scenario(scenario())


def test_attempt_ends_when_the_client_of_a_streamed_response_disconnects() -> None:
    ended = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 9000000\r\n\r\n" + LONG_BODY)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        ended.set()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request())
            await read_head(reader)
            writer.close()
            await asyncio.wait_for(ended.wait(), WAIT_TIMEOUT_S)
            await wait_until(
                lambda: (
                    not environment.sidecar.proxy.in_flight
                    and not environment.sidecar.proxy.by_client_request
                )
            )
            assert environment.sidecar.engine.balancer.pending_attempts == 0
            assert environment.sidecar.endpoint_pool._memory_budget.active_streams == 0

    run_scenario(scenario())


def test_beginning_of_a_slow_response_of_unknown_length_is_streamed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_connection, "_MAX_RESPONSE_BUFFERING_S", 0.05)
    send_rest = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n")
        await send_rest.wait()
        writer.write(b"5\r\nended\r\n0\r\n\r\n")
        await reader.read()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request())
            await read_head(reader)
            send_rest.set()
            assert await read_chunked(reader) == b"begunended"
            writer.close()

    run_scenario(scenario())


def test_server_that_stalls_within_a_streamed_response_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connection, "RESPONSE_STALL_TIMEOUT_S", 0.05)

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\nbegun")
        await reader.read()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request())
            await read_head(reader)
            assert await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S) == b"begun"
            writer.close()

    run_scenario(scenario())
