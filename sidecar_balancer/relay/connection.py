"""One caller's connection: a bounded request, and a response in pieces; slow readers are dropped."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import h11

from sidecar_balancer.discovery.protocol import Headers
from sidecar_balancer.relay.errors import RelayRequestError
from sidecar_balancer.relay.requests import RelayRequest, parse_request

REQUEST_TIMEOUT_S = 2.0  # within which a request is complete
RESPONSE_TIMEOUT_S = 5.0  # within which a caller has read its response
_MAX_HEAD_BYTES = 8 * 1024
_SEND_BUFFER_BYTES = 256 * 1024  # of the kernel, for one caller
_PIECE_BYTES = 64 * 1024  # written at a time, so that a slow caller's response is not buffered whole
_MAX_ERROR_CHARACTERS = 100


class ConnectionHandler(Protocol):
    """What a caller's connection needs of the relay."""

    def connection_opened(self, connection: CallerConnection) -> bool:
        """Register a new connection; False: there are too many, it is closed."""

    def request_received(self, connection: CallerConnection, request: RelayRequest) -> None:
        """Respond to a request, now or later."""

    def request_rejected(self, connection: CallerConnection, error: RelayRequestError) -> None:
        """Count a request that was malformed or late; the connection responds to it."""

    def response_timed_out(self) -> None:
        """Count a caller that did not read its response in time."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Forget a connection that has ended, whichever side ended it."""


class CallerConnection(asyncio.Protocol):
    """A connection that carries one request and its response."""

    def __init__(self, handler: ConnectionHandler) -> None:
        self._handler = handler
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._is_request_over = False  # a request has come, or was rejected
        self._unwritten = memoryview(b"")  # rest of the response's body
        self._deadline: asyncio.TimerHandle | None = None
        self._wait: asyncio.TimerHandle | None = None

    # What asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the handler, and bound the buffers and the request's time."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        if not self._handler.connection_opened(self):
            transport.abort()
            return
        self._set_deadline(REQUEST_TIMEOUT_S, self._reject_late_request)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Free what the connection holds."""
        self._cancel_timers()
        self._transport = None
        self._unwritten = memoryview(b"")
        self._handler.connection_closed(self)

    def eof_received(self) -> bool:
        """Close: a caller that ends its side reads no response."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse the request; what follows it is dropped."""
        if self._is_request_over:
            return
        try:
            self._h11.receive_data(data)
            request = self._next_request()
        except h11.RemoteProtocolError as error:
            self._reject(RelayRequestError(400, str(error)[:_MAX_ERROR_CHARACTERS]))
        except RelayRequestError as error:
            self._reject(error)
        else:
            if request is not None:
                self._is_request_over = True
                self._cancel_timers()
                self._handler.request_received(self, request)

    def resume_writing(self) -> None:
        """Write on, in the next loop turn: the transport may not be closed from within this call."""
        if self._is_request_over:
            asyncio.get_running_loop().call_soon(self._write_on)

    # Requests

    def _next_request(self) -> RelayRequest | None:
        """Return the request once it is complete."""
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.Data):
                raise RelayRequestError(400, "a call has no body")
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                return parse_request(self._head)
            else:
                return None

    def _reject(self, error: RelayRequestError) -> None:
        self._is_request_over = True
        self._handler.request_rejected(self, error)
        self.respond(error.status, [("Content-Type", "text/plain")], f"{error}\n".encode())

    def _reject_late_request(self) -> None:
        self._reject(RelayRequestError(408, "the call did not come in time"))

    # Responses

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the response and end the connection; nothing is done where it is closed already."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._cancel_timers()
        self._set_deadline(RESPONSE_TIMEOUT_S, self._drop_slow_reader)
        head = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
        head += [f"{name}: {value}" for name, value in headers]
        head += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self._unwritten = memoryview(body)
        transport.write("\r\n".join(head).encode() + self._next_piece())
        self._write_on()

    def _next_piece(self) -> bytes:
        piece, self._unwritten = self._unwritten[:_PIECE_BYTES], self._unwritten[_PIECE_BYTES:]
        return bytes(piece)

    def _write_on(self) -> None:
        """Write until the kernel accepts no more; close after the last piece."""
        transport = self._transport
        while transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size():
                return  # until resume_writing
            if not self._unwritten:
                transport.close()
                return
            transport.write(self._next_piece())

    def _drop_slow_reader(self) -> None:
        self._handler.response_timed_out()
        self.abort()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Timers

    def start_wait(self, wait_s: float, on_timeout: Callable[[CallerConnection], None]) -> None:
        """Call `on_timeout` after `wait_s`, unless there is a response before."""
        self._wait = asyncio.get_running_loop().call_later(wait_s, on_timeout, self)

    def cancel_wait(self) -> None:
        """Cancel what `start_wait` planned."""
        if self._wait is not None:
            self._wait.cancel()
            self._wait = None

    def _set_deadline(self, timeout_s: float, on_timeout: Callable[[], None]) -> None:
        self._deadline = asyncio.get_running_loop().call_later(timeout_s, on_timeout)

    def _cancel_timers(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        self.cancel_wait()
