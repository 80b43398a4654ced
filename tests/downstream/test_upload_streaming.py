"""Long request bodies over loopback: streamed in bounded memory, and never completed if they break off."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket

import pytest

from loopback import (
    WAIT_TIMEOUT_S,
    http_response,
    request,
    reset_connection,
    run_scenario,
    running_sidecar,
    wait_until,
)
from raw_server import (
    HUGE_BODY_BYTES,
    LONG_BODY,
    Reader,
    Writer,
    chunked,
    connect_client,
    framed_request,
    read_body,
    read_head,
    sidecar_with_raw_server,
)
from sidecar_balancer.downstream import upload_connection
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.policy.events import AttemptEnded, RequestReceived
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.runtime.memory_budget import MAX_BUFFERED_BODY_BYTES, MemoryBudget
from sidecar_balancer.upstream import endpoint_pool
from sidecar_balancer.upstream.dialing import connect
from sidecar_balancer.upstream.server_connection import ServerConnection


async def serve_uploads(reader: Reader, writer: Writer) -> None:
    """Reply whether each body arrived complete."""
    while True:
        body = await read_body(await read_head(reader), reader)
        writer.write(http_response(200, b"whole" if body == LONG_BODY else b"not whole"))


@pytest.mark.parametrize("form", ["length", "chunks", "small chunks", "expect"])
def test_long_request_body_arrives_complete_with_every_framing(form: str) -> None:
    async def scenario() -> None:
        async with sidecar_with_raw_server(serve_uploads) as (environment, _):
            events = environment.record_events()
            reader, writer = await connect_client(environment)
            if "chunks" in form:
                data = request("pay", Content_Length=None, Transfer_Encoding="chunked")
                data += chunked(LONG_BODY, 300 if "small" in form else 100_000)
            elif form == "expect":
                writer.write(request("pay", Content_Length=str(len(LONG_BODY)), Expect="100-continue"))
                assert (await read_head(reader)).startswith("http/1.1 100")
                data = LONG_BODY
            else:
                data = request("pay", body=LONG_BODY)
            writer.write(data)
            assert "200 ok" in await read_head(reader)
            assert await reader.readexactly(5) == b"whole"
            assert [each.body_open for each in events if isinstance(each, RequestReceived)] == [True]
            writer.write(request("pay", body=LONG_BODY))  # the connection is still usable
            assert "200 ok" in await read_head(reader)
            writer.close()

    run_scenario(scenario())


def test_deadline_starts_with_the_last_byte_of_the_body() -> None:
    async def scenario() -> None:
        async with sidecar_with_raw_server(serve_uploads) as (environment, _):
            reader, writer = await connect_client(environment)
            data = request("pay", body=LONG_BODY)
            writer.write(data[:-1])
            await wait_until(
                lambda: (
                    environment.sidecar.proxy.in_flight
                    and next(iter(environment.sidecar.proxy.in_flight.values())).attempts.get(0)
                )
            )
            live = next(iter(environment.sidecar.proxy.in_flight.values()))
            attempt = live.attempts[0]
            assert attempt is not None
            assert attempt.deadline == math.inf
            assert live.deadline is None
            assert live.failsafe_timer is None
            writer.write(data[-1:])
            assert "200 ok" in await read_head(reader)
            assert live.deadline is not None
            assert attempt.deadline < math.inf
            writer.close()

    run_scenario(scenario())


def test_server_that_does_not_read_pauses_its_client_within_bounded_memory() -> None:
    resume_reading = asyncio.Event()

    async def script(reader: Reader, writer: Writer) -> None:
        await resume_reading.wait()
        head = await read_head(reader)
        assert f"content-length: {HUGE_BODY_BYTES}" in head
        remaining = HUGE_BODY_BYTES
        while remaining:
            remaining -= len(await reader.read(1_000_000))
        writer.write(http_response(200, b"served"))
        await reader.read()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request("pay", Content_Length=str(HUGE_BODY_BYTES)))
            sending = asyncio.create_task(send(writer, HUGE_BODY_BYTES))
            await wait_until(lambda: environment.sidecar.frontend.connections)
            connection = next(iter(environment.sidecar.frontend.connections))
            await wait_until(lambda: connection._reading_paused)
            assert connection._upload is not None
            assert len(connection._upload._buffer) <= MAX_BUFFERED_BODY_BYTES + 64 * 1024
            assert not sending.done()
            resume_reading.set()
            assert "200 ok" in await read_head(reader)
            await sending
            writer.close()

    run_scenario(scenario())


async def send(writer: Writer, size: int) -> None:
    for _ in range(size // 65_536):
        writer.write(bytes(65_536))
        await writer.drain()


def test_request_with_a_consumed_body_is_not_retried() -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await reader.readexactly(200_000)
        reset_connection(writer)

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, server):
            events = environment.record_events()
            reader, writer = await connect_client(environment)
            writer.write(request("pay", body=LONG_BODY)[:-1])
            # It never ran: a rejection says so, and it comes while the body is still being sent.
            assert "503" in await read_head(reader)
            assert server.connections == 1
            ended = [each for each in events if isinstance(each, AttemptEnded)]
            assert [(each.outcome, each.body_consumed) for each in ended] == [(Outcome.CONNECT_FAILED, True)]
            writer.close()

    run_scenario(scenario())


# Guards against a retry that sends a body without its beginning: what an attempt did not send was discarded.
@pytest.mark.parametrize("failure", ["refused", "reset before the head"])
@pytest.mark.parametrize("form", ["length", "chunks", "small chunks"])
def test_body_that_no_attempt_has_sent_is_retried_from_its_beginning(
    form: str, failure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    dials = 0

    async def scenario() -> None:
        async def fail_first_dial(
            address: tuple[str, int], max_body_bytes: int, memory_budget: MemoryBudget | None = None
        ) -> ServerConnection:
            nonlocal dials
            dials += 1
            if dials > 1:
                return await connect(address, max_body_bytes, memory_budget)
            (client,) = environment.sidecar.frontend.connections
            await wait_until(lambda: client._upload is not None and client._upload.is_full())
            if failure == "refused":
                raise ConnectionRefusedError
            connection = await connect(address, max_body_bytes, memory_budget)
            connection.sock.shutdown(socket.SHUT_RDWR)  # a write now fails, as after a reset
            return connection

        async with sidecar_with_raw_server(serve_uploads, endpoints=2) as (environment, _):
            monkeypatch.setattr(endpoint_pool, "connect", fail_first_dial)
            events = environment.record_events()
            reader, writer = await connect_client(environment)
            writer.write(framed_request(LONG_BODY, form))
            assert "200 ok" in await read_head(reader)
            assert await reader.readexactly(5) == b"whole"
            ended = [each for each in events if isinstance(each, AttemptEnded)]
            assert [(each.outcome, each.body_consumed) for each in ended] == [
                (Outcome.CONNECT_FAILED, False),
                (Outcome.DELIVERED, True),
            ]
            writer.close()

    run_scenario(scenario())


# Guards against an attempt that sends only what another attempt has left of the body.
def test_attempt_whose_body_another_attempt_has_read_is_not_sent() -> None:
    async def scenario() -> None:
        async with sidecar_with_raw_server(serve_uploads) as (environment, server):
            reader, writer = await connect_client(environment)
            writer.write(framed_request(LONG_BODY, "chunks")[:-1])
            proxy = environment.sidecar.proxy
            await wait_until(lambda: server.connections)
            (live,) = proxy.in_flight.values()
            upload = live.client_request.upload
            assert upload is not None
            await wait_until(lambda: upload.consumed)
            outcomes: list[Outcome] = []
            second = proxy._upstream_request(live, 1, "s-0", 0)
            environment.sidecar.endpoint_pool.send(
                "s-0", second, math.inf, lambda outcome, _: outcomes.append(outcome)
            )
            await wait_until(lambda: outcomes)
            assert outcomes == [Outcome.UNSENT]
            writer.write(b"\n")
            assert "200 ok" in await read_head(reader)
            assert await reader.readexactly(5) == b"whole"
            writer.close()

    run_scenario(scenario())


def test_server_rejection_during_the_body_rejects_the_request() -> None:
    async def script(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        writer.write(http_response(503, X_Rejected="1"))
        await reader.read()

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request("pay", body=LONG_BODY)[:-1])
            assert "503" in await read_head(reader)
            writer.close()

    run_scenario(scenario())


def test_client_that_disconnects_within_its_body_ends_the_attempt_unexecuted() -> None:
    received: list[bytes] = []

    async def script(reader: Reader, _writer: Writer) -> None:
        with contextlib.suppress(ConnectionError):
            received.append(await reader.read(-1))

    async def scenario() -> None:
        async with sidecar_with_raw_server(script) as (environment, _):
            _, writer = await connect_client(environment)
            writer.write(request("pay", body=LONG_BODY)[:-1])
            await wait_until(lambda: environment.sidecar.endpoint_pool._memory_budget.active_streams == 1)
            writer.close()
            await wait_until(lambda: not environment.sidecar.proxy.in_flight)
            assert (
                environment.sidecar.endpoint_pool._memory_budget.active_streams
                == environment.sidecar.endpoint_pool._memory_budget.used_bytes
                == 0
            )

    run_scenario(scenario())


def test_chunked_body_beyond_the_limit_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upload_connection, "MAX_REQUEST_BODY_BYTES", 500_000)

    async def scenario() -> None:
        async with sidecar_with_raw_server(serve_uploads) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request("pay", Content_Length=None, Transfer_Encoding="chunked"))
            writer.write(chunked(LONG_BODY, 100_000))
            assert "413" in await read_head(reader)
            assert await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S) == b"the body is too large\n"
            writer.close()

    run_scenario(scenario())


def test_body_deadline_allows_a_slow_body_but_no_stall() -> None:
    async def scenario() -> None:
        async with running_sidecar(lambda *_: None) as environment:
            _, writer = await connect_client(environment)
            await wait_until(lambda: environment.sidecar.frontend.connections)
            connection: ClientConnection = next(iter(environment.sidecar.frontend.connections))
            writer.write(request("pay", body=LONG_BODY)[:-1])
            await wait_until(lambda: connection._head is not None)
            deadline = connection._deadline
            deadline.awaited_since = 100.0
            for head_at, pieces, due_at in (
                (100.0, [], 102.5),  # a head without a body
                (102.0, [], 102.9),  # a slow head
                (102.0, [(103.0, 64_000)], 104.9),  # the slowest client to serve, with as much time to spare
                (102.0, [(103.0, 32_000_000)], 105.5),  # bytes that arrived fast don't allow a longer stall,
                (
                    102.0,
                    [(103.0, 32_000_000), (104.0, 0), (105.0, 32)],
                    105.501,
                ),  # nor single bytes after them
            ):
                deadline.restart_body(head_at)
                for received_at, size in pieces:
                    deadline.body_received(received_at, size)
                assert deadline.due_at(connection._head is not None) == due_at
            writer.close()

    run_scenario(scenario())
