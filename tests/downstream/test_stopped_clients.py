"""Clients that stop within a request and stay, on every connection that a sidecar may have."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from loopback import SidecarEnvironment, http_response, read_response, request, running_sidecar, with_new_id
from raw_server import Reader, Writer, connect_client
from sidecar_balancer.downstream import request_deadline
from virtual_clock import RunScenario

MAX_CONNECTIONS = 8
SOCKETS = 64 + 2 * MAX_CONNECTIONS
CROWD = 3 * MAX_CONNECTIONS
REQUESTS = 5
MAX_ANSWER_S = 1.0  # far below the time limit of an incomplete request
MAX_ERROR_S = 3.0  # time in which a client that has stopped is owed an error or a close
SLOWEST_HEAD_S = 2.0  # time that a client may take for a head
SLOWEST_BODY_BYTES_PER_S = 64_000  # rate at which a client may send a body

LOOK = request()
SHORT_BODY = request("pay", body=bytes(1_000))
LONG_BODY = request("pay", body=bytes(200_000))
CHUNKED_HEAD = request("pay", Content_Length=None, Transfer_Encoding="chunked")
INCOMPLETE_INPUTS = {
    "nothing": b"",
    "part of a head": LOOK[:40],
    "part of a short body": SHORT_BODY[:-500],
    "head of a long body": LONG_BODY[:-200_000],
    "part of a long body": LONG_BODY[:-100_000],
    "most of a long body": LONG_BODY[:-1],
    "part of a chunk": CHUNKED_HEAD + b"100\r\nxx",
    "answered request and a part of the next head": LOOK + LOOK[:40],
}


def served(*_: object) -> bytes:
    return http_response(200, b"served")


async def connect_stopped(environment: SidecarEnvironment, sent: bytes) -> tuple[Reader, Writer]:
    """Connect a client that sends this and no more; a complete request in it is answered first."""
    reader, writer = await connect_client(environment)
    writer.write(with_new_id(sent))
    if sent.startswith(LOOK):
        assert (await read_response(reader))[0] == 200
    return reader, writer


@contextlib.asynccontextmanager
async def stopped_crowd(
    environment: SidecarEnvironment, sent: bytes, size: int
) -> AsyncIterator[list[Reader]]:
    """Connect as many stopped clients; they stay until the end."""
    clients = [await connect_stopped(environment, sent) for _ in range(size)]
    yield [reader for reader, _ in clients]
    for _, writer in clients:
        writer.close()


async def read_status_or_end(reader: Reader) -> bytes:
    """Return the first bytes that a client receives, or none if its connection ends."""
    return await read_end(reader, len(b"HTTP/1.1 408"))


async def read_end(reader: Reader, max_bytes: int = -1) -> bytes:
    """Return what a client receives until its connection ends, or the first of it."""
    try:
        return await reader.read(max_bytes)
    except ConnectionError:
        return b""


# Guards against requests that wait in the kernel's queue until stopped clients reach their time limit.
@pytest.mark.parametrize("sent", INCOMPLETE_INPUTS.values(), ids=INCOMPLETE_INPUTS)
def test_requests_are_served_beside_clients_that_stopped(
    sent: bytes, monkeypatch: pytest.MonkeyPatch, on_virtual_clock: RunScenario
) -> None:
    monkeypatch.setattr(request_deadline, "REQUEST_TIMEOUT_S", 60.0)

    async def scenario() -> None:
        async with (
            running_sidecar(served, sockets=SOCKETS) as environment,
            stopped_crowd(environment, sent, CROWD),
        ):
            for _ in range(REQUESTS):
                started_at = asyncio.get_running_loop().time()
                assert (await environment.send_request())[0] == 200
                assert asyncio.get_running_loop().time() - started_at < MAX_ANSWER_S

    on_virtual_clock(scenario())


# Guards against clients that hold a connection, and a server's, for long after they have stopped in a body.
@pytest.mark.parametrize("sent", INCOMPLETE_INPUTS.values(), ids=INCOMPLETE_INPUTS)
def test_client_that_stops_gets_its_error_or_close_in_time(
    sent: bytes, on_virtual_clock: RunScenario
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, sockets=SOCKETS) as environment:
            reader, writer = await connect_stopped(environment, sent)
            stopped_at = asyncio.get_running_loop().time()
            await read_status_or_end(reader)
            assert asyncio.get_running_loop().time() - stopped_at <= MAX_ERROR_S
            writer.close()

    on_virtual_clock(scenario())


# Guards against a client that has sent much and keeps its connection with single bytes after that.
def test_client_that_goes_on_byte_by_byte_within_its_body_is_rejected_in_time(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, sockets=SOCKETS) as environment:
            reader, writer = await connect_stopped(environment, LONG_BODY[:-100])
            stopped_at = asyncio.get_running_loop().time()
            response = asyncio.create_task(read_status_or_end(reader))
            while not response.done():
                writer.write(b"x")
                await asyncio.wait((response,), timeout=0.1)
            assert b"408" in response.result()
            assert asyncio.get_running_loop().time() - stopped_at <= MAX_ERROR_S
            writer.close()

    on_virtual_clock(scenario())


def test_client_that_takes_long_for_its_head_and_stops_in_its_body_is_rejected_in_time(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, sockets=SOCKETS) as environment:
            connected_at = asyncio.get_running_loop().time()
            reader, writer = await connect_stopped(environment, SHORT_BODY[:40])
            await asyncio.sleep(SLOWEST_HEAD_S)
            writer.write(SHORT_BODY[40:-500])
            assert b"408" in await read_status_or_end(reader)
            assert asyncio.get_running_loop().time() - connected_at <= MAX_ERROR_S
            writer.close()

    on_virtual_clock(scenario())


# Guards against giving up a body that arrives as fast as that of the slowest clients to be served.
@pytest.mark.parametrize("piece", [4_000, 32_000, 57_000])
def test_body_of_the_slowest_client_is_served(piece: int, on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, sockets=SOCKETS) as environment:
            reader, writer = await connect_stopped(environment, LONG_BODY[:40])
            await asyncio.sleep(SLOWEST_HEAD_S)
            head_bytes = len(LONG_BODY) - 200_000
            writer.write(LONG_BODY[40:head_bytes])
            for start in range(head_bytes, len(LONG_BODY), piece):
                await asyncio.sleep(piece / SLOWEST_BODY_BYTES_PER_S)
                writer.write(LONG_BODY[start : start + piece])
            assert (await read_response(reader))[0] == 200
            writer.close()

    on_virtual_clock(scenario())


# Guards against slow clients that lose their requests to clients that stopped.
def test_slow_clients_are_served_beside_clients_that_stopped(on_virtual_clock: RunScenario) -> None:
    async def send_slowly(environment: SidecarEnvironment, data: bytes, parts: int, pause_s: float) -> int:
        data = with_new_id(data)
        reader, writer = await connect_client(environment)
        size = -(-len(data) // parts)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(pause_s)
        status = (await read_response(reader))[0]
        writer.close()
        return status

    async def scenario() -> None:
        async with running_sidecar(served, sockets=SOCKETS) as environment:
            slow_head = asyncio.create_task(send_slowly(environment, LOOK, 8, 0.25))
            slow_body = asyncio.create_task(send_slowly(environment, LONG_BODY, 4, 0.75))
            await asyncio.sleep(0.2)
            async with stopped_crowd(environment, LOOK[:40], CROWD):
                for _ in range(REQUESTS):
                    assert (await environment.send_request())[0] == 200
                    await asyncio.sleep(0.2)
                assert await slow_head == 200
                assert await slow_body == 200

    on_virtual_clock(scenario())


# Guards against a request that is closed without a response because only a part of it has arrived.
def test_partly_received_request_is_rejected_when_it_is_evicted(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with (
            running_sidecar(served, sockets=SOCKETS, graceful_shutdown=True) as environment,
            stopped_crowd(environment, LONG_BODY[:-100_000], CROWD) as readers,
        ):
            assert (await environment.send_request())[0] == 200
            responses = [await read_end(reader) for reader in readers]
            statuses = {response.split(b" ")[1] for response in responses if response}
            assert statuses == {b"503", b"408"}
            assert environment.sidecar.frontend.evictions >= CROWD - MAX_CONNECTIONS
            assert len(environment.sent()) == 1  # no server has received one of these requests

    on_virtual_clock(scenario())
