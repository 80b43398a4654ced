"""A request that arrives before its connection's turn to go on after the last response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from loopback import SidecarEnvironment, http_response, read_response, request, running_sidecar, wait_until
from raw_server import Reader, Writer, connect_client
from sidecar_balancer.downstream.client_connection import ClientConnection
from sidecar_balancer.downstream.connection_table import EvictionClass
from sidecar_balancer.runtime.sockets import has_no_unread_input
from virtual_clock import RunScenario

FIRST = request(path="/api/1")
NEXT = request(path="/api/2")
PIPELINED = request(path="/api/2") + request(path="/api/3")


def served(*_: object) -> bytes:
    return http_response(200, b"served")


class HeldTurns:
    """A queue of turns that come when the test says so."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def call_soon(self, callback: Callable[[], None]) -> None:
        self.calls.append(callback)

    def run(self) -> None:
        """Let all turns come, and those that they lead to."""
        while self.calls:
            self.calls.pop(0)()


def hold_turns() -> HeldTurns:
    turns = HeldTurns()
    setattr(asyncio.get_running_loop(), "turn_queue", turns)  # noqa: B010  # asyncio's loops do not declare it
    return turns


async def keep_running(turns: HeldTurns) -> None:
    while True:
        turns.run()
        await asyncio.sleep(0.001)


async def answered_client(environment: SidecarEnvironment) -> tuple[Reader, Writer, ClientConnection]:
    """Return a client whose first request has been answered, and its connection."""
    reader, writer = await connect_client(environment)
    writer.write(FIRST)
    assert (await read_response(reader))[0] == 200
    (connection,) = environment.sidecar.frontend.connections
    return reader, writer, connection


async def send_and_wait_until_read(connection: ClientConnection, writer: Writer, data: bytes) -> None:
    await asyncio.sleep(0.01)  # the virtual clock tells this input from that before
    received = connection._deadline.last_input_at
    writer.write(data)
    await wait_until(
        lambda: connection._deadline.last_input_at > received and has_no_unread_input(connection._sock)
    )


async def client_with_request_read(
    environment: SidecarEnvironment,
) -> tuple[HeldTurns, Reader, Writer, ClientConnection]:
    """Hold the turns, and return a client whose next request was read before its connection's turn."""
    turns = hold_turns()
    reader, writer, connection = await answered_client(environment)
    await send_and_wait_until_read(connection, writer, NEXT)
    return turns, reader, writer, connection


@pytest.mark.parametrize("data", [NEXT, PIPELINED], ids=["one", "two"])
@pytest.mark.parametrize("pieces", [1, 3])
def test_a_request_read_before_its_turn_is_answered(
    data: bytes, pieces: int, on_virtual_clock: RunScenario
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            turns = hold_turns()
            reader, writer, connection = await answered_client(environment)
            size = -(-len(data) // pieces)
            for start in range(0, len(data), size):
                await send_and_wait_until_read(connection, writer, data[start : start + size])
            running = asyncio.create_task(keep_running(turns))
            for _ in range(data.count(b"GET ")):
                assert (await read_response(reader))[0] == 200
            running.cancel()
            turns.run()
            writer.close()

    on_virtual_clock(scenario())


def test_a_connection_with_a_request_read_before_its_turn_is_neither_idle_nor_evicted(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            turns, _, writer, connection = await client_with_request_read(environment)
            now = asyncio.get_running_loop().time()
            assert not connection.is_idle()
            assert connection.eviction_class(now + 10.0) is EvictionClass.BUSY
            environment.sidecar.frontend.close_idle(only_used=False)
            turns.run()
            assert not connection.is_idle()
            assert connection.eviction_class(now + 10.0) is EvictionClass.BUSY
            running = asyncio.create_task(keep_running(turns))
            await wait_until(lambda: len(environment.sent()) == 2)
            running.cancel()
            turns.run()
            writer.close()

    on_virtual_clock(scenario())


def test_a_shutdown_answers_a_request_read_before_its_turn(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            turns, reader, writer, _ = await client_with_request_read(environment)
            environment.stop.set()
            await asyncio.sleep(0.7)
            running = asyncio.create_task(keep_running(turns))
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (200, "close")
            running.cancel()
            writer.close()

    on_virtual_clock(scenario())


def test_a_client_that_leaves_before_the_turn_of_its_next_request_gets_no_attempt(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            turns, _, writer, _ = await client_with_request_read(environment)
            writer.close()
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            turns.run()
            assert len(environment.sent()) == 1

    on_virtual_clock(scenario())
