"""Clients that disconnect: nothing more is forwarded for them, and what is in flight ends at once."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from loopback import (
    http_response,
    request,
    running_sidecar,
    unresponsive_listener,
    wait_until,
)
from scenario_helpers import (
    DISCONNECT_GRACE_S,
    DISCONNECT_KINDS,
    PIPELINED_INPUT,
    RawClient,
    hung,
    nothing_in_flight,
    served,
    sidecar_with_unreading_server,
    wait_until_nothing_in_flight,
)
from sidecar_balancer.policy.types import ServerState
from sidecar_balancer.upstream import dialing, endpoint_pool
from virtual_clock import RunScenario, stall


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("service_class", ["look", "pay"])
def test_request_read_together_with_its_clients_close_is_not_forwarded(
    on_virtual_clock: RunScenario, disconnect_kind: str, service_class: str
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            assert (await environment.send_request())[0] == 200  # opens a connection to a server
            client = RawClient(environment)
            client.send(request(service_class, body=b"" if service_class == "look" else b"x"))
            client.disconnect(disconnect_kind)
            stall(1.0)  # the sidecar stalls, or leaves the client in the queue of connections
            await wait_until(lambda: len(environment.sidecar.frontend.connections) == 1)
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            assert len(environment.sent()) == 1
            assert nothing_in_flight(environment)()
            client.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
def test_dial_ends_at_once_when_its_client_disconnects(
    on_virtual_clock: RunScenario, disconnect_kind: str
) -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 3, "may_cancel": False, "dial_timeout_us": 600_000_000}
        with unresponsive_listener() as address:
            async with running_sidecar(served, graceful_shutdown=True, limits=limits) as environment:
                environment.sidecar.endpoint_pool.update("s-0", address, None, ServerState.READY)
                client = RawClient(environment)
                client.send(request("pay", body=b"x", budget="1.9"))
                await wait_until(lambda: environment.sidecar.endpoint_pool.open_count == 1)
                client.disconnect(disconnect_kind)
                await wait_until_nothing_in_flight(environment)
                assert environment.sidecar.endpoint_pool.open_count == 0
                client.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
def test_nothing_is_written_where_the_client_left_unnoticed_during_the_dial(
    on_virtual_clock: RunScenario, disconnect_kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        dial_may_end, real_connect = asyncio.Event(), dialing.connect

        async def delayed_connect(*args: Any) -> Any:
            connection = await real_connect(*args)
            await dial_may_end.wait()
            return connection

        async with running_sidecar(served, served, graceful_shutdown=True) as environment:
            monkeypatch.setattr(endpoint_pool, "connect", delayed_connect)
            client = RawClient(environment)
            client.send(request())
            await wait_until(lambda: environment.sidecar.endpoint_pool.open_count == 1)
            (connection,) = environment.sidecar.frontend.connections
            assert connection._transport is not None
            connection._transport.pause_reading()  # only the end of the dial can detect the disconnect
            client.disconnect(disconnect_kind)
            dial_may_end.set()
            await wait_until_nothing_in_flight(environment)
            assert not environment.sent()
            client.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("pipelined_input", [b"", PIPELINED_INPUT])
@pytest.mark.parametrize("response", [http_response(503, b"", X_Rejected="1"), http_response(500, b"")])
def test_attempt_that_fails_as_its_client_disconnects_is_not_retried(
    on_virtual_clock: RunScenario, disconnect_kind: str, pipelined_input: bytes, response: bytes
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, hung, graceful_shutdown=True) as environment:
            client = RawClient(environment)
            client.send(request())
            await wait_until(environment.sent)
            client.send(pipelined_input)
            await asyncio.sleep(0.05)
            (server,) = [each for each in environment.servers if each.requests]
            server.writers[-1].write(response)  # arrives first, directly followed by the disconnect
            client.disconnect(disconnect_kind)
            await wait_until_nothing_in_flight(environment)
            assert len(environment.sent()) == 1
            client.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("may_cancel", [True, False])
def test_client_that_disconnects_while_it_is_not_read_is_noticed_in_time(
    on_virtual_clock: RunScenario, disconnect_kind: str, may_cancel: bool
) -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 3, "may_cancel": may_cancel}
        async with running_sidecar(hung, hung, graceful_shutdown=True, limits=limits) as environment:
            client = RawClient(environment)
            client.send(request("pay", body=b"x") + PIPELINED_INPUT)
            await wait_until(environment.sent)
            await asyncio.sleep(0.25)
            client.disconnect(disconnect_kind)
            started_at = asyncio.get_running_loop().time()
            await wait_until(lambda: not environment.sidecar.proxy.by_client_request)
            assert asyncio.get_running_loop().time() - started_at < DISCONNECT_GRACE_S
            (server,) = [each for each in environment.servers if each.requests]
            if may_cancel:
                await wait_until(lambda: server.closed == 1)
            else:  # a request that a server has completely received is neither cancelled nor retried
                server.writers[-1].write(http_response(503, b"", X_Rejected="1"))
            await wait_until(nothing_in_flight(environment))
            assert len(environment.sent()) == 1
            client.sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize(
    ("disconnect_kind", "unread_byte_count"),
    [("close", 0), ("half-close", 0), ("reset", 0), ("reset", 9_000_000)],
)
def test_paused_upload_ends_when_its_client_disconnects(
    on_virtual_clock: RunScenario, disconnect_kind: str, unread_byte_count: int
) -> None:
    async def scenario() -> None:
        async with sidecar_with_unreading_server() as (environment, server):
            client = RawClient(environment)
            client.send(request("pay", Content_Length="30000000"))
            await wait_until(lambda: environment.sidecar.frontend.connections)
            connection = next(iter(environment.sidecar.frontend.connections))
            while not connection._reading_paused:
                client.send_without_blocking(bytes(65_536))
                await asyncio.sleep(0)
            client.send_without_blocking(bytes(unread_byte_count))
            client.disconnect(disconnect_kind)
            await wait_until_nothing_in_flight(environment)
            server.resume_reading.set()
            await wait_until(lambda: server.ended)
            client.sock.close()

    on_virtual_clock(scenario())


def test_upload_behind_a_full_buffer_is_not_completed_after_its_client_disconnected(
    on_virtual_clock: RunScenario,
) -> None:
    size = 8_000_000  # more than the kernel buffers, so that the disconnect is not visible yet

    async def scenario() -> None:
        async with sidecar_with_unreading_server() as (environment, server):
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request("pay", Content_Length=str(size)) + bytes(size))
            await wait_until(
                lambda: any(each._reading_paused for each in environment.sidecar.frontend.connections)
            )
            writer.close()  # takes effect once the kernel has all data
            server.resume_reading.set()
            await wait_until(lambda: server.ended)
            assert not b"".join(server.received).endswith(bytes(size))
            await wait_until(nothing_in_flight(environment))
            assert await reader.read() == b""

    on_virtual_clock(scenario())


@pytest.mark.parametrize("disconnect_kind", DISCONNECT_KINDS)
def test_upload_whose_end_comes_with_its_clients_close_is_not_completed(
    on_virtual_clock: RunScenario, disconnect_kind: str
) -> None:
    async def scenario() -> None:
        async with sidecar_with_unreading_server() as (environment, server):
            server.resume_reading.set()
            client = RawClient(environment)
            data = request("pay", body=bytes(100_000))
            client.send(data[:-1])
            await wait_until(lambda: server.received)
            client.send(data[-1:])
            client.disconnect(disconnect_kind)
            await wait_until_nothing_in_flight(environment)
            await wait_until(lambda: server.ended)
            assert not b"".join(server.received).endswith(bytes(100_000))
            client.sock.close()

    on_virtual_clock(scenario())


def test_client_that_sends_far_ahead_gets_an_answer_to_each_request(on_virtual_clock: RunScenario) -> None:
    count = 4_000  # about 500 kB

    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            client = RawClient(environment)
            client.send_without_blocking(request() + request() * count)
            await wait_until(environment.sent)
            (connection,) = environment.sidecar.frontend.connections
            await wait_until(lambda: connection._reading_paused)
            assert environment.sidecar.frontend.memory_budget.used_bytes < 500_000
            environment.servers[0].script = lambda *_: http_response(200, b"served")
            environment.servers[0].writers[-1].write(http_response(200, b"served"))
            got = b""
            while got.count(b"HTTP/1.1 ") <= count:
                got += await asyncio.get_running_loop().sock_recv(client.sock, 65_536)
            assert got.startswith(b"HTTP/1.1 200")
            assert got.endswith(b"served")
            assert got.count(b"HTTP/1.1 ") == got.count(b"HTTP/1.1 200") + got.count(b"HTTP/1.1 503")
            client.sock.close()

    on_virtual_clock(scenario())


def test_pipelined_request_is_not_forwarded_after_its_client_disconnected(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(hung, hung, graceful_shutdown=True) as environment:
            client = RawClient(environment)
            client.send(request() + request())
            await wait_until(environment.sent)
            (server,) = [each for each in environment.servers if each.requests]
            server.writers[-1].write(http_response(200, b"served"))
            client.disconnect("close")
            await wait_until_nothing_in_flight(environment)
            assert len(environment.sent()) == 1

    on_virtual_clock(scenario())
