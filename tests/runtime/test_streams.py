"""Long bodies over loopback: passed on as they come, within bounds, and visibly broken where they break."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from loopback import PATIENCE_S, Listening, World, answer, play, request, reset, until, world
from sidecar_balancer.downstream import client_connection
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.policy.events import AttemptEnded, RequestReceived, ResponseStarted
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.runtime import streams
from sidecar_balancer.runtime.streams import MAX_BUFFERED_BODY_BYTES, BodyMemory
from sidecar_balancer.upstream import server_connection

LONG = bytes(range(251)) * 4_000  # about 1 MB, so that misplaced pieces show
HUGE = 24 * 1024 * 1024
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Script = Callable[[Reader, Writer], Awaitable[None]]


class RawServer(Listening):
    """A server that handles the bytes of each connection as its script says."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.script(reader, writer)
        writer.close()


@contextlib.asynccontextmanager
async def streaming(script: Script, **changes: object) -> AsyncIterator[tuple[World, RawServer]]:
    """A sidecar whose only server is a raw one."""
    server = RawServer(script)
    await server.start()
    async with world(lambda *_: None, **changes) as w:  # type: ignore[arg-type]
        endpoint = w.sidecar._endpoint_pool._endpoints["s-0"]
        endpoint.address = server.address
        yield w, server
    server.stop()


async def read_head(reader: Reader) -> str:
    async with asyncio.timeout(PATIENCE_S):
        return (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()


async def read_chunked(reader: Reader) -> bytes:
    body = b""
    async with asyncio.timeout(PATIENCE_S):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    return body


def chunked(body: bytes, size: int) -> bytes:
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(each), each) for each in pieces) + b"0\r\nX-Sum: 1\r\n\r\n"


async def dial(w: World) -> tuple[Reader, Writer]:
    return await asyncio.open_connection(*w.sidecar.frontend.address)


# -- Answers


def test_a_long_answer_is_passed_on_before_its_end_and_its_deadline_does_not_end_it() -> None:
    more = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:300_000])
        await more.wait()
        writer.write(LONG[300_000:])
        await writer.drain()
        await reader.read()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            heard = w.hear()
            reader, writer = await dial(w)
            writer.write(request())
            assert f"content-length: {len(LONG)}" in await read_head(reader)
            got = await reader.readexactly(300_000)
            live = next(iter(w.sidecar.proxy.in_flight.values()))
            attempt = live.attempts[0]
            assert attempt is not None and not attempt.timers  # nothing would end it any more
            assert live.failsafe_timer is not None and live.failsafe_timer.cancelled()
            more.set()
            got += await asyncio.wait_for(reader.readexactly(len(LONG) - 300_000), PATIENCE_S)
            assert got == LONG
            await until(lambda: any(isinstance(each, AttemptEnded) for each in heard))
            assert [each.outcome for each in heard if isinstance(each, AttemptEnded)] == [Outcome.DELIVERED]
            assert sum(isinstance(each, ResponseStarted) for each in heard) == 1
            writer.write(request())  # the connection goes on
            more.clear()
            await read_head(reader)
            writer.close()

    play(scene())


FORMS = {
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG, 100_000),
    "small chunks": b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG, 300),
    "the connection's end": b"Connection: close\r\n\r\n" + LONG,
    "informational": b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG,
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_long_answer_arrives_whole_in_every_form(form: str, version: bytes) -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        early = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" if form == "informational" else b""
        writer.write(early + b"HTTP/1.1 200 X\r\n" + FORMS[form])
        await writer.drain()
        if "end" not in form:
            await reader.read()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await dial(w)
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/" + version))
            head = await read_head(reader)
            async with asyncio.timeout(PATIENCE_S):
                if "chunked" in head:
                    assert version == b"1.1" and await read_chunked(reader) == LONG
                elif "content-length" in head:
                    assert await reader.readexactly(len(LONG)) == LONG
                else:
                    assert version == b"1.0" and await reader.read() == LONG
            writer.close()

    play(scene())


def test_a_short_answer_framed_by_the_connections_end_is_served_where_its_head_says_so() -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\nall of it")

    async def scene() -> None:
        async with streaming(script) as (w, _):
            assert (await w.ask())[2] == b"all of it"

    play(scene())


def test_a_client_that_reads_nothing_holds_up_its_server_and_not_the_memory() -> None:
    sent = 0

    async def script(reader: Reader, writer: Writer) -> None:
        nonlocal sent
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        writer.transport.set_write_buffer_limits(high=0)
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % HUGE)
        while sent < HUGE:
            writer.write(bytes(65_536))
            await writer.drain()
            sent += 65_536
        await reader.read()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address, limit=1_000)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            writer.write(request())
            await until(lambda: w.sidecar._endpoint_pool._body_memory.active_streams == 1)
            server_side = next(iter(w.sidecar.frontend.connections))
            await until(lambda: server_side._write_blocked)
            assert server_side._transport is not None
            assert server_side._transport.get_write_buffer_size() <= 2 * 64 * 1024
            assert sent < HUGE  # the rest stays where it is
            got = 0
            await read_head(reader)
            async with asyncio.timeout(PATIENCE_S):
                while got < HUGE:
                    got += len(await reader.read(1_000_000))
            await until(lambda: w.sidecar._endpoint_pool._body_memory.active_streams == 0)
            writer.close()

    play(scene())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_an_answer_that_breaks_after_its_first_byte_is_visibly_broken_and_not_asked_for_again(
    form: str,
) -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        framing = b"Content-Length: 500000" if form == "length" else b"Transfer-Encoding: chunked"
        body = LONG[:200_000] if form == "length" else b"%x\r\n" % 400_000 + LONG[:200_000]
        writer.write(b"HTTP/1.1 200 X\r\n" + framing + b"\r\n\r\n" + body)
        await writer.drain()
        await broken.wait()
        reset(writer)

    broken = asyncio.Event()

    async def scene() -> None:
        async with streaming(script) as (w, server):
            reader, writer = await dial(w)
            writer.write(request())
            await read_head(reader)
            await reader.readexactly(10_000)
            broken.set()
            rest = b""
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(PATIENCE_S):
                    rest = await reader.read()
            assert len(rest) < 490_000 and not rest.endswith(b"0\r\n\r\n")
            assert server.connections == 1
            writer.close()

    play(scene())


def test_where_only_the_connections_end_would_tell_a_broken_answer_ends_in_a_reset() -> None:
    broken = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % 400_000 + LONG[:200_000])
        await broken.wait()
        reset(writer)

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await dial(w)
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            await read_head(reader)
            broken.set()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(PATIENCE_S):
                    await reader.read()
            writer.close()

    play(scene())


def test_a_client_that_leaves_a_long_answer_ends_its_attempt() -> None:
    ended = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 9000000\r\n\r\n" + LONG)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        ended.set()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await dial(w)
            writer.write(request())
            await read_head(reader)
            writer.close()
            await asyncio.wait_for(ended.wait(), PATIENCE_S)
            await until(lambda: not w.sidecar.proxy.in_flight and not w.sidecar.proxy.by_client_request)
            assert (
                w.sidecar._engine.balancer.pending_attempts == 0
                and w.sidecar._endpoint_pool._body_memory.active_streams == 0
            )

    play(scene())


def test_the_beginning_of_a_slow_answer_of_unknown_length_is_not_kept_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_connection, "_MAX_RESPONSE_BUFFERING_S", 0.05)
    more = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n")
        await more.wait()
        writer.write(b"5\r\nended\r\n0\r\n\r\n")
        await reader.read()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await dial(w)
            writer.write(request())
            await read_head(reader)
            more.set()
            assert await read_chunked(reader) == b"begunended"
            writer.close()

    play(scene())


def test_a_server_that_stops_within_a_long_answer_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connection, "STALL_TIMEOUT_S", 0.05)

    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\nbegun")
        await reader.read()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await dial(w)
            writer.write(request())
            await read_head(reader)
            assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b"begun"
            writer.close()

    play(scene())


# -- Request bodies


async def served_upload(reader: Reader, writer: Writer) -> None:
    """Says of each body whether it came whole."""
    while True:
        head = await read_head(reader)
        if "chunked" in head:
            body = await read_chunked(reader)
        else:
            body = await reader.readexactly(int(head.split("content-length: ")[1].split("\r")[0]))
        writer.write(answer(200, b"whole" if body == LONG else b"not whole"))


@pytest.mark.parametrize("form", ["length", "chunks", "small chunks", "expect"])
def test_a_long_body_arrives_whole_in_every_form(form: str) -> None:
    async def scene() -> None:
        async with streaming(served_upload) as (w, _):
            heard = w.hear()
            reader, writer = await dial(w)
            if "chunks" in form:
                data = request("pay", Content_Length=None, Transfer_Encoding="chunked")
                data += chunked(LONG, 300 if "small" in form else 100_000)
            elif form == "expect":
                writer.write(request("pay", Content_Length=str(len(LONG)), Expect="100-continue"))
                assert (await read_head(reader)).startswith("http/1.1 100")
                data = LONG
            else:
                data = request("pay", body=LONG)
            writer.write(data)
            assert "200 ok" in await read_head(reader)
            assert await reader.readexactly(5) == b"whole"
            assert [each.body_open for each in heard if isinstance(each, RequestReceived)] == [True]
            writer.write(request("pay", body=LONG))  # the connection goes on
            assert "200 ok" in await read_head(reader)
            writer.close()

    play(scene())


def test_a_clients_time_runs_from_the_last_byte_of_its_body() -> None:
    async def scene() -> None:
        async with streaming(served_upload) as (w, _):
            reader, writer = await dial(w)
            data = request("pay", body=LONG)
            writer.write(data[:-1])
            await until(
                lambda: (
                    w.sidecar.proxy.in_flight
                    and next(iter(w.sidecar.proxy.in_flight.values())).attempts.get(0)
                )
            )
            live = next(iter(w.sidecar.proxy.in_flight.values()))
            attempt = live.attempts[0]
            assert attempt is not None and attempt.deadline == math.inf
            assert live.deadline is None and live.failsafe_timer is None
            writer.write(data[-1:])
            assert "200 ok" in await read_head(reader)
            assert live.deadline is not None and attempt.deadline < math.inf
            writer.close()

    play(scene())


def test_a_server_that_reads_nothing_holds_up_the_client_and_not_the_memory() -> None:
    go_on = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await go_on.wait()
        head = await read_head(reader)
        assert f"content-length: {HUGE}" in head
        left = HUGE
        while left:
            left -= len(await reader.read(1_000_000))
        writer.write(answer(200, b"served"))
        await reader.read()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await dial(w)
            writer.write(request("pay", Content_Length=str(HUGE)))
            sending = asyncio.create_task(send(writer, HUGE))
            await until(lambda: w.sidecar.frontend.connections)
            connection = next(iter(w.sidecar.frontend.connections))
            await until(lambda: connection._reading_paused)
            assert connection._upload is not None
            assert (
                len(connection._upload._buffer) <= MAX_BUFFERED_BODY_BYTES + 64 * 1024 and not sending.done()
            )
            go_on.set()
            assert "200 ok" in await read_head(reader)
            await sending
            writer.close()

    play(scene())


async def send(writer: Writer, size: int) -> None:
    for _ in range(size // 65_536):
        writer.write(bytes(65_536))
        await writer.drain()


def test_a_request_whose_body_is_gone_is_not_sent_again() -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await reader.readexactly(200_000)
        reset(writer)

    async def scene() -> None:
        async with streaming(script) as (w, server):
            heard = w.hear()
            reader, writer = await dial(w)
            writer.write(request("pay", body=LONG)[:-1])
            # It never ran: a refusal says so, and it comes while the body is still being sent.
            assert "503" in await read_head(reader)
            assert server.connections == 1
            ended = [each for each in heard if isinstance(each, AttemptEnded)]
            assert [(each.outcome, each.body_consumed) for each in ended] == [(Outcome.CONNECT_FAILED, True)]
            writer.close()

    play(scene())


def test_a_full_answer_amid_the_body_is_a_refusal() -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(answer(503, X_Rejected="1"))
        await reader.read()

    async def scene() -> None:
        async with streaming(script) as (w, _):
            reader, writer = await dial(w)
            writer.write(request("pay", body=LONG)[:-1])
            assert "503" in await read_head(reader)
            writer.close()

    play(scene())


def test_a_client_that_leaves_within_its_body_ends_the_attempt_and_nothing_ran() -> None:
    came: list[bytes] = []

    async def script(reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError):
            came.append(await reader.read(-1))

    async def scene() -> None:
        async with streaming(script) as (w, _):
            _, writer = await dial(w)
            writer.write(request("pay", body=LONG)[:-1])
            await until(lambda: w.sidecar._endpoint_pool._body_memory.active_streams == 1)
            writer.close()
            await until(lambda: not w.sidecar.proxy.in_flight)
            assert (
                w.sidecar._endpoint_pool._body_memory.active_streams
                == w.sidecar._endpoint_pool._body_memory.buffered_bytes
                == 0
            )

    play(scene())


def test_a_chunked_body_longer_than_any_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "MAX_REQUEST_BODY_BYTES", 500_000)

    async def scene() -> None:
        async with streaming(served_upload) as (w, _):
            reader, writer = await dial(w)
            writer.write(request("pay", Content_Length=None, Transfer_Encoding="chunked"))
            writer.write(chunked(LONG, 100_000))
            assert "413" in await read_head(reader)
            assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b"the body is too large\n"
            writer.close()

    play(scene())


# -- Bounds


def test_a_body_may_come_slowly_and_not_stop() -> None:
    async def scene() -> None:
        async with world(lambda *_: None) as w:
            _, writer = await dial(w)
            await until(lambda: w.sidecar.frontend.connections)
            connection: ClientConnection = next(iter(w.sidecar.frontend.connections))
            writer.write(request("pay", body=LONG)[:-1])
            await until(lambda: connection._head is not None)
            deadline = connection._deadline
            deadline.awaited_since = 100.0
            for head_at, came, came_at, due in (
                (100.0, 0, 100.0, 102.5),  # a head and nothing behind it
                (102.0, 0, 102.0, 103.5),  # a slow head
                (102.0, 64_000, 103.0, 105.5),  # the slowest that is owed service, with as much to spare
                (102.0, 32_000_000, 103.0, 113.0),  # what came fast buys no long silence
            ):
                deadline.body_counted_since, deadline.body_bytes = head_at, came
                deadline.last_input_at = came_at
                assert deadline.due_at(connection._head is not None) == due
            writer.close()

    play(scene())


def test_pieces_shrink_with_the_number_of_streams_and_what_is_held_whole_is_bounded() -> None:
    budget = BodyMemory(memory_mb=32)
    pieces = []
    for number in (1, 16, 64, 256, 10_000):
        budget.active_streams = number
        pieces.append(budget.read_size())
    assert pieces == sorted(pieces, reverse=True) and pieces[0] == 65_536 and pieces[-1] == 4_096
    budget.active_streams = 256
    assert 256 * 4 * budget.read_size() <= 32 * 1024 * 1024 // 8
    assert budget.may_buffer(MAX_BUFFERED_BODY_BYTES) and not budget.may_buffer(MAX_BUFFERED_BODY_BYTES + 1)
    budget.buffered_bytes = 5 * 1024 * 1024
    assert not budget.may_buffer(10)
    assert streams.MAX_BUFFERED_BODY_BYTES == 65_536
