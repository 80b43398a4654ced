"""One caller's connection: a bounded request and a response in chunks; slow readers are dropped."""

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

REQUEST_TIMEOUT_S = 2.0  # time limit for a request to be complete
RESPONSE_TIMEOUT_S = 5.0  # time limit for a caller to read its response
_MAX_HEAD_BYTES = 8 * 1024
_SEND_BUFFER_BYTES = 256 * 1024  # size of the kernel's send buffer for one caller
_CHUNK_BYTES = 64 * 1024  # written at a time, so that a slow caller's response is not buffered as a whole
_MAX_ERROR_CHARACTERS = 100


class ConnectionHandler(Protocol):
    """Callbacks of a caller's connection, which the relay implements."""

    def connection_opened(self, connection: CallerConnection) -> bool:
        """Register a new connection; return False if there are too many, and it is closed."""

    def request_received(self, connection: CallerConnection, request: RelayRequest) -> None:
        """Respond to a request, now or later."""

    def request_rejected(self, connection: CallerConnection, error: RelayRequestError) -> None:
        """Count a request that was malformed or late; the connection responds to it."""

    def response_timed_out(self) -> None:
        """Count a caller that did not read its response in time."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended, whichever side ended it."""


class CallerConnection(asyncio.Protocol):
    """A connection that carries one request and its response."""

    def __init__(self, handler: ConnectionHandler) -> None:
        self._handler = handler
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._is_request_over = False  # whether a request was received or rejected
        self._unwritten = memoryview(b"")  # rest of the response's body
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._wait_timer: asyncio.TimerHandle | None = None

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the handler, limit the buffers and start the timeout of the request."""
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
        """Release the timers and the buffer, and notify the handler."""
        self._cancel_timers()
        self._transport = None
        self._unwritten = memoryview(b"")
        self._handler.connection_closed(self)

    def eof_received(self) -> bool:
        """Close the connection: a caller that closes its side does not read the response."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse the request; discard any data after it."""
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
        """Continue in the next event loop iteration: the transport must not be closed within this call."""
        if self._is_request_over:
            asyncio.get_running_loop().call_soon(self._write_pending)

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
        """Write the response and close the connection; do nothing if it is closed already."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._cancel_timers()
        self._set_deadline(RESPONSE_TIMEOUT_S, self._drop_slow_reader)
        head = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
        head += [f"{name}: {value}" for name, value in headers]
        head += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self._unwritten = memoryview(body)
        transport.write("\r\n".join(head).encode() + self._next_chunk())
        self._write_pending()

    def _next_chunk(self) -> bytes:
        chunk, self._unwritten = self._unwritten[:_CHUNK_BYTES], self._unwritten[_CHUNK_BYTES:]
        return bytes(chunk)

    def _write_pending(self) -> None:
        """Write until the kernel accepts no more; close after the last chunk."""
        transport = self._transport
        while transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size():
                return  # resume_writing continues
            if not self._unwritten:
                transport.close()
                return
            transport.write(self._next_chunk())

    def _drop_slow_reader(self) -> None:
        self._handler.response_timed_out()
        self.abort()

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    # Timers

    def start_wait(self, wait_s: float, on_timeout: Callable[[CallerConnection], None]) -> None:
        """Call `on_timeout` after `wait_s`, unless a response or `cancel_wait` comes first."""
        self._wait_timer = asyncio.get_running_loop().call_later(wait_s, on_timeout, self)

    def cancel_wait(self) -> None:
        """Cancel the timer of `start_wait`."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def _set_deadline(self, timeout_s: float, on_timeout: Callable[[], None]) -> None:
        self._deadline_timer = asyncio.get_running_loop().call_later(timeout_s, on_timeout)

    def _cancel_timers(self) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        self.cancel_wait()
