"""Responses that arrive early, late, twice, slowly or after the end of their connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import pytest

from loopback import (
    http_response,
    read_response,
    request,
    running_sidecar,
    unresponsive_listener,
    wait_until,
)
from policy_settings import IDEMPOTENT, NON_IDEMPOTENT, S
from scenario_helpers import (
    RawClient,
    hung,
    nothing_in_flight,
    read_chunks,
    served,
    sidecar_with_unreading_server,
)
from sidecar_balancer.policy.events import (
    AttemptEnded,
)
from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.runtime.streams import STALL_TIMEOUT_S
from virtual_clock import RunScenario, stall


@pytest.mark.parametrize("late_s", [0.0, 0.001, 0.009])
@pytest.mark.parametrize("service_class", ["look", "pay"])
def test_second_response_is_never_delivered_to_another_request(
    on_virtual_clock: RunScenario, late_s: float, service_class: str
) -> None:
    body = b"" if service_class == "look" else b"x"

    async def scenario() -> None:
        async with running_sidecar(
            lambda *_: http_response(200, b"first"), graceful_shutdown=True
        ) as environment:
            server = environment.servers[0]
            for _ in range(4):
                assert (await environment.send_request(service_class=service_class, body=body))[2] == b"first"
                writer, sent_before = server.writers[-1], len(server.requests)
                server.script = hung
                response_task = asyncio.create_task(
                    environment.send_request(service_class=service_class, body=body)
                )
                await wait_until(lambda sent_before=sent_before: len(server.requests) > sent_before)  # type: ignore[misc]
                await asyncio.sleep(late_s)
                if not writer.is_closing():
                    writer.write(http_response(200, b"a second answer"))
                await asyncio.sleep(0.05)
                for each in server.writers:
                    if not each.is_closing():
                        each.write(http_response(200, b"its own"))
                assert (await response_task)[2] == b"its own"
                server.script = lambda *_: http_response(200, b"first")
                await asyncio.sleep(0.1)
            assert len(environment.sent()) == 8

    on_virtual_clock(scenario())


@pytest.mark.parametrize("ends", [True, False])
def test_streamed_response_without_a_client_ends_in_bounded_time(
    on_virtual_clock: RunScenario, ends: bool
) -> None:
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    piece = b"1000\r\n" + bytes(0x1000) + b"\r\n"

    async def scenario() -> None:
        limits = {"max_attempts": 3, "may_cancel": False}
        classes = [IDEMPOTENT | {"deadline_us": 2 * S}, NON_IDEMPOTENT | {"deadline_us": 4 * S}]
        async with running_sidecar(
            hung, graceful_shutdown=True, limits=limits, classes=classes
        ) as environment:
            client = RawClient(environment)
            client.send(request(budget="1.0"))
            await wait_until(environment.sent)
            (writer,), (in_flight_request,) = (
                environment.servers[0].writers,
                environment.sidecar.proxy.in_flight.values(),
            )
            writer.write(head + piece * 20)
            await wait_until(lambda: in_flight_request.streamed_attempt is not None)
            client.disconnect("reset")
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            started_at = asyncio.get_running_loop().time()
            for _ in range(15):  # well past the remaining time that its client stated
                await asyncio.sleep(0.2)
                writer.write(piece)
                assert environment.servers[0].closed == 0  # cancellation is disabled
            if ends:
                writer.write(b"0\r\n\r\n")
            while (
                not nothing_in_flight(environment)() and asyncio.get_running_loop().time() < started_at + 10.0
            ):
                await asyncio.sleep(0.2)
                if not (ends or writer.is_closing()):
                    writer.write(piece)
            assert nothing_in_flight(environment)()
            assert asyncio.get_running_loop().time() - started_at < (3.5 if ends else 4.5)
            # After a complete response, the connection is kept for reuse.
            assert environment.sidecar.endpoint_pool.open_count == int(ends)
            client.sock.close()

    on_virtual_clock(scenario())


def test_last_response_arrives_complete_despite_unread_input(on_virtual_clock: RunScenario) -> None:
    body = bytes(range(250)) * 240

    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            sock = socket.socket()
            # Most of the response stays in the kernel on the sidecar's side.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(environment.sidecar.frontend.address)
            sock.send(request(Connection="close"))
            await wait_until(environment.sent)
            (connection,) = environment.sidecar.frontend.connections
            assert connection._transport is not None
            connection._transport.pause_reading()  # input sent now is unread when the response is written
            sock.send(request())
            environment.servers[0].writers[0].write(http_response(200, body))
            await wait_until(nothing_in_flight(environment))
            sock.setblocking(False)
            got = b""
            while not got.endswith(body):
                with contextlib.suppress(BlockingIOError):
                    got += (data := sock.recv(4_096))
                    assert data, "cut off"
                await asyncio.sleep(0.01)
            await wait_until(lambda: not environment.sidecar.frontend.connections)
            assert len(environment.sent()) == 1
            sock.close()

    on_virtual_clock(scenario())


def test_slow_reader_is_not_cut_off_for_data_that_came_after_it_fell_behind(
    on_virtual_clock: RunScenario,
) -> None:
    body = bytes(range(250)) * 400

    async def scenario() -> None:
        async with running_sidecar(hung, graceful_shutdown=True) as environment:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(environment.sidecar.frontend.address)
            sock.setblocking(False)
            sock.send(request())
            await wait_until(environment.sent)
            (connection,) = environment.sidecar.frontend.connections
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            pieces = b"".join(b"2\r\n%b\r\n" % body[at : at + 2] for at in range(0, len(body), 2))
            head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            environment.servers[0].writers[0].write(head + pieces + b"0\r\n\r\n")
            await wait_until(lambda: connection._write_blocked)
            got, started_at = b"", asyncio.get_running_loop().time()
            while not got.endswith(b"\r\n0\r\n\r\n"):
                with contextlib.suppress(BlockingIOError):
                    got += (data := sock.recv(2_500))
                    assert data, "cut off"
                await asyncio.sleep(2.0)
            assert asyncio.get_running_loop().time() - started_at > 3 * STALL_TIMEOUT_S
            reader = asyncio.StreamReader()
            reader.feed_data(got)
            await reader.readuntil(b"\r\n\r\n")
            assert await read_chunks(reader) == body
            sock.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("first", ["dialling", "written"])
def test_streamed_response_is_not_cut_off_by_the_hedged_request_that_it_ends(
    on_virtual_clock: RunScenario, first: str, may_cancel: bool
) -> None:
    body = bytes(range(251)) * 1000  # too long to be buffered

    async def scenario() -> None:
        limits: dict[str, Any] = {"max_attempts": 3, "may_hedge": True, "may_cancel": may_cancel}
        limits["dial_timeout_us"] = 600_000_000
        async with running_sidecar(hung, hung, graceful_shutdown=True, limits=limits) as environment:
            with unresponsive_listener() as address:
                if first == "dialling":  # whichever is selected first, its connection is not established
                    addresses = {
                        name: each.address
                        for name, each in environment.sidecar.endpoint_pool.endpoints.items()
                    }
                    for each in environment.sidecar.endpoint_pool.endpoints.values():
                        each.address = address
                client = RawClient(environment)
                client.send(request(budget="5.0"))
                await wait_until(lambda: environment.sidecar.proxy.in_flight)
                (in_flight_request,), balancer = (
                    environment.sidecar.proxy.in_flight.values(),
                    environment.sidecar.engine.balancer,
                )
                (balancer_request,) = balancer.open_requests.values()
                if first == "dialling":
                    for name, each in environment.sidecar.endpoint_pool.endpoints.items():
                        each.address = addresses[name]
                else:
                    await wait_until(environment.sent)
                sent_before, actions_before = len(environment.sent()), len(balancer.actions)
                # Sends a hedged request.
                balancer.components.placement.place(environment.sidecar.engine.clock.now(), balancer_request)
                environment.sidecar.engine.execute(balancer.actions[actions_before:])
                await wait_until(lambda: len(environment.sent()) > sent_before)
                name = balancer_request.attempts[1].server.name
                (server,) = [each for each in environment.servers if each.name == name]
                server.writers[-1].write(http_response(200, body)[: -len(body) // 2])
                await wait_until(lambda: in_flight_request.streamed_attempt == 1)
                await asyncio.sleep(0.1)
                assert in_flight_request.attempts.keys() == (
                    {1} if may_cancel or first == "dialling" else {0, 1}
                )
                assert server.closed == 0
                server.writers[-1].write(body[-len(body) // 2 :])
                reader, writer = await asyncio.open_connection(sock=client.sock)
                assert (await read_response(reader))[2] == body
                for other_writer in (*environment.servers[0].writers, *environment.servers[1].writers):
                    if other_writer is not server.writers[-1]:
                        other_writer.write(http_response(200, b"too late"))
                await wait_until(nothing_in_flight(environment))
                writer.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("size", [1, 100_000])
def test_response_before_the_end_of_its_request_is_discarded(
    on_virtual_clock: RunScenario, size: int
) -> None:
    async def scenario() -> None:
        async with sidecar_with_unreading_server() as (environment, server):
            events = environment.record_events()
            server.resume_reading.set()
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request("pay", body=bytes(200_000))[:-1])
            await wait_until(lambda: server.received)
            server.writers[0].write(http_response(200, bytes(size)))
            status, _, _ = await read_response(reader)
            assert status == 503  # it was not executed, but its body can't be sent again
            ended = [each.outcome for each in events if isinstance(each, AttemptEnded)]
            assert ended == [Outcome.CONNECT_FAILED]
            writer.close()

    on_virtual_clock(scenario())


def test_connection_closed_as_it_becomes_idle_is_not_reused_and_nothing_runs_twice(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            for _ in range(3):
                assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 200
                environment.servers[0].writers[-1].close()
                stall(0.05)  # the end is unread, and the reuse delay is over
                assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 200
            assert len(environment.sent()) == 6

    on_virtual_clock(scenario())
