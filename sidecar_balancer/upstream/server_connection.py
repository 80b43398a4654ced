"""One connection to a server: HTTP/1.1 requests and responses, each response with one end."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

import h11

from sidecar_balancer.runtime.sockets import has_no_unread_input
from sidecar_balancer.runtime.streams import (
    MAX_EVENTS_PER_TURN,
    STALL_TIMEOUT_S,
    BodyMemory,
    BufferedReceiver,
    ResponseSink,
    ResponseSource,
    Upload,
)
from sidecar_balancer.upstream.response import Response

log = logging.getLogger(__name__)

# How long the beginning of an answer is kept back whose length is not told: it may be a long one.
_MAX_RESPONSE_BUFFERING_S = 0.1

StartStreaming = Callable[[h11.Response, int | None, ResponseSource], ResponseSink | None]
"""Tells where a long answer of this head and length goes; None: nobody wants it any more."""


class ServerConnection(BufferedReceiver):
    """One connection to a server; it carries one request at a time."""

    def __init__(self, sock: socket.socket, max_body_bytes: int, body_memory: BodyMemory) -> None:
        super().__init__(body_memory)
        self.sock = sock
        self.reusable = True
        self.idle_since = 0.0  # when its last answer ended, on the event loop's clock
        self._max_body_bytes = max_body_bytes
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._on_response: Callable[[Response | None], None] | None = None
        self._written = False
        self._request_count = 0  # requests, the one under way included
        self._request_sent_at = 0.0  # on the event loop's clock
        self.response_began = False  # whether a byte of the answer has come: the process is there
        self._response_head: h11.Response | None = None
        self._body = bytearray()
        self._upload: Upload | None = None  # what is still to be written of a long request
        self._write_buffer_full = False  # what was written last is not all with the kernel
        self._start_streaming: StartStreaming | None = None
        self._sink: ResponseSink | None = None  # where the answer under way goes on to
        self._unforwarded = bytearray()  # of it, what this step of the event loop has found
        self._sink_paused = False  # the sink takes no more for now
        self._parse_scheduled = False  # h11 holds more than one step may parse
        self._buffering_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._progress = 0  # bytes in and out, so that a stall is told from slowness
        self.on_closed: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # so that an emptied buffer is told of

    @property
    def written(self) -> bool:
        """Whether the request's last byte has gone to the kernel."""
        return self._written

    def is_idle(self) -> bool:
        """Whether it may carry another request: guards against EOF or bytes that nobody has read yet."""
        open_ = self._transport is not None and not self._transport.is_closing()
        return open_ and self.reusable and self._on_response is None and has_no_unread_input(self.sock)

    def request(
        self,
        head: h11.Request,
        body: bytes,
        on_response: Callable[[Response | None], None],
        upload: Upload | None = None,
        starts: StartStreaming | None = None,
    ) -> None:
        """Write a request; `ended` is called once, with the whole answer or with None if it broke.

        An answer too long to be held goes where `starts` says; its `Response` then has no body.
        """
        assert self._transport is not None
        data = self._h11.send(head) or b""
        self._on_response, self._written, self.response_began, self._start_streaming = (
            on_response,
            False,
            False,
            starts,
        )
        self._request_count += 1
        self._request_sent_at = asyncio.get_running_loop().time()
        if upload is not None:
            self._upload = upload
            self._transport.write(data)
            self._check_progress()
            upload.on_data = self._write_upload
            self._write_upload()
            return
        events = [h11.Data(data=body), h11.EndOfMessage()] if body else [h11.EndOfMessage()]
        data += b"".join(self._h11.send(event) or b"" for event in events)
        self._transport.write(data)
        self._update_written()

    def _update_written(self) -> None:
        # A failed write closes the transport and empties its buffer, with nothing of it sent.
        assert self._transport is not None
        self._written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def _write_upload(self) -> None:
        """Write what has come of a long body, while the server reads it."""
        while self._upload is not None and not self._write_buffer_full and self._transport is not None:
            if self._transport.is_closing():
                return
            if data := self._upload.read():
                self._progress += len(data)
                self._transport.write(self._h11.send(h11.Data(data=data)) or b"")
            elif self._upload.is_complete:
                self._discard_upload()
                self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")
                self._update_written()
            else:
                return

    def _discard_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.discard()

    def pause_writing(self) -> None:
        self._write_buffer_full = True

    def resume_writing(self) -> None:
        self._write_buffer_full = False
        self._progress += 1
        if self._upload is not None:
            self._write_upload()
        else:
            self._written = self._on_response is not None

    def data_received(self, data: bytes) -> None:
        if self._on_response is None:
            self.abort()  # stray bytes: what they answer is anyone's guess
            return
        self.response_began = True
        self._progress += len(data)
        self._feed_parser(data)

    def eof_received(self) -> bool:
        if self._on_response is not None:
            self._feed_parser(b"")
        return False

    def _feed_parser(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as broken:
            self._fail_parsing(broken, data)
        else:
            self._parse(data)

    def _parse(self, data: bytes = b"") -> None:
        """Take the events of what has come, a bounded number in a step of the event loop."""
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                if not self._handle_next_event():
                    break
            else:
                self._parse_scheduled = True
                self._update_reading()
                asyncio.get_running_loop().call_soon(self._continue_parsing)
            self._flush_to_sink()
        except h11.RemoteProtocolError as broken:
            self._flush_to_sink()
            self._fail_parsing(broken, data)

    def _continue_parsing(self) -> None:
        self._parse_scheduled = False
        if self._on_response is not None:
            self._parse()
            self._update_reading()

    def _fail_parsing(self, broken: Exception, data: bytes) -> None:
        log.info("answer cut short or malformed: %.80s; it began %.60r", broken, data)
        self._finish(None)

    def _handle_next_event(self) -> bool:
        event = self._h11.next_event()
        if isinstance(event, h11.Response):
            self._response_head = event
            if event.status_code == 200 and not self._written:
                log.info("answered before the request was whole")  # nobody asked this yet
                self._finish(None)
                return False
            if not self._is_framed(event):
                log.info("answer without framing")
                self._finish(None)
                return False
            length = self._content_length(event)
            if length is not None and length > self._max_body_bytes:
                return self._begin_streaming(length)
        elif isinstance(event, h11.Data):
            if self._sink is not None:
                self._unforwarded += event.data
                return True
            if (
                not self._body
                and self._start_streaming is not None
                and self._content_length(self._response_head) is None
            ):
                loop = asyncio.get_running_loop()
                self._buffering_timer = loop.call_later(_MAX_RESPONSE_BUFFERING_S, self._stop_buffering)
            self._body += event.data
            self.body_memory.buffered_bytes += len(event.data)
            if len(self._body) > self._max_body_bytes or (
                self._start_streaming is not None and not self.body_memory.may_buffer(len(self._body))
            ):
                return self._begin_streaming(self._content_length(self._response_head))
        elif isinstance(event, h11.EndOfMessage):
            self._finish(self._response())
            return False
        return not isinstance(event, h11.ConnectionClosed | type(h11.NEED_DATA))

    @staticmethod
    def _content_length(head: h11.Response | None) -> int | None:
        """How long the answer's body is, where its head tells."""
        headers = [] if head is None else head.headers
        return next((int(value) for name, value in headers if name == b"content-length"), None)

    def _stop_buffering(self) -> None:
        """A body of unknown length comes slowly: it may be a long one, whose beginning is not kept back."""
        if self._on_response is not None and self._sink is None and self._body:
            self._begin_streaming(None)
            self._flush_to_sink()

    def _begin_streaming(self, length: int | None) -> bool:
        """Pass a long answer on as it comes; say whether to read on."""
        head = self._response_head
        if head is None or head.status_code != 200 or self._start_streaming is None:
            log.info("answer of more than %d bytes", self._max_body_bytes)
            # Of an answer that is no success, the head tells all there is to know.
            no_success = head is not None and head.status_code != 200 and self._start_streaming is not None
            self._finish(Response(head.status_code, list(head.headers), b"") if head and no_success else None)
            return False
        self._sink = self._start_streaming(head, length, self)
        if self._sink is None:
            self._finish(None)
            return False
        self.body_memory.active_streams += 1
        self._unforwarded += self._body
        self._release_body()
        self._check_progress()
        return True

    def _release_body(self) -> None:
        self.body_memory.buffered_bytes -= len(self._body)
        self._body = bytearray()
        if self._buffering_timer is not None:
            self._buffering_timer.cancel()
            self._buffering_timer = None

    def _flush_to_sink(self) -> None:
        if self._unforwarded and self._sink is not None:
            data, self._unforwarded = bytes(self._unforwarded), bytearray()
            self._sink.write_body(data)

    def pause(self) -> None:
        self._sink_paused = True
        self._update_reading()

    def resume(self) -> None:
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
        """Give up a server that moves nothing of a long body; that its client is slow is no fault of it."""
        if self._upload is None and self._sink is None:
            self._stall_timer = None
            return
        is_waiting = self._write_buffer_full if self._upload is not None else not self._sink_paused
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        progress = self._progress - unsent_bytes
        if is_waiting and progress == last_progress:
            log.info("nothing of a long body moved for %.0f s", STALL_TIMEOUT_S)
            self._finish(None)
            return
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self._stall_timer = asyncio.get_running_loop().call_later(
            STALL_TIMEOUT_S, self._check_progress, progress if is_waiting else None
        )

    @staticmethod
    def _is_framed(head: h11.Response) -> bool:
        """Whether the end of the body can be told: by its framing, or where the server says so, by the end.

        An answer that lacks both may have lost its framing on the way.
        """
        names = {name for name, _ in head.headers}
        if names & {b"content-length", b"transfer-encoding"} or head.status_code in (204, 304):
            return True
        closes = any(n == b"connection" and b"close" in v.lower() for n, v in head.headers)
        return closes or head.http_version < b"1.1"

    def _response(self) -> Response | None:
        head = self._response_head
        return None if head is None else Response(head.status_code, list(head.headers), bytes(self._body))

    def _finish(self, response: Response | None) -> None:
        on_response, self._on_response = self._on_response, None
        self._end_streams(response is not None)
        self._response_head = None
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if response is None or not is_done or not self._written or self._h11.trailing_data[0]:
            self.abort()
        else:
            self._h11.start_next_cycle()
        if on_response is not None:
            on_response(response)

    def _end_streams(self, complete: bool) -> None:
        """Be done with what is held or passed on for the request that was under way."""
        self._discard_upload()
        self._release_body()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        sink = self._sink
        if sink is not None:
            self._flush_to_sink()
            self._sink, self._sink_paused = None, False
            self.body_memory.active_streams -= 1
            self._update_reading()
            if complete:
                sink.end_response()
            else:
                sink.abort_response()

    def connection_lost(self, exc: Exception | None) -> None:
        on_response, self._on_response = self._on_response, None
        if on_response is not None and self.reusable:
            elapsed_s = asyncio.get_running_loop().time() - self._request_sent_at
            message = "connection lost under its request number %d, %.1f ms after it was sent: %s"
            log.info(message, self._request_count, elapsed_s * 1000, exc or "it ended")
        self.reusable = False
        self._end_streams(False)
        if on_response is not None:
            on_response(None)
        self.on_closed()

    def abort(self) -> None:
        """Close at once; what is not written yet never will be."""
        self.reusable = False
        self._end_streams(False)
        if self._transport is not None:
            self._transport.abort()
