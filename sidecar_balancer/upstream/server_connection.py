"""Connections to servers: each request ends once, and nothing is resent silently.

A connection knows whether a request's last byte was written.  Only then may the server have begun to execute
it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

import h11

from sidecar_balancer.runtime.head_buffer import HeadTooLargeError
from sidecar_balancer.runtime.headers import content_length, is_chunked
from sidecar_balancer.runtime.memory_budget import MemoryBudget, head_bytes
from sidecar_balancer.runtime.sockets import has_no_unread_input, unacknowledged_bytes
from sidecar_balancer.runtime.streams import RESPONSE_STALL_TIMEOUT_S, STALL_TIMEOUT_S, ResponseSink
from sidecar_balancer.upstream.request_connection import RequestConnection
from sidecar_balancer.upstream.response import Response, is_framed

log = logging.getLogger(__name__)

_MAX_RESPONSE_BUFFERING_S = 0.1  # a response of unknown length that takes longer is streamed


class ServerConnection(RequestConnection):
    """A connection to a server, which carries one request at a time.

    Attributes:
        sock: The connection's socket.
        reusable: Whether the connection may carry another request after the one in flight.
        idle_since: The time at which the last response ended, on the event loop's clock.
        on_closed: Called once when the connection is closed by either side.
    """

    def __init__(self, sock: socket.socket, max_body_bytes: int, memory_budget: MemoryBudget) -> None:
        """Wrap a connected socket; response bodies longer than `max_body_bytes` are streamed or fail."""
        super().__init__(memory_budget)
        self.sock = sock
        self.reusable = True
        self.idle_since = 0.0
        self.on_closed: Callable[[], None] | None = None
        self._max_body_bytes = max_body_bytes
        self._response_head: h11.Response | None = None
        self._announced_length: int | None = None  # length of the response's body; None: not announced
        self._sink: ResponseSink | None = None  # set while a response is streamed
        self._unforwarded = bytearray()  # streamed bytes that were parsed in this turn of the event loop
        self._sink_paused = False
        self._buffering_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None

    def is_idle(self) -> bool:
        """Return whether another request may be sent; not if a stray byte or the end of input is unread."""
        is_open = self._transport is not None and not self._transport.is_closing()
        return is_open and self.reusable and self._on_response is None and has_no_unread_input(self.sock)

    # -- Reading the response

    def data_received(self, data: bytes) -> None:
        """Parse input; stray bytes close the connection, as it is unknown which request they answer."""
        if self._on_response is None:
            self.abort()
            return
        self.response_began = True
        self._progress += len(data)
        self._input.append(data)
        self._parse()
        self._update_charge()

    def eof_received(self) -> bool:
        """End a response that is delimited by the end of the connection, and let the transport close."""
        if self._on_response is not None:
            self._receive_end()
        return False

    def _receive_end(self) -> None:
        try:
            if rest := self._input.pop_piece(is_chunked=True):  # of a head that has no end
                self._h11.receive_data(rest)
            self._h11.receive_data(b"")
        except h11.RemoteProtocolError as error:
            self._fail_parsing(error)
        else:
            self._parse()

    def _feed_parser(self) -> bool:
        """Pass the next part of the input to the parser; return whether there was any."""
        if self._response_head is None:
            data = self._input.pop_head()
        else:
            data = self._input.pop_piece(is_chunked(self._response_head.headers))
        if data:
            self._h11.receive_data(data)
        return bool(data)

    def _parse(self) -> None:
        if self._parse_scheduled:
            return
        try:
            self._handle_events()
            self._flush_to_sink()
        except (h11.RemoteProtocolError, HeadTooLargeError) as error:
            self._flush_to_sink()
            self._fail_parsing(error)

    def _continue_parsing(self) -> None:
        self._parse_scheduled = False
        if self._on_response is not None:
            self._parse()
            self._update_reading()

    def _fail_parsing(self, error: Exception) -> None:
        extra = {"event": "response_malformed"}
        log.info("truncated or malformed response: %.80s", error, extra=extra)
        self._finish(None)

    def _handle_next_event(self) -> bool:
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            return self._feed_parser()
        if isinstance(event, h11.Response):
            return self._handle_head(event)
        if isinstance(event, h11.Data):
            return self._handle_body(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish(self._buffered_response())
            return False
        return not isinstance(event, h11.ConnectionClosed)

    def _handle_head(self, head: h11.Response) -> bool:
        self._response_head = head
        self._head_bytes = head_bytes(head)
        if head.status_code == 200 and not self._written:
            extra = {"event": "response_before_request_end"}  # it can't be a response to this request
            log.info("response before the request was complete", extra=extra)
            self._finish(None)
            return False
        if not is_framed(head):
            log.info("response without framing", extra={"event": "response_without_framing"})
            self._finish(None)
            return False
        self._announced_length = length = content_length(head.headers)
        if length is not None and length > self._max_body_bytes:
            return self._begin_streaming(length)
        return True

    def _handle_body(self, data: bytes | bytearray) -> bool:
        if self._sink is not None:
            self._unforwarded += data
            return True
        if not self._body and self._start_streaming is not None and self._announced_length is None:
            loop = asyncio.get_running_loop()
            self._buffering_timer = loop.call_later(_MAX_RESPONSE_BUFFERING_S, self._stream_slow_response)
        self._body += data
        self._update_charge()
        if len(self._body) > self._max_body_bytes or (
            self._start_streaming is not None and not self.memory_budget.may_buffer(len(self._body))
        ):
            return self._begin_streaming(self._announced_length)
        return True

    def _buffered_response(self) -> Response | None:
        head = self._response_head
        return None if head is None else Response(head.status_code, list(head.headers), bytes(self._body))

    # -- Streaming the response

    def _stream_slow_response(self) -> None:
        """Stream a response of unknown length that arrives slowly, so that its beginning is not delayed."""
        if self._on_response is not None and self._sink is None and self._body:
            self._begin_streaming(None)
            self._flush_to_sink()

    def _begin_streaming(self, length: int | None) -> bool:
        """Stream a long response to its sink; return whether to continue parsing."""
        head = self._response_head
        if head is None or head.status_code != 200 or self._start_streaming is None:
            self._finish_too_long(head)
            return False
        self._sink = self._start_streaming(head, length, self)
        if self._sink is None:
            self._finish(None)
            return False
        self.memory_budget.active_streams += 1
        self._unforwarded += self._body
        self._stop_buffering()
        self._check_progress()
        return True

    def _finish_too_long(self, head: h11.Response | None) -> None:
        extra = {"event": "response_too_large"}
        log.info("response of more than %d bytes", self._max_body_bytes, extra=extra)
        if head is not None and head.status_code != 200 and self._start_streaming is not None:
            # Only the head of an error response is used.
            self._finish(Response(head.status_code, list(head.headers), b""))
        else:
            self._finish(None)

    def _stop_buffering(self) -> None:
        self._release_body()
        if self._buffering_timer is not None:
            self._buffering_timer.cancel()
            self._buffering_timer = None

    def _held_bytes(self) -> int:
        return super()._held_bytes() + len(self._unforwarded)

    def _flush_to_sink(self) -> None:
        if self._unforwarded and self._sink is not None:
            data, self._unforwarded = bytes(self._unforwarded), bytearray()
            self._sink.write_body(data)

    def pause(self) -> None:
        """Stop reading, as the client reads too slowly."""
        self._sink_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Resume reading, as the client has caught up or disconnected."""
        self._sink_paused = False
        self._progress += 1
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            if self._sink_paused or self._parse_scheduled:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _check_progress(self, last_progress: int | None = None) -> None:
        """End the exchange if the server stalls during a long body; a slow client is not its fault."""
        if self._upload is None and self._sink is None:
            self._stall_timer = None
            return
        awaits_server = self._write_buffer_full if self._upload is not None else not self._sink_paused
        unsent_bytes = unacknowledged_bytes(self.sock)
        unsent_bytes += self._transport.get_write_buffer_size() if self._transport is not None else 0
        progress = self._progress - unsent_bytes
        if awaits_server and progress == last_progress:
            extra = {"event": "body_stalled"}
            log.info("no progress on a long body for %.0f s", self._stall_timeout_s(), extra=extra)
            self._finish(None)
            return
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self._stall_timer = asyncio.get_running_loop().call_later(
            self._stall_timeout_s(), self._check_progress, progress if awaits_server else None
        )

    def _stall_timeout_s(self) -> float:
        return STALL_TIMEOUT_S if self._upload is not None else RESPONSE_STALL_TIMEOUT_S

    # -- Ending an exchange or the connection

    def _finish(self, response: Response | None) -> None:
        on_response, self._on_response = self._on_response, None
        self._end_bodies(response is not None)
        self._response_head = None
        self._start_streaming = None  # it refers to the request and its client
        self._head_bytes = 0
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if response is None or not is_done or not self._written or self._has_stray_input():
            self.abort()
        else:
            self._h11.start_next_cycle()
        self._update_charge()
        if on_response is not None:
            on_response(response)

    def _has_stray_input(self) -> bool:
        return bool(self._input) or bool(self._h11.trailing_data[0])

    def _end_bodies(self, complete: bool) -> None:
        """Release the bodies that are buffered or streamed for the request that was in flight."""
        self._detach_upload()
        self._stop_buffering()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        sink = self._sink
        if sink is not None:
            self._flush_to_sink()
            self._sink, self._sink_paused = None, False
            self.memory_budget.active_streams -= 1
            self._update_reading()
            if complete:
                sink.end_response()
            else:
                sink.abort_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in flight."""
        on_response, self._on_response = self._on_response, None
        if on_response is not None and self.reusable:
            log.info(
                "connection lost during its request number %d, %.1f ms after it was sent: %s",
                self._request_count,
                (asyncio.get_running_loop().time() - self._request_sent_at) * 1000,
                exc or "closed by the server",
                extra={"event": "server_connection_lost"},
            )
        self.reusable = False
        self._end_bodies(False)
        self._input.clear()
        self._update_charge()
        if on_response is not None:
            on_response(None)
        self._start_streaming = None
        on_closed, self.on_closed = self.on_closed, None  # it refers to this connection
        if on_closed is not None:
            on_closed()

    def abort(self) -> None:
        """Close at once, discarding unwritten data."""
        self.reusable = False
        self._end_bodies(False)
        self._input.clear()  # the transport reports its end in the next turn only
        if self._transport is not None:
            self._transport.abort()
