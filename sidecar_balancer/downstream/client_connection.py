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
from sidecar_balancer.downstream.request_phase import RequestPhase, request_phase
from sidecar_balancer.downstream.response_connection import ConnectionContext
from sidecar_balancer.downstream.upload_connection import UploadConnection
from sidecar_balancer.runtime.errors import RequestError
from sidecar_balancer.runtime.head_buffer import MAX_CHUNKS_PIECE_BYTES, MAX_HEAD_BYTES, HeadTooLargeError
from sidecar_balancer.runtime.headers import content_length, is_chunked
from sidecar_balancer.runtime.memory_budget import MAX_BUFFERED_BODY_BYTES, head_bytes
from sidecar_balancer.runtime.queueing import running_client_events
from sidecar_balancer.runtime.sockets import has_no_unread_input, peek
from sidecar_balancer.runtime.streams import MAX_REQUEST_BODY_BYTES

log = logging.getLogger(__name__)

_READINESS_PATH = b"/health/ready"
_UNREAD_INPUT_GRACE_S = 0.05  # interval between checks whether input that waits has been read


class ConnectionOwner(ConnectionContext, Protocol):
    """Owner that keeps track of client connections and provides their shared context."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Record that the connection is being served."""

    def input_received(self, connection: ClientConnection) -> None:
        """Record that the connection has received a part of a request."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Record that the connection now waits for its next request."""

    def connection_lingering(self, connection: ClientConnection) -> None:
        """Record that the connection has been answered and only discards further input."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop tracking the connection."""


class ClientConnection(UploadConnection):
    """A client connection, which carries one request at a time."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, established_after: float) -> None:
        """Serve an accepted socket that was connected after this time on the event loop's clock."""
        super().__init__(owner, sock, established_after)
        self._owner: ConnectionOwner = owner
        self._port = 0
        self._file_descriptor = sock.fileno()
        self._client_events = running_client_events()

    # -- The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._port = int((transport.get_extra_info("peername") or ("", 0))[1])
        transport.set_write_buffer_limits(high=0)
        self._update_charge()
        self._client_events.file_descriptors.add(self._file_descriptor)
        self._owner.connection_opened(self)
        self._start_request_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everything that the connection holds."""
        self._log_unanswered_input(exc)
        self._client_events.file_descriptors.discard(self._file_descriptor)
        self._owner.connection_closed(self)
        self._stop_timer()
        if self._client_check_timer is not None:
            self._client_check_timer.cancel()
        self._release_body()
        self._client_disconnected()
        self._input.clear()
        self._update_charge()

    def _log_unanswered_input(self, exc: Exception | None) -> None:
        """Log a connection that ends with input that no response covers; its request shows in other lines."""
        if self._linger_deadline is None and self._request is None and self._is_partly_received():
            log.info(
                "connection from port %d ended while its request was %s, with %d bytes unparsed: %s",
                self._port,
                request_phase(self._h11).value,
                len(self._input),
                exc or "closed",
                extra={"event": "connection_ended_within_request"},
            )

    def eof_received(self) -> bool:
        """Let the transport close: a client that ends its sending side counts as disconnected."""
        return False

    def is_idle(self) -> bool:
        """Return whether it may be closed: no request is in flight, partly received or still unread."""
        is_in_progress = self._phase() in (RequestPhase.RECEIVING, RequestPhase.RESPONDING)
        is_busy = is_in_progress or self._write_blocked or self._is_partly_received()
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
        if self._has_complete_request() or (self._linger_deadline is None and self._reading_paused):
            return EvictionClass.BUSY
        if self._is_partly_received() and not self._deadline.is_stalled(now, self._head is not None):
            return EvictionClass.RECEIVING
        return EvictionClass.IDLE

    def _is_partly_received(self) -> bool:
        return self._head is not None or bool(self._input)

    def _has_complete_request(self) -> bool:
        """Return whether a response is due or has begun, or the input after the last one is unparsed."""
        is_complete = self._phase() in (RequestPhase.RESPONDING, RequestPhase.ANSWERED)
        return is_complete or self._source is not None

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds input that may complete a request; part of a head does not."""
        if self._linger_deadline is not None:
            return False
        if self._head is None and self._input:
            return self._input.may_have_head_with(peek(self._sock, MAX_HEAD_BYTES))
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
        self.end_linger()  # a client that still sends may miss the response, but the descriptor is free

    def _linger_started(self) -> None:
        self._owner.connection_lingering(self)

    # -- Time limits for receiving a request

    def _start_request_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._deadline.awaited_since = loop.time()
            self._timer = loop.call_later(request_deadline.REQUEST_TIMEOUT_S, self._check_request_deadline)

    def _check_request_deadline(self, overdue_since: float | None = None) -> None:
        """Reject a request that arrives too slowly, unless its server or this process is the slow one.

        Args:
            overdue_since: The time of the first check that found unread input; None if there was none.
        """
        loop = asyncio.get_running_loop()
        if self._reading_paused:
            self._deadline.restart_body(loop.time())
        if (due_at := self._deadline.due_at(self._head is not None)) > loop.time():
            self._timer = loop.call_at(due_at, self._check_request_deadline)
            return
        overdue_since = overdue_since or loop.time()
        if self._deadline.last_input_at < overdue_since and not has_no_unread_input(self._sock):
            self._timer = loop.call_later(_UNREAD_INPUT_GRACE_S, self._check_request_deadline, overdue_since)
            return
        self._timer = None
        if self._is_partly_received():
            self._reject(RequestError(408, "the request did not come in time"))
        else:
            self.close()

    # -- Reading a request

    def data_received(self, data: bytes) -> None:
        """Parse input, or keep it until the request in flight is answered."""
        if self._linger_deadline is not None:
            self._extend_linger()
            return
        self._owner.input_received(self)
        self._deadline.last_input_at = now = asyncio.get_running_loop().time()
        is_drained = not self._read_was_full or has_no_unread_input(self._sock)
        self._arrival.input_received(now, len(data), is_drained)
        self._input.append(data)
        self._parse()
        self._update_reading()

    def _may_parse(self) -> bool:
        """Return whether the input belongs to the request that is awaited or being received."""
        if self._parse_scheduled or self._phase() not in (RequestPhase.AWAITED, RequestPhase.RECEIVING):
            return False
        return self._upload is not None or not self._write_blocked

    def _parse(self) -> None:
        """Parse up to the end of one request, if the parser may be given input now."""
        if not self._may_parse():
            return
        try:
            self._handle_events()
            if self._request is None and self._is_partly_received():
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
        self._parse()

    def _handle_next_event(self) -> bool:
        if self._phase() is RequestPhase.LAST:
            return False
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            return self._feed_parser()
        if isinstance(event, h11.Request):
            self._head = event
            self._head_bytes = head_bytes(event)
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            self._receive_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._complete_request()
            return False
        return isinstance(event, h11.Request | h11.Data)

    def _feed_parser(self) -> bool:
        """Pass the next part of the input to the parser; return whether there was any."""
        if self._head is not None:
            data = self._input.pop_piece(is_chunked(self._head.headers))
        else:
            try:
                data = self._input.pop_head()
            except HeadTooLargeError as error:
                raise RequestError(400, str(error)) from None
        if data:
            self._h11.receive_data(data)
        return bool(data)

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
        self._body += data
        self._update_charge()
        if not self.memory_budget.may_buffer(len(self._body)) and self._head is not None:
            self._begin_upload(self._head, content_length(self._head.headers))

    def _parse_request(self, head: h11.Request, body: bytes) -> ClientRequest:
        return parse_request(head, body, self._owner.settings, self, self._port)

    def _complete_request(self) -> None:
        head = self._head
        assert head is not None
        self._stop_timer()
        self.has_served = True
        self._take_back_rest()
        if self._upload is not None:
            self._complete_upload()
        elif head.target.partition(b"?")[0] == _READINESS_PATH:
            self.respond(503 if self._owner.draining else 200, [], b"")
        else:
            client_request = self._parse_request(head, bytes(self._body))
            self._release_body()
            self._check_admission()
            self._request = client_request
            client_request.remaining_us = self._arrival.subtract_delay(client_request.remaining_us)
            self._owner.handler.request_received(client_request)

    def _take_back_rest(self) -> None:
        """Take what follows the request out of the parser, so that its size is known."""
        rest, _ = self._h11.trailing_data
        if rest:
            self._input.prepend(rest)
            self._parser_has_rest = True

    def _check_admission(self) -> None:
        """Check that a request may be taken on; raises RequestError."""
        if self.memory_budget.is_exhausted():
            raise RequestError(503, "the memory for requests is used up")
        if self._client_may_have_left():
            raise RequestError(503, "more is sent ahead than can be read")

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
        if self._phase() is not RequestPhase.ANSWERED or self._write_blocked:
            return
        self._renew_parser()
        self._update_reading()
        if self._input:
            self._owner.input_received(self)
            extra = {"event": "input_behind_request"}
            log.info("port %d sent %d bytes after its request", self._port, len(self._input), extra=extra)
            self._parse()
            self._update_reading()
        else:
            self._owner.connection_idle(self)

    def _renew_parser(self) -> None:
        """Let the parser expect the next request."""
        if self._parser_has_rest:
            self._parser_has_rest = False
            self._h11 = h11.Connection(h11.SERVER, MAX_CHUNKS_PIECE_BYTES)
        else:
            self._h11.start_next_cycle()
