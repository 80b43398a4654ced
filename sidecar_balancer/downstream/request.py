"""Requests of the application: their parsing and validation."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import h11

from sidecar_balancer.policy.settings import Idempotency, Settings
from sidecar_balancer.runtime.errors import RequestError
from sidecar_balancer.runtime.headers import Headers, end_to_end_headers
from sidecar_balancer.runtime.streams import ResponseSink, ResponseSource, Upload

API_PATH = b"/api"


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as the application sent it; it is answered once."""

    method: bytes
    target: bytes
    headers: Headers  # those that go on
    body: bytes
    request_id: str
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None
    is_retry: bool
    port: int  # of the application's connection, for the log
    respond: Callable[[int, Headers, bytes], None]
    begin_streaming: Callable[
        [Headers, int | None, ResponseSource], ResponseSink | None
    ]  # in place of `answer`, where that is long
    upload: Upload | None = None  # in place of the body, where that is long
    check_connected: Callable[[], None] = lambda: (
        None
    )  # whether its client is still there; if not, it is told gone


@dataclass(slots=True)
class RequestHandler:
    """What the frontend asks of the driver."""

    request_received: Callable[[ClientRequest], None]
    client_disconnected: Callable[[ClientRequest], None]
    is_ready: Callable[[], bool]
    body_completed: Callable[[ClientRequest], None] = lambda call: (
        None
    )  # the last byte of a long body has come


def parse_request(
    head: h11.Request,
    body: bytes,
    respond: Callable[[int, Headers, bytes], None],
    begin_streaming: Callable[[Headers, int | None, ResponseSource], ResponseSink | None],
    port: int = 0,
) -> ClientRequest:
    """Read a request of the application; raise BadRequest where a header is missing or makes no sense."""
    given = {name: value.decode("latin-1").strip() for name, value in head.headers}
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not given.get(name):
            raise RequestError(400, f"{name.decode()} is missing")
    return ClientRequest(
        method=head.method,
        target=head.target,
        headers=end_to_end_headers(head.headers, b"content-length", b"x-budget", b"expect"),
        body=body,
        request_id=given[b"x-call-id"],
        service_class=given[b"x-call-class"],
        tenant=given.get(b"x-caller") or None,
        key=_routing_key(head.target),
        remaining_us=int(_parse_number(given[b"x-budget"], "x-budget") * 1e6),
        cost_us=int(_parse_number(given[b"x-call-cost"], "x-call-cost"))
        if given.get(b"x-call-cost")
        else None,
        is_retry=given.get(b"x-again") == "1",
        port=port,
        respond=respond,
        begin_streaming=begin_streaming,
    )


def check_framing(head: h11.Request) -> None:
    """Raise BadRequest where two readers could disagree on where the body ends (RFC 9112, 6.1).

    What stood inside the body by the one reading would be the next request by the other.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and (b"content-length" in names or head.http_version < b"1.1"):
        raise RequestError(400, "transfer-encoding beside content-length or before HTTP/1.1")


def validate(call: ClientRequest, head: h11.Request, settings: Settings) -> None:
    """Raise BadRequest for what the settings do not know: a server that answers it 400 is not sick."""
    kind = next((each for each in settings.classes if each.name == call.service_class), None)
    if kind is None:
        raise RequestError(400, "x-call-class is not known")
    call.remaining_us = min(
        call.remaining_us, kind.deadline_us
    )  # nobody waits longer, and it is held as long
    if settings.tenants and call.tenant not in {each.name for each in settings.tenants}:
        raise RequestError(400, "x-caller is not known")
    if call.method != (b"GET" if kind.idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise RequestError(405, "the class needs another method")
    if kind.idempotency is Idempotency.IDEMPOTENCY_KEY and not _has_idempotency_key(head):
        raise RequestError(400, "idempotency-key is missing")  # servers could not drop its repeats


def _has_idempotency_key(head: h11.Request) -> bool:
    return any(name == b"idempotency-key" and value.strip() for name, value in head.headers)


def _parse_number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 <= value <= 1e9:
        raise RequestError(400, f"{name}: a number is needed")
    return value


def _routing_key(target: bytes) -> int | None:
    """The last part of the path as a number, whatever it is made of."""
    last = target.partition(b"?")[0].removeprefix(API_PATH).rpartition(b"/")[2]
    if not last:
        return None
    try:
        return int(last, 16)
    except ValueError:
        return int.from_bytes(last, "big")
