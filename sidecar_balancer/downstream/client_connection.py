"""One connection of the application: its requests, one at a time, and their responses.

Each thing ends once: a request by its response or by its client's leaving, a streamed body by its last byte
or with its request, and the connection so that the client can tell a complete response from a broken one.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
from typing import Protocol

import h11

from sidecar_balancer.downstream import request_deadline
from sidecar_balancer.downstream.arrival import ArrivalEstimate
from sidecar_balancer.downstream.client_transport import ClientTransport
from sidecar_balancer.downstream.request import (
    ClientRequest,
    RequestHandler,
    check_framing,
    parse_request,
)
from sidecar_balancer.downstream.request_deadline import RequestDeadline
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.runtime.errors import RequestError
from sidecar_balancer.runtime.headers import Headers, content_length
from sidecar_balancer.runtime.queueing import PollTimes
from sidecar_balancer.runtime.sockets import has_no_unread_input, peer_has_closed
from sidecar_balancer.runtime.streams import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_REQUEST_BODY_BYTES,
    BodyMemory,
    ResponseSink,
    ResponseSource,
    Upload,
)

log = logging.getLogger(__name__)

_READINESS_PATH = b"/health/ready"
_CLIENT_CHECK_INTERVAL_S = 0.1  # how often a client that is not read is checked for having left
_UNREAD_INPUT_GRACE_S = 0.05  # enough to read what waited while the event loop was late
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER
_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
}


class ConnectionOwner(Protocol):
    """What a client connection shares with all others, and who keeps track of it.

    Attributes:
        body_memory: The memory that bodies count in.
        draining: Whether each response is the last one of its connection.
        handler: Who handles the requests.
        poll_times: When the event loop looked at its sockets.
        settings: The service classes and tenants.
    """

    body_memory: BodyMemory
    draining: bool
    handler: RequestHandler
    poll_times: PollTimes
    settings: Settings

    def connection_opened(self, connection: ClientConnection) -> None:
        """Note that the connection is being served."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that the connection has begun to wait for its next request."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget the connection."""


class ClientConnection(ClientTransport):
    """One connection of the application, which carries one request at a time.

    Attributes:
        has_served: Whether it has carried a request.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, established_after: float) -> None:
        """Serve an accepted socket, which was connected after that time on the event loop's clock."""
        super().__init__(sock, owner.body_memory)
        self.has_served = False
        self._owner = owner
        self._port = 0
        self._h11 = h11.Connection(h11.SERVER)
        self._deadline = RequestDeadline()
        self._arrival = ArrivalEstimate(sock, owner.poll_times, established_after)
        self._head: h11.Request | None = None  # set from a request's head to its response's end
        self._request: ClientRequest | None = None  # the request that is owed a response
        self._upload: Upload | None = None  # set while a streamed body is being received
        self._upload_bytes = 0  # of that body, from its beginning
        self._source: ResponseSource | None = None  # set while a response is streamed
        self._write_blocked = False  # not all that was written has gone to the kernel
        self._reading_paused = False
        self._client_check_timer: asyncio.TimerHandle | None = None
        self._discards_input = False  # the client sent too far ahead: only its leaving is of interest
        self._discarded_bytes = 0

    # -- The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and await a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._port = int((transport.get_extra_info("peername") or ("", 0))[1])
        transport.set_write_buffer_limits(high=0)
        self._owner.connection_opened(self)
        self._start_request_timer()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release all that the connection has."""
        self._owner.connection_closed(self)
        self._stop_timer()
        if self._client_check_timer is not None:
            self._client_check_timer.cancel()
        self._record_unsent(0)
        self._release_body()
        self._client_disconnected()

    def eof_received(self) -> bool:
        """Close: a client that ends its side has left."""
        return False

    def is_idle(self) -> bool:
        """Return whether it may be closed: no request is in flight, begun or waiting unread."""
        is_busy = (
            self._request is not None
            or self._head is not None
            or self._write_blocked
            or self._h11.trailing_data[0]
        )
        return not is_busy and has_no_unread_input(self._sock)

    def abort(self) -> None:
        """Close at once; what is not written yet never will be.

        Where the client would take the connection's end for its response's, it is a reset.
        """
        if self._transport is not None and self._source is not None and self._is_http_1_0():
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        super().abort()

    def close_gracefully(self) -> None:
        """Close once what is written has arrived; a streamed response is visibly broken off."""
        if self._source is not None:
            self.abort_response()
        elif self._linger_deadline is None and not self.is_idle():
            self._linger()
        elif self._linger_deadline is None:
            self.close()

    def _is_http_1_0(self) -> bool:
        return self._h11.their_http_version == b"1.0"

    # -- Clients that leave

    def check_connected(self) -> None:
        """Report a client that has left, though nothing that it sent last was read yet."""
        if self._request is not None and peer_has_closed(self._sock):
            self._client_disconnected()
            self.close()

    def _client_disconnected(self) -> None:
        client_request, self._request = self._request, None
        if client_request is not None:
            self._owner.handler.client_disconnected(client_request)
        self._end_upload()

    def _schedule_client_check(self) -> None:
        """Check the client soon: while nothing is read, no event reports that it leaves."""
        if self._client_check_timer is None:
            loop = asyncio.get_running_loop()
            self._client_check_timer = loop.call_later(_CLIENT_CHECK_INTERVAL_S, self._run_client_check)

    def _run_client_check(self) -> None:
        self._client_check_timer = None
        if self._transport is not None and not self._transport.is_closing():
            self.check_connected()
            if self._request is not None and not self._transport.is_reading():
                self._schedule_client_check()

    # -- The time limit of a request

    def _start_request_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._deadline.awaited_since = loop.time()
            self._timer = loop.call_later(
                request_deadline.REQUEST_TIMEOUT_S, self._check_request_deadline, True
            )

    def _check_request_deadline(self, allow_unread_input: bool) -> None:
        """Give up a request that comes too slowly, unless its server or this process is the slow one."""
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
        if self._head is not None or self._h11.trailing_data[0]:
            self._reject(RequestError(408, "the request did not come in time"))
        else:
            self.close()

    # -- Reading a request

    def data_received(self, data: bytes) -> None:
        """Parse input, or discard it where nothing more is expected."""
        if self._linger_deadline is not None:
            self._extend_linger()
            return
        if self._discards_input:
            self._discard_input(data)
            return
        self._deadline.last_input_at = now = asyncio.get_running_loop().time()
        self._arrival.input_received(now)
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
        """Discard what was sent too far ahead, within a bound."""
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
        except Exception:  # a defect fails its request and no other
            log.exception("a request could not be handled", extra={"event": "request_handling_failed"})
            if self._transport is not None:
                self._reject(RequestError(500, "internal error"))

    def _continue_parsing(self) -> None:
        self._parse_scheduled = False
        self._update_reading()
        if self._transport is None or self._transport.is_closing() or self._linger_deadline is not None:
            return
        if self._upload is not None or (self._request is None and not self._write_blocked):
            self._parse()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        was_paused = self._reading_paused
        upload_is_full = self._upload is not None and self._upload.is_full()
        self._reading_paused = self._parse_scheduled or upload_is_full
        if self._reading_paused:
            if not was_paused:
                self._arrival.reading_paused(asyncio.get_running_loop().time())
            self._transport.pause_reading()
            self._schedule_client_check()
        else:
            self._transport.resume_reading()
            if was_paused:
                self._deadline.restart_body(asyncio.get_running_loop().time())

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
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(go_on) or b"")

    def _receive_body(self, data: bytes | bytearray) -> None:
        self._deadline.body_bytes += len(data)
        if self._upload is not None:
            self._receive_upload(self._upload, data)
            return
        self._buffer_body(data)
        if not self.body_memory.may_buffer(len(self._body)) and self._head is not None:
            self._begin_upload(self._head, content_length(self._head.headers))

    def _receive_upload(self, upload: Upload, data: bytes | bytearray) -> None:
        self._upload_bytes += len(data)
        if self._upload_bytes > MAX_REQUEST_BODY_BYTES:
            raise RequestError(413, "the body is too large")
        if self._upload_bytes == upload.length:
            self.check_connected()  # the body's end may have come together with the client's leaving
        if self._upload is not None:
            self._upload.feed(data)
            self._update_reading()

    def _begin_upload(self, head: h11.Request, length: int | None) -> None:
        """Stream a long body, with its request handled before its end."""
        client_request = self._parse_request(head, b"")
        self._start_request_timer()
        self._upload = client_request.upload = Upload(length, self._update_reading)
        self._upload_bytes = len(self._body)
        self.body_memory.active_streams += 1
        self._upload.feed(self._body)
        self._release_body()
        self.has_served = True
        self._request = client_request
        self._owner.handler.request_received(client_request)
        self._update_reading()

    def _end_upload(self) -> None:
        if self._upload is not None:
            self._upload = None
            self.body_memory.active_streams -= 1
            self._stop_timer()
            self._update_reading()

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

    def _complete_upload(self) -> None:
        self.check_connected()  # the body's end may have come together with the client's leaving
        upload, client_request = self._upload, self._request
        if upload is None:
            return
        self._end_upload()
        upload.end()
        if client_request is not None:
            client_request.remaining_us = self._arrival.subtract_delay(client_request.remaining_us)
            self._owner.handler.body_completed(client_request)

    def _reject(self, error: RequestError) -> None:
        extra = {"event": "request_invalid", "status": error.status}
        log.info("request from port %d rejected: %.120s", self._port, error, extra=extra)
        self._client_disconnected()  # a body that was being streamed never ends
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            self.respond(error.status, [(b"Content-Type", b"text/plain")], f"{error}\n".encode())
        elif self._request is None:
            self.close()

    def _next_request(self) -> None:
        """Turn to what came behind the answered request."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._request is not None or self._write_blocked:
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._owner.connection_idle(self)
            self._update_reading()
            if ahead := self._h11.trailing_data[0]:
                log.info(
                    "port %d sent %d bytes behind its request: %.60r",
                    self._port,
                    len(ahead),
                    ahead,
                    extra={"event": "input_behind_request"},
                )
            self._parse()

    # -- Writing a response

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response at once; the connection goes on if its framing allows."""
        self._request = None
        if self._transport is None or self._transport.is_closing():
            return
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        try:
            events: list[h11.Event] = [self._response_head(status, headers), h11.EndOfMessage()]
            if body:
                events.insert(1, h11.Data(data=body))
            data = b"".join(self._h11.send(event) or b"" for event in events)
        except h11.LocalProtocolError:  # a defect; the client must not wait for ever
            log.exception("a response can't be written", extra={"event": "response_write_failed"})
            self.abort()
            return
        self._transport.write(data)
        self._response_written()

    def _response_head(self, status: int, headers: Headers) -> h11.Response:
        if self._owner.draining or not self._request_was_read():
            headers.append((b"Connection", b"close"))
        return h11.Response(status_code=status, headers=headers, reason=_REASON_PHRASES.get(status, b""))

    def _request_was_read(self) -> bool:
        """Return whether all was read to the request's end, even if the connection is about to end."""
        return not self._discards_input and self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _response_written(self) -> None:
        """Go on to the next request, or to the end of the connection."""
        self._head = None
        self._release_body()
        self._end_upload()
        if not self._request_was_read():
            self._linger()
        elif self._h11.our_state is not h11.DONE:
            if self._write_blocked:
                self.close()  # it writes what is left first
            else:
                self.close_gracefully()
        elif not self._write_blocked:
            asyncio.get_running_loop().call_soon(self._next_request)

    def begin_streaming(
        self, headers: Headers, length: int | None, source: ResponseSource
    ) -> ResponseSink | None:
        """Begin a streamed response with status 200; return None where the client has left."""
        if self._transport is None or self._transport.is_closing():
            return None
        if length is not None:
            headers = [*headers, (b"Content-Length", str(length).encode())]
        self._source = source
        self._transport.write(self._h11.send(self._response_head(200, list(headers))) or b"")
        return self

    def write_body(self, data: bytes) -> None:
        """Write a part of the streamed body."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._h11.send(h11.Data(data=data)) or b"")
            if self._write_blocked:  # what the server had sent before its pause: no lack of progress
                self._record_unsent(self._transport.get_write_buffer_size())

    def end_response(self) -> None:
        """End the complete streamed response."""
        self._request = self._source = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")
            self._response_written()

    def abort_response(self) -> None:
        """Close short of the streamed response's end, so that the client can tell."""
        if self._transport is not None and not self._transport.is_closing():
            if self._is_http_1_0():
                self.abort()
            else:
                self.close()
        self._request = self._source = None

    def pause_writing(self) -> None:
        """Pause the response's source, and watch whether the client reads."""
        self._write_blocked = True
        if self._transport is not None:
            self._record_unsent(self._transport.get_write_buffer_size())
            if self._source is not None:
                self._source.pause()
            if self._upload is None:
                self._start_write_timer()

    def resume_writing(self) -> None:
        """Go on, as all that was written has gone to the kernel."""
        self._write_blocked = False
        self._record_unsent(0)
        if self._upload is None:
            self._stop_timer()
        if self._source is not None:
            self._source.resume()
        elif self._request is None:
            self._next_request()
