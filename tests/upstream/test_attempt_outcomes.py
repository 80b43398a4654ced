"""Attempts over loopback: forwarded requests and responses, and the outcome of each attempt."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loopback import (
    WAIT_TIMEOUT_S,
    http_response,
    request,
    run_scenario,
    running_sidecar,
    send_request,
    unresponsive_listener,
    wait_until,
)
from policy_settings import S
from sidecar_balancer.policy.events import AttemptEnded
from sidecar_balancer.policy.types import Outcome, ServerState

ID = "9b1f03aa5c7e2d41"


def served(*_: object) -> bytes:
    return http_response(200, b"served")


def hung(*_: object) -> None:
    return None


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def scenario() -> None:
        body = bytes(range(256)) * 16
        async with running_sidecar(lambda *_: http_response(200, body, Content_Type="x/y")) as environment:
            sent = request("amend", "/api/7f3a?q=1", b"\0body\xff", X_Caller="acme", X_Call_Id=ID)
            status, headers, got = await send_request(environment.sidecar.frontend.address, sent)
            assert (status, headers["content-type"], got) == (200, "x/y", body)
            ((request_line, headers_sent, body_sent),) = environment.sent()
            assert request_line == "POST /api/7f3a?q=1 HTTP/1.1"
            assert body_sent == b"\0body\xff"
            assert headers_sent["x-call-id"] == ID
            assert headers_sent["idempotency-key"] == "5c0f6e1a"
            assert 0.0 < float(headers_sent["x-budget"]) < 5.0

    run_scenario(scenario())


# Guards rule 2: of these outcomes, only a rejection proves that a non-idempotent request never ran.
@pytest.mark.parametrize(
    ("reply", "status", "attempts"),
    [
        (http_response(503, b"", X_Rejected="1"), 200, 2),
        (http_response(504, b"", X_Rejected="1"), 200, 2),
        (http_response(503, b""), 500, 1),
        (http_response(500, b"", X_Rejected="1"), 500, 1),
        (b"", 500, 1),
        (b"HTTP/1.1 200 X\r\nContent-Length: 10\r\nConnection: close\r\n\r\nshort", 500, 1),
        (b"nonsense\r\n\r\n", 500, 1),
    ],
)
def test_non_idempotent_request_is_retried_only_where_it_was_not_executed(
    reply: bytes, status: int, attempts: int
) -> None:
    async def scenario() -> None:
        replies = [reply]

        def reply_once(*_: object) -> bytes:
            return replies.pop() if replies else http_response(200, b"served")

        async with running_sidecar(reply_once, reply_once, reply_once) as environment:
            got, _, body = await environment.send_request(service_class="pay", body=b"x")
            assert got == status
            assert (body == b"served") == (status == 200)
            assert len(environment.sent()) == attempts

    run_scenario(scenario())


UNREADABLE = {
    "cut short": b"HTTP/1.1 200 X\r\nContent-Length: 10\r\nConnection: close\r\n\r\nshort",
    "bad chunk": b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
    "two lengths": b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    "no framing": b"HTTP/1.1 200 X\r\n\r\nabcde",
    "no HTTP": b"\x88R\xba|\r\n\r\n",
}


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [*((reply, Outcome.APPLICATION_ERROR) for reply in UNREADABLE.values()), (b"", Outcome.CONNECTION_LOST)],
    ids=[*UNREADABLE, "a reset and no answer"],
)
def test_unreadable_response_is_an_application_error_and_no_lost_connection(
    reply: bytes, outcome: Outcome
) -> None:
    async def scenario() -> None:
        async with running_sidecar(lambda *_: reply, limits={"max_attempts": 1}) as environment:
            events = environment.record_events()
            assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 500
            assert [each.outcome for each in events if isinstance(each, AttemptEnded)] == [outcome]

    run_scenario(scenario())


@pytest.mark.parametrize("status", [400, 404])
def test_request_that_a_server_calls_invalid_is_not_retried(status: int) -> None:
    async def scenario() -> None:
        async with running_sidecar(*[lambda *_: http_response(status)] * 3) as environment:
            assert (await environment.send_request())[0] == 503
            assert len(environment.sent()) == 1

    run_scenario(scenario())


def test_refused_connection_allows_a_retry_of_a_non_idempotent_request() -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served) as environment:
            environment.servers[0].stop()
            for _ in range(3):
                assert (await environment.send_request(service_class="pay", body=b"x"))[0] == 200

    run_scenario(scenario())


# Guards rule 1: a response that ends with its connection may be truncated, so it is never forwarded.
@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 200 X\r\n\r\nperhaps all of it",
        b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\nnot all of it",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nnot a\r\n",
    ],
)
def test_response_body_that_may_be_incomplete_is_not_forwarded(cut: bytes) -> None:
    async def scenario() -> None:
        async with running_sidecar(lambda *_: cut) as environment:
            response_task = asyncio.create_task(environment.send_request(service_class="pay", body=b"x"))
            await wait_until(environment.sent)
            await asyncio.sleep(0)
            server = environment.servers[0]
            await wait_until(lambda: server.writers)
            server.writers[0].close()
            assert (await response_task)[0] == 500

    run_scenario(scenario())


def test_hung_server_times_out_with_a_response_and_its_connection_is_closed() -> None:
    async def scenario() -> None:
        async with running_sidecar(hung) as environment:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            status, _, _ = await environment.send_request(service_class="pay", body=b"x", budget="0.6")
            assert status == 500
            assert loop.time() - started_at > 0.3
            await wait_until(lambda: environment.servers[0].closed == 1)
            assert len(environment.sent()) == 1

    run_scenario(scenario())


def test_attempt_ends_when_its_client_disconnects() -> None:
    async def scenario() -> None:
        async with running_sidecar(hung) as environment:
            _, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request("pay", body=b"x"))
            await wait_until(environment.sent)
            writer.close()
            await wait_until(lambda: environment.servers[0].closed == 1)
            # The late outcome was handled, and nothing is kept.
            assert not environment.sidecar.proxy.in_flight

    run_scenario(scenario())


def test_slow_reader_does_not_delay_other_clients() -> None:
    async def scenario() -> None:
        async with running_sidecar(lambda *_: http_response(200, bytes(60_000))) as environment:
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            slow.setblocking(False)
            await asyncio.get_running_loop().sock_connect(slow, environment.sidecar.frontend.address)
            reader, writer = await asyncio.open_connection(sock=slow, limit=16)
            writer.write(request() * 50)  # sends requests without reading any response
            await wait_until(environment.sent)
            assert len((await environment.send_request())[2]) == 60_000
            for _ in range(3):
                assert (await read_response_slowly(reader)) == 60_000
            writer.close()

    run_scenario(scenario())


async def read_response_slowly(reader: asyncio.StreamReader) -> int:
    head_bytes = b""
    while not head_bytes.endswith(b"\r\n\r\n"):
        head_bytes += await asyncio.wait_for(reader.readexactly(1), WAIT_TIMEOUT_S)
    return len(await asyncio.wait_for(reader.readexactly(60_000), WAIT_TIMEOUT_S))


def test_nothing_is_sent_for_an_ended_request_even_without_cancellation() -> None:
    # Guards rule 1: a dial that completed after the final response would still write the request.
    async def scenario() -> None:
        limits = {"max_attempts": 3, "may_cancel": False, "dial_timeout_us": 600 * S}
        with unresponsive_listener() as address:
            async with running_sidecar(served, limits=limits) as environment:
                environment.sidecar.endpoint_pool.update("s-0", address, None, ServerState.READY)
                _, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
                writer.write(request("pay", body=b"x", budget="600"))
                await wait_until(lambda: environment.sidecar.endpoint_pool.open_count == 1)
                writer.close()
                await wait_until(
                    lambda: (
                        not environment.sidecar.proxy.in_flight
                        and not environment.sidecar.endpoint_pool.open_count
                    )
                )

    run_scenario(scenario())
