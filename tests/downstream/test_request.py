"""Requests that are malformed, ambiguous or unknown to the settings."""

from __future__ import annotations

import asyncio

import pytest

from loopback import (
    http_response,
    is_closed,
    read_response,
    request,
    run_scenario,
    running_sidecar,
    send_request,
)
from sidecar_balancer.policy.events import RequestReceived
from sidecar_balancer.runtime.streams import MAX_REQUEST_BODY_BYTES


def served(*_: object) -> bytes:
    return http_response(200, b"served")


# Guards servers against requests that this sidecar can't account for: none of these may be forwarded.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api/1 HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", 400),
        (b"GET /api/1 HTTP/1.1\r\nHost: x\r\nX-Long: " + bytes([97]) * 200_000 + b"\r\n\r\n", 400),
        (request(X_Call_Id=None), 400),
        (request(X_Call_Id=""), 400),
        (request(X_Call_Class=None), 400),
        (request(X_Budget=None), 400),
        (request(budget="soon"), 400),
        (request(budget="nan"), 400),
        (request(budget="-1"), 400),
        (request(X_Call_Cost="much"), 400),
        (request("amend", body=b"x", Idempotency_Key=None), 400),
        (request("pay", Content_Length=str(MAX_REQUEST_BODY_BYTES + 1)), 413),
        (request(path="/elsewhere"), 404),
        (request(path="/apix/1"), 404),
    ],
)
def test_malformed_request_is_rejected_and_never_forwarded(data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            got, _, _ = await send_request(environment.sidecar.frontend.address, data)
            assert got == status
            assert (await environment.send_request())[0] == 200  # the sidecar keeps serving
            assert len(environment.sent()) == 1

    run_scenario(scenario())


# Guards servers and the state learned about them: they answer these with 400, as if they were faulty.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("look2", X_Caller="acme"), 400),
        (request("", X_Caller="acme"), 400),
        (request(X_Caller="acme-x"), 400),
        (request(), 400),
        (request("pay", X_Caller="acme", method="GET"), 405),
        (request(X_Caller="acme", method="POST"), 405),
    ],
)
def test_request_unknown_to_the_settings_reaches_neither_balancer_nor_server(
    data: bytes, status: int
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, tenants=[{"name": "acme"}]) as environment:
            events = environment.record_events()
            assert (await send_request(environment.sidecar.frontend.address, data))[0] == status
            assert not any(isinstance(each, RequestReceived) for each in events)
            assert not environment.sent()
            assert (await environment.send_request(X_Caller="acme"))[0] == 200
            assert sum(isinstance(each, RequestReceived) for each in events) == len(environment.sent()) == 1

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("data", "is_kept"),
    [
        (request(X_Call_Id=None), True),
        (b"nonsense\r\n\r\n", False),
        (request("pay", Content_Length=str(MAX_REQUEST_BODY_BYTES + 1)), False),
    ],
)
def test_connection_is_kept_after_a_rejection_only_if_its_framing_is_intact(
    data: bytes, is_kept: bool
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(data)
            assert (await read_response(reader))[0] in (400, 413)
            if is_kept:
                writer.write(request())
                assert (await read_response(reader))[0] == 200
            else:
                assert await is_closed(reader)
            writer.close()

    run_scenario(scenario())


INNER = request(path="/api/inner")


AMBIGUOUS = {
    "both framings": request("pay", Content_Length=str(len(INNER) + 5), Transfer_Encoding="chunked"),
    "chunked before HTTP/1.1": request("pay", Content_Length=None, Transfer_Encoding="chunked").replace(
        b"HTTP/1.1", b"HTTP/1.0"
    ),
}


# Guards against request smuggling: INNER is part of the body by the length, but a request by the chunks.
@pytest.mark.parametrize("head", AMBIGUOUS.values(), ids=AMBIGUOUS)
def test_nothing_is_read_after_a_head_with_ambiguous_framing(head: bytes) -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(head + b"0\r\n\r\n" + INNER)
            assert (await read_response(reader))[0] == 400
            assert await is_closed(reader)
            writer.close()
            assert not environment.sent()

    run_scenario(scenario())


def test_remaining_time_is_capped_by_the_deadline_of_the_class() -> None:
    # Guards the memory: the state of a request is kept for as long as the remaining time that it states.
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            events = environment.record_events()
            assert (await environment.send_request(budget="1e9"))[0] == 200
            assert [each.remaining_us for each in events if isinstance(each, RequestReceived)] == [2_000_000]

    run_scenario(scenario())


def test_http_1_0_client_without_host_is_served() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            data = request(Host=None).replace(b"HTTP/1.1", b"HTTP/1.0")
            assert (await send_request(environment.sidecar.frontend.address, data))[0] == 200

    run_scenario(scenario())
