"""Responses on a client connection, complete or streamed, and the ways in which it closes."""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
from typing import Protocol

import h11

from sidecar_balancer.downstream.client_transport import ClientTransport
from sidecar_balancer.downstream.request import ClientRequest, RequestHandler
from sidecar_balancer.downstream.request_phase import RequestPhase, request_phase
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.runtime.head_buffer import MAX_CHUNKS_PIECE_BYTES
from sidecar_balancer.runtime.headers import Headers
from sidecar_balancer.runtime.memory_budget import MemoryBudget
from sidecar_balancer.runtime.queueing import PollTimes
from sidecar_balancer.runtime.streams import ResponseSink, ResponseSource, Upload
from sidecar_balancer.runtime.turns import running_turn_queue

log = logging.getLogger(__name__)

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # the value of SO_LINGER that makes a close a reset
_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
}


class ConnectionContext(Protocol):
    """The context that all client connections share.

    Attributes:
        memory_budget: The budget that connections charge what they hold to.
        draining: Whether each response is the last one of its connection.
        handler: The handler of the requests.
        poll_times: The times at which the event loop polled its sockets.
        settings: The service classes and tenants.
    """

    memory_budget: MemoryBudget
    draining: bool
    handler: RequestHandler
    poll_times: PollTimes
    settings: Settings


class ResponseConnection(ClientTransport):
    """The response side of a client connection; subclasses read the requests."""

    def __init__(self, sock: socket.socket, owner: ConnectionContext) -> None:
        """Serve an accepted socket."""
        super().__init__(sock, owner.memory_budget)
        self._owner = owner
        self._h11 = h11.Connection(h11.SERVER, MAX_CHUNKS_PIECE_BYTES)
        self._head: h11.Request | None = None  # set from the head of a request to the end of its response
        self._request: ClientRequest | None = None  # the request that waits for a response
        self._upload: Upload | None = None  # set while a streamed body is being received
        self._source: ResponseSource | None = None  # set while a response is streamed
        self._write_blocked = False  # not all written data has gone to the kernel yet
        self._parser_has_rest = False  # the parser holds input behind the request

    def _phase(self) -> RequestPhase:
        """Return the phase of the current request."""
        if self._transport is None or self._transport.is_closing() or self._linger_deadline is not None:
            return RequestPhase.LAST
        return request_phase(self._h11)

    def is_idle(self) -> bool:
        """Return whether it may be closed: no request is in flight, partly received or still unread."""
        raise NotImplementedError

    def _next_request(self) -> None:
        """Continue with the input after the answered request."""
        raise NotImplementedError

    def _end_upload(self) -> None:
        """End the streamed body, complete or not."""
        raise NotImplementedError

    # -- Complete and streamed responses

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response at once; the connection is kept if its framing allows."""
        self._request = None
        if self._transport is None or self._transport.is_closing():
            return
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        try:
            events: list[h11.Event] = [self._response_head(status, headers), h11.EndOfMessage()]
            if body:
                events.insert(1, h11.Data(data=body))
            data = b"".join(self._h11.send(event) or b"" for event in events)
        except h11.LocalProtocolError:  # a defect; the client must not wait forever
            log.exception("writing a response failed", extra={"event": "response_write_failed"})
            self.abort()
            return
        self._transport.write(data)
        self._response_written()

    def _response_head(self, status: int, headers: Headers) -> h11.Response:
        # A request that was read behind this one is answered as well.
        is_last = self._owner.draining and not self._input.has_head()
        if is_last or not self._request_was_read():
            headers.append((b"Connection", b"close"))
        return h11.Response(status_code=status, headers=headers, reason=_REASON_PHRASES.get(status, b""))

    def _request_was_read(self) -> bool:
        """Return whether the request was read to its end, even if the connection is about to close."""
        return self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _response_written(self) -> None:
        """Continue with the next request, or close the connection."""
        self._head = None
        self._head_bytes = 0
        self._release_body()
        self._end_upload()
        self._update_charge()
        if not self._request_was_read():
            self._linger()
        elif self._h11.our_state is not h11.DONE:
            if self._write_blocked:
                self.close()  # writes the remaining data first
            else:
                self.close_gracefully()
        elif not self._write_blocked:
            running_turn_queue().call_soon(self._next_request)

    def begin_streaming(
        self, headers: Headers, length: int | None, source: ResponseSource
    ) -> ResponseSink | None:
        """Begin a streamed response with status 200; return None if the client has disconnected."""
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
            if self._write_blocked:  # data that was sent before the source paused is no lack of progress
                self._unread_bytes = self._unread_output()
            self._update_charge()

    def end_response(self) -> None:
        """End a streamed response that is complete."""
        self._request = self._source = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")
            self._response_written()

    def abort_response(self) -> None:
        """Close before the end of the streamed response, in a way that the client can tell."""
        if self._transport is not None and not self._transport.is_closing():
            if self._is_http_1_0():
                self.abort()
            else:
                self.close()
        self._request = self._source = None

    # -- Flow control

    def pause_writing(self) -> None:
        """Pause the source of the response and watch whether the client reads."""
        self._write_blocked = True
        if self._transport is not None:
            self._unread_bytes = self._unread_output()
            if self._source is not None:
                self._source.pause()
            if self._upload is None:
                self._start_write_timer()

    def resume_writing(self) -> None:
        """Continue after all written data has gone to the kernel."""
        self._write_blocked = False
        self._unread_bytes = 0
        self._update_charge()
        if self._upload is None:
            self._stop_timer()
        if self._source is not None:
            self._source.resume()
        else:
            self._next_request()

    # -- Closing the connection

    def abort(self) -> None:
        """Close at once, discarding unwritten data.

        The connection is reset where the client would take its end for the end of the response.
        """
        if self._transport is not None and self._source is not None and self._is_http_1_0():
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        super().abort()

    def close_gracefully(self) -> None:
        """Close once written data has arrived; a streamed response visibly breaks off."""
        if self._source is not None:
            self.abort_response()
        elif self._linger_deadline is None and not self.is_idle():
            self._linger()
        elif self._linger_deadline is None:
            self.close()

    def _is_http_1_0(self) -> bool:
        return self._h11.their_http_version == b"1.0"
