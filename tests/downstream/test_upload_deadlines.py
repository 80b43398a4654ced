"""Deadlines of requests with long bodies, which count from the time at which the client can have sent all."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from loopback import SidecarEnvironment, http_response, request, running_sidecar, wait_until
from raw_server import (
    LONG_BODY,
    Reader,
    Writer,
    connect_client,
    framed_request,
    read_head,
    sidecar_with_raw_server,
)
from sidecar_balancer.policy.events import AttemptEnded, RequestBodyOverdue
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.proxy.deadlines import RequestDeadlines
from sidecar_balancer.proxy.in_flight import InFlightRequest
from sidecar_balancer.runtime.memory_budget import MemoryBudget
from sidecar_balancer.upstream import endpoint_pool
from sidecar_balancer.upstream.dialing import connect
from sidecar_balancer.upstream.server_connection import ServerConnection
from virtual_clock import RunScenario

BUDGET_S = 2.0
MAX_LATENESS_S = 0.5  # an answer that is later than this after the client's time counts as lost
BODY = LONG_BODY[:400_000]  # more than the sidecar buffers, and little enough for the kernel to take the rest
SOCKET_BUFFER_BYTES = 4096


@contextlib.asynccontextmanager
async def sidecar_with_hung_server(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[SidecarEnvironment]:
    """Run a sidecar whose server's kernel accepts connections, but takes little and nobody reads."""

    async def dial(
        address: tuple[str, int], max_body_bytes: int, memory_budget: MemoryBudget | None = None
    ) -> ServerConnection:
        connection = await connect(address, max_body_bytes, memory_budget)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        return connection

    monkeypatch.setattr(endpoint_pool, "connect", dial)
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        async with running_sidecar(lambda *_: None) as environment:
            environment.sidecar.endpoint_pool.endpoints["s-0"].address = listener.getsockname()
            yield environment


async def send_body(environment: SidecarEnvironment, form: str) -> tuple[Reader, Writer, float]:
    """Send a request whose body the kernel takes as a whole; return when it had taken the last byte."""
    reader, writer = await connect_client(environment)
    writer.transport.set_write_buffer_limits(high=0)
    writer.write(framed_request(BODY, form, budget=str(BUDGET_S)))
    await writer.drain()
    return reader, writer, asyncio.get_running_loop().time()


# Guards against a final answer that waits for a body whose rest stays unread behind a server that hangs.
@pytest.mark.parametrize("form", ["length", "chunks", "small chunks"])
def test_request_is_answered_in_time_though_its_server_does_not_read(
    form: str, monkeypatch: pytest.MonkeyPatch, on_virtual_clock: RunScenario
) -> None:
    async def scenario() -> None:
        async with sidecar_with_hung_server(monkeypatch) as environment:
            events = environment.record_events()
            reader, writer, sent_at = await send_body(environment, form)
            assert "503" in await read_head(reader)  # no server can have received all of it
            assert asyncio.get_running_loop().time() - sent_at <= BUDGET_S + MAX_LATENESS_S
            assert len([each for each in events if isinstance(each, RequestBodyOverdue)]) == 1
            (ended,) = [each for each in events if isinstance(each, AttemptEnded)]
            assert ended.outcome is Outcome.CONNECT_FAILED  # counts against the server
            writer.close()

    on_virtual_clock(scenario())


# Guards against a server that is told of more time than its client has left after a slow dial.
def test_time_of_a_dial_is_taken_off_the_budget_of_a_streamed_request(
    monkeypatch: pytest.MonkeyPatch, on_virtual_clock: RunScenario
) -> None:
    dial_s = 0.5 * BUDGET_S
    heads: list[str] = []

    async def dial_slowly(
        address: tuple[str, int], max_body_bytes: int, memory_budget: MemoryBudget | None = None
    ) -> ServerConnection:
        await asyncio.sleep(dial_s)
        return await connect(address, max_body_bytes, memory_budget)

    async def serve(reader: Reader, writer: Writer) -> None:
        heads.append(await read_head(reader))
        await reader.readexactly(len(BODY))
        writer.write(http_response())

    async def scenario() -> None:
        async with sidecar_with_raw_server(serve) as (environment, _):
            monkeypatch.setattr(endpoint_pool, "connect", dial_slowly)
            monkeypatch.setattr(environment.sidecar.endpoint_pool, "_dial_timeout_s", 2 * dial_s)
            reader, writer, _ = await send_body(environment, "length")
            assert "200 ok" in await read_head(reader)
            budget_s = float(heads[0].split("x-budget: ")[1].split("\r")[0])
            assert budget_s <= BUDGET_S - dial_s + 0.05
            writer.close()

    on_virtual_clock(scenario())


# Guards against cutting off a client that still writes: what it has not sent yet can't be overdue.
@pytest.mark.parametrize("pause_s", [0.05, 1.2 * BUDGET_S])
def test_client_that_sends_its_body_slowly_keeps_its_whole_time(
    pause_s: float, monkeypatch: pytest.MonkeyPatch, on_virtual_clock: RunScenario
) -> None:
    read_bytes = 4096  # each read fills the buffer, so that only the socket tells that nothing is left
    monkeypatch.setattr(MemoryBudget, "read_size", lambda _: read_bytes)
    pieces = 100 if pause_s < 1 else 20

    async def serve(reader: Reader, writer: Writer) -> None:
        await read_head(reader)
        await reader.readexactly(pieces * read_bytes)
        writer.write(http_response())

    async def scenario() -> None:
        async with sidecar_with_raw_server(serve) as (environment, _):
            reader, writer = await connect_client(environment)
            writer.write(request("pay", budget=str(BUDGET_S), Content_Length=str(pieces * read_bytes)))
            for _ in range(pieces // 20):
                writer.write(bytes(20 * read_bytes - 1))
                await asyncio.sleep(pause_s)
                writer.write(b"0")
            assert "200 ok" in await read_head(reader)
            writer.close()

    on_virtual_clock(scenario())


# Guards against a timer that is due again at once for a client that announces no time.
def test_body_without_any_time_left_is_checked_at_intervals(
    monkeypatch: pytest.MonkeyPatch, on_virtual_clock: RunScenario
) -> None:
    checked_at: list[float] = []
    check = RequestDeadlines._check_body

    def recorded_check(deadlines: RequestDeadlines, live: InFlightRequest) -> None:
        checked_at.append(asyncio.get_running_loop().time())
        check(deadlines, live)

    async def scenario() -> None:
        async with sidecar_with_hung_server(monkeypatch) as environment:
            monkeypatch.setattr(RequestDeadlines, "_check_body", recorded_check)
            _, writer = await connect_client(environment)
            writer.write(framed_request(BODY, "length", budget="0.000001")[:70_000])
            await wait_until(lambda: len(checked_at) == 3)
            assert checked_at[2] - checked_at[0] >= 0.099
            writer.close()

    on_virtual_clock(scenario())
