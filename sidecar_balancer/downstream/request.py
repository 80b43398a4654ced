"""Client requests: their parsing, their validation and the interface of their handler."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import h11

from sidecar_balancer.policy.settings import Idempotency, Settings
from sidecar_balancer.runtime.errors import RequestError
from sidecar_balancer.runtime.headers import Headers, end_to_end_headers
from sidecar_balancer.runtime.streams import ResponseSink, ResponseSource, Upload

_API_PATH = b"/api"
_MAX_NUMBER = 1e9  # the largest number accepted in a header


class ResponseWriter(Protocol):
    """Interface of a client connection to the handler of its request."""

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""

    def begin_streaming(
        self, headers: Headers, length: int | None, source: ResponseSource
    ) -> ResponseSink | None:
        """Begin a streamed response with status 200; return None if the client has disconnected.

        Args:
            headers: The response headers, without those of the framing.
            length: The length of the body in bytes, if it is known.
            source: The connection to pause while the client reads too slowly.
        """

    def check_connected(self) -> None:
        """Report a client that has disconnected, even if its last input has not been read yet."""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request from a client, which receives one response.

    Attributes:
        method: The HTTP method.
        target: The request target, including the query.
        headers: The headers to forward.
        body: The body, if it is buffered.
        request_id: The application's identifier of the request.
        service_class: The service class, which determines deadline, idempotency and priority.
        tenant: The tenant, if the request names one.
        key: The key at the end of the path, as a number.
        remaining_us: The remaining time for a response, from the last byte of the request.
        cost_us: The cost hint: the announced cost of execution.
        is_retry: Whether it is a client retry of an earlier request.
        client_port: The port of the client's connection, for the log.
        response_writer: The connection that the response is written to.
        upload: The body, if it is streamed.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: str
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None
    is_retry: bool
    client_port: int
    response_writer: ResponseWriter
    upload: Upload | None = None

    def remaining_s(self, now: float) -> float:
        """Return the least time that may remain for a response at `now` on the event loop's clock.

        The rest of a streamed body may have been sent while it was unread.
        """
        remaining_s = self.remaining_us / 1e6
        if self.upload is None or self.upload.is_complete:
            return remaining_s
        unread_since = self.upload.unread_since()
        return remaining_s if unread_since is None else max(remaining_s - (now - unread_since), 0.0)


class RequestHandler(Protocol):
    """Handler of the requests of all client connections."""

    def request_received(self, client_request: ClientRequest) -> None:
        """Handle a request; if its body is streamed, the rest of it may still arrive."""

    def body_completed(self, client_request: ClientRequest) -> None:
        """Record that the last byte of a streamed body has arrived."""

    def client_disconnected(self, client_request: ClientRequest) -> None:
        """Record that the client no longer waits for the response."""


def check_framing(head: h11.Request) -> None:
    """Check that the end of the body is unambiguous (RFC 9112, 6.1).

    Otherwise, a part of the body could be taken for the next request.

    Raises:
        RequestError: If two recipients could disagree on where the body ends.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and (b"content-length" in names or head.http_version < b"1.1"):
        raise RequestError(400, "transfer-encoding beside content-length or before HTTP/1.1")


def parse_request(
    head: h11.Request, body: bytes, settings: Settings, response_writer: ResponseWriter, client_port: int
) -> ClientRequest:
    """Parse and validate a request.

    Raises:
        RequestError: If the path is not an API path, a header is missing or invalid, the settings do not
            contain the service class or the tenant, or the class needs another method.
    """
    path = head.target.partition(b"?")[0]
    if path != _API_PATH and not path.startswith(_API_PATH + b"/"):
        raise RequestError(404, "no such path")
    headers = {name: value.decode("latin-1").strip() for name, value in head.headers}
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not headers.get(name):
            raise RequestError(400, f"{name.decode()} is missing")
    cost = headers.get(b"x-call-cost")
    client_request = ClientRequest(
        method=head.method,
        target=head.target,
        headers=end_to_end_headers(head.headers, b"content-length", b"x-budget", b"expect"),
        body=body,
        request_id=headers[b"x-call-id"],
        service_class=headers[b"x-call-class"],
        tenant=headers.get(b"x-caller") or None,
        key=_parse_key(path),
        remaining_us=int(_parse_number(headers[b"x-budget"], "x-budget") * 1e6),
        cost_us=int(_parse_number(cost, "x-call-cost")) if cost else None,
        is_retry=headers.get(b"x-again") == "1",
        client_port=client_port,
        response_writer=response_writer,
    )
    _validate(client_request, head, settings)
    return client_request


def _validate(client_request: ClientRequest, head: h11.Request, settings: Settings) -> None:
    """Reject requests that servers would answer with 400, so that no healthy server counts as faulty."""
    name = client_request.service_class
    service_class = next((candidate for candidate in settings.classes if candidate.name == name), None)
    if service_class is None:
        raise RequestError(400, "x-call-class is not known")
    client_request.remaining_us = min(client_request.remaining_us, service_class.deadline_us)
    if settings.tenants and client_request.tenant not in {tenant.name for tenant in settings.tenants}:
        raise RequestError(400, "x-caller is not known")
    idempotency = service_class.idempotency
    if client_request.method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise RequestError(405, "the class needs another method")
    if idempotency is Idempotency.IDEMPOTENCY_KEY and not _has_idempotency_key(head):
        raise RequestError(400, "idempotency-key is missing")


def _has_idempotency_key(head: h11.Request) -> bool:
    return any(name == b"idempotency-key" and value.strip() for name, value in head.headers)


def _parse_number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 <= value <= _MAX_NUMBER:
        raise RequestError(400, f"{name}: a number is needed")
    return value


def _parse_key(path: bytes) -> int | None:
    """Return the last part of the path as a number: read as hexadecimal, or else from its bytes."""
    segment = path.removeprefix(_API_PATH).rpartition(b"/")[2]
    if not segment:
        return None
    try:
        return int(segment, 16)
    except ValueError:
        return int.from_bytes(segment, "big")
