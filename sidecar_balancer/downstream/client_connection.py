"""Connections of clients, each of which carries one request at a time.

A request ends once, with its response or when its client disconnects, and a streamed body ends with its last
byte or with its request.  A connection closes so that the client can tell a complete response from a broken
one.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol

import h11

from sidecar_balancer.downstream import request_deadline
from sidecar_balancer.downstream.connection_table import EvictionClass
from sidecar_balancer.downstream.request import (
    ClientRequest,
    check_framing,
    parse_request,
)
from sidecar_balancer.downstream.response_connection import ConnectionContext
from sidecar_balancer.downstream.upload_connection import UploadConnection
from sidecar_balancer.runtime.errors import RequestError
from sidecar_balancer.runtime.headers import content_length
from sidecar_balancer.runtime.sockets import has_no_unread_input
from sidecar_balancer.runtime.streams import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_REQUEST_BODY_BYTES,
)

log = logging.getLogger(__name__)

_READINESS_PATH = b"/health/ready"
_UNREAD_INPUT_GRACE_S = 0.05  # enough time to read input that waited while the event loop was late


class ConnectionOwner(ConnectionContext, Protocol):
    """Owner that keeps track of client connections and provides their shared context."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Record that the connection is being served."""

    def input_received(self, connection: ClientConnection) -> None:
        """Record that the connection has received a part of a request."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Record that the connection now waits for its next request."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop tracking the connection."""


class ClientConnection(UploadConnection):
    """A client connection, which carries one request at a time."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, established_after: float) -> None:
        """Serve an accepted socket that was connected after this time on the event loop's clock."""
        super().__init__(owner, sock, established_after)
        self._owner: ConnectionOwner = owner
        self._port = 0
        self._discarded_bytes = 0

    # -- The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._port = int((transport.get_extra_info("peername") or ("", 0))[1])
        transport.set_write_buffer_limits(high=0)
        self._owner.connection_opened(self)
        self._start_request_timer()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release everything that the connection holds."""
        self._owner.connection_closed(self)
        self._stop_timer()
        if self._client_check_timer is not None:
            self._client_check_timer.cancel()
        self._record_unsent(0)
        self._release_body()
        self._client_disconnected()

    def eof_received(self) -> bool:
        """Let the transport close: a client that ends its sending side counts as disconnected."""
        return False

    def is_idle(self) -> bool:
        """Return whether it may be closed: no request is in flight, partly received or still unread."""
        is_busy = self._request is not None or self._write_blocked or self._is_partly_received()
        return not is_busy and not self.has_unread_input()

    # -- Eviction

    @property
    def request_awaited_since(self) -> float:
        """The time since which its request is awaited, on the event loop's clock."""
        return self._deadline.awaited_since

    def eviction_class(self, now: float) -> EvictionClass:
        """Return the state that decides whether it is closed at `now` for a new one."""
        if self._transport is None or self._transport.is_closing() or self._write_blocked:
            return EvictionClass.BUSY
        if self._linger_deadline is None and (self._has_complete_request() or self._reading_paused):
            return EvictionClass.BUSY
        if self._is_partly_received() and not self._deadline.is_stalled(now, self._head is not None):
            return EvictionClass.RECEIVING
        return EvictionClass.IDLE

    def _is_partly_received(self) -> bool:
        return self._head is not None or bool(self._h11.trailing_data[0])

    def _has_complete_request(self) -> bool:
        """Return whether a response is due or has begun, or the input after the last one is unparsed."""
        if self._source is not None or self._h11.our_state is h11.DONE:
            return True
        return self._request is not None and self._upload is None

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds input that was not read yet."""
        return not has_no_unread_input(self._sock)

    def evict(self) -> None:
        """Close it at once; a request that has partly arrived is rejected, so that it may be retried."""
        is_partly_received = self._is_partly_received()
        log.info(
            "connection from port %d evicted, %s",
            self._port,
            "with a part of a request" if is_partly_received else "without a request",
            extra={"event": "connection_evicted"},
        )
        if is_partly_received and self._linger_deadline is None:
            self._respond_with_error(RequestError(503, "too many connections"))
        self._end_linger()  # a client that still sends may miss the response, but the descriptor is free

    # -- Time limits for receiving a request

    def _start_request_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._deadline.awaited_since = loop.time()
            self._timer = loop.call_later(
                request_deadline.REQUEST_TIMEOUT_S, self._check_request_deadline, True
            )

    def _check_request_deadline(self, allow_unread_input: bool) -> None:
        """Reject a request that arrives too slowly, unless its server or this process is the slow one."""
        loop = asyncio.get_running_loop()
        if self._reading_paused:
            self._deadline.restart_body(loop.time())
        if (due_at := self._deadline.due_at(self._head is not None)) > loop.time():
            self._timer = loop.call_at(due_at, self._check_request_deadline, True)
            return
        if allow_unread_input and not has_no_unread_input(self._sock):
            self._timer = loop.call_later(_UNREAD_INPUT_GRACE_S, self._check_request_deadline, False)
            return
        self._timer = None
        if self._is_partly_received():
            self._reject(RequestError(408, "the request did not come in time"))
        else:
            self.close()

    # -- Reading a request

    def data_received(self, data: bytes) -> None:
        """Parse input, or discard it where no further request is read."""
        if self._linger_deadline is not None:
            self._extend_linger()
            return
        if self._discards_input:
            self._discard_input(data)
            return
        self._owner.input_received(self)
        self._deadline.last_input_at = now = asyncio.get_running_loop().time()
        is_drained = not self._read_was_full or has_no_unread_input(self._sock)
        self._arrival.input_received(now, len(data), is_drained)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(RequestError(400, str(error)))
            return
        if self._upload is not None or (self._request is None and not self._write_blocked):
            self._parse()
        elif len(self._h11.trailing_data[0]) > MAX_BUFFERED_BODY_BYTES:
            self._discards_input = True

    def _discard_input(self, data: bytes) -> None:
        """Discard input that was sent too far ahead, up to a limit."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_REQUEST_BODY_BYTES:
            self.abort()

    def _parse(self) -> None:
        """Parse up to the end of one request."""
        if self._parse_scheduled:
            return
        try:
            self._handle_events()
            if self._request is None and (self._head is not None or self._h11.trailing_data[0]):
                self._start_request_timer()
        except RequestError as error:
            self._reject(error)
        except h11.RemoteProtocolError as error:
            self._reject(RequestError(400, str(error)))
        except Exception:  # a defect must fail only its own request
            log.exception("handling a request failed", extra={"event": "request_handling_failed"})
            if self._transport is not None:
                self._reject(RequestError(500, "internal error"))

    def _continue_parsing(self) -> None:
        self._parse_scheduled = False
        self._update_reading()
        if self._transport is None or self._transport.is_closing() or self._linger_deadline is not None:
            return
        if self._upload is not None or (self._request is None and not self._write_blocked):
            self._parse()

    def _handle_next_event(self) -> bool:
        if self._linger_deadline is not None or self._transport is None or self._transport.is_closing():
            return False
        event = self._h11.next_event()
        if isinstance(event, h11.Request):
            self._head = event
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            self._receive_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._complete_request()
            return False
        return isinstance(event, h11.Request | h11.Data)

    def _begin_request(self, head: h11.Request) -> None:
        check_framing(head)
        self._deadline.restart_body(asyncio.get_running_loop().time())
        length = content_length(head.headers) or 0
        if length > MAX_REQUEST_BODY_BYTES:
            raise RequestError(413, "the body is too large")
        if length > MAX_BUFFERED_BODY_BYTES:
            self._begin_upload(head, length)
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(continue_response) or b"")

    def _receive_body(self, data: bytes | bytearray) -> None:
        self._deadline.body_received(asyncio.get_running_loop().time(), len(data))
        if self._upload is not None:
            self._receive_upload(self._upload, data)
            return
        self._buffer_body(data)
        if not self.body_memory.may_buffer(len(self._body)) and self._head is not None:
            self._begin_upload(self._head, content_length(self._head.headers))

    def _parse_request(self, head: h11.Request, body: bytes) -> ClientRequest:
        return parse_request(head, body, self._owner.settings, self, self._port)

    def _complete_request(self) -> None:
        head = self._head
        assert head is not None
        self._stop_timer()
        self.has_served = True
        if self._upload is not None:
            self._complete_upload()
        elif head.target.partition(b"?")[0] == _READINESS_PATH:
            self.respond(503 if self._owner.draining else 200, [], b"")
        else:
            self._request = client_request = self._parse_request(head, bytes(self._body))
            client_request.remaining_us = self._arrival.subtract_delay(client_request.remaining_us)
            self._owner.handler.request_received(client_request)

    def _reject(self, error: RequestError) -> None:
        extra = {"event": "request_invalid", "status": error.status}
        log.info("request from port %d rejected: %.120s", self._port, error, extra=extra)
        self._respond_with_error(error)

    def _respond_with_error(self, error: RequestError) -> None:
        self._client_disconnected()  # a body that was being streamed stays incomplete
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            self.respond(error.status, [(b"Content-Type", b"text/plain")], f"{error}\n".encode())
        elif self._request is None:
            self.close()

    def _next_request(self) -> None:
        """Continue with the input after the answered request."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._request is not None or self._write_blocked:
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._update_reading()
            if trailing_input := self._h11.trailing_data[0]:
                self._owner.input_received(self)
                log.info(
                    "port %d sent %d bytes after its request: %.60r",
                    self._port,
                    len(trailing_input),
                    trailing_input,
                    extra={"event": "input_behind_request"},
                )
                self._parse()
            else:
                self._owner.connection_idle(self)
