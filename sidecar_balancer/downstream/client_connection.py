"""One connection of the application, which carries one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
from typing import TYPE_CHECKING

import h11

from sidecar_balancer.downstream.request import (
    API_PATH,
    ClientRequest,
    check_framing,
    parse_request,
    validate,
)
from sidecar_balancer.runtime.errors import RequestError
from sidecar_balancer.runtime.headers import Headers
from sidecar_balancer.runtime.queueing import since_last_data_s
from sidecar_balancer.runtime.sockets import has_no_unread_input, peer_has_closed
from sidecar_balancer.runtime.streams import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_EVENTS_PER_TURN,
    MAX_REQUEST_BODY_BYTES,
    STALL_TIMEOUT_S,
    BufferedReceiver,
    ResponseSink,
    ResponseSource,
    Upload,
)

if TYPE_CHECKING:
    from sidecar_balancer.downstream.frontend import Frontend

log = logging.getLogger(__name__)

_READINESS_PATH = b"/health/ready"
_CLIENT_CHECK_INTERVAL_S = 0.1  # how often it is seen whether a client that is not read has left
_UNREAD_INPUT_GRACE_S = 0.05  # after which what waited unread in a stall has been read
_MIN_QUEUE_DELAY_S = 0.01  # queueing delay below this is not taken off a request's time
_REQUEST_TIMEOUT_S = (
    2.5  # what a head may take from its first byte: slow ones take 2 s, and after 3 s an end is owed
)
_BODY_START_TIMEOUT_S = 1.5  # after its head, when a body must have begun to come
_MIN_BODY_BYTES_PER_S = (
    32_000.0  # bytes a second at which it must go on; the slowest that are owed service send twice as fast
)
_LINGER_S = 1.0  # how long an ended connection is read on after its last byte, so that its answer arrives
_MAX_LINGER_S = 30.0  # and in all: a long body may still be under way
_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
}


class ClientConnection(BufferedReceiver):
    """One connection of the application; it carries one request at a time."""

    def __init__(self, frontend: Frontend, sock: socket.socket, established_after: float) -> None:
        """Serve an accepted connection; it came up after that time, on the event loop's clock."""
        super().__init__(frontend.body_memory)
        self._frontend = frontend
        self._sock = sock
        self._port = 0
        self._h11 = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._request: ClientRequest | None = None
        self._upload: Upload | None = None  # where the body goes that is still coming
        self._source: ResponseSource | None = None  # where the long answer under way comes from
        self._write_blocked = False  # the last answer is not all written yet
        self._unsent_bytes = 0  # how much of it was still to be written when that was last looked at
        self._parse_scheduled = False  # h11 holds more than one step may parse
        self._reading_paused = False  # nothing is read for now
        self._linger_deadline: float | None = None  # what still comes is dropped: its framing is lost
        self._timer: asyncio.TimerHandle | None = None  # when a request that is awaited must have come whole
        self._client_check_timer: asyncio.TimerHandle | None = (
            None  # when it is seen whether an unread client has left
        )
        self._awaited_since = 0.0  # when it began to be awaited
        self._body_counted_since = 0.0  # since when its body is counted
        self._body_bytes = 0  # bytes of it since then
        self._last_input_at = 0.0  # when the last of them came
        # Since when nothing was read; None: it is polled in each step.
        self._unread_since: float | None = established_after
        self._arrived_at = 0.0  # when what was read last had arrived in the kernel, at the earliest
        # It sent too far ahead: it is read no more but for its end, which its answer brings.
        self._discards_input = False
        self._discarded_bytes = 0  # bytes so far
        self._upload_bytes = 0  # bytes of a long body, from its beginning
        self.has_served = False  # whether it has carried a request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._port = int((transport.get_extra_info("peername") or ("", 0))[1])
        transport.set_write_buffer_limits(high=0)
        self._frontend.connection_opened(self)
        self._start_request_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._frontend.connection_closed(self)
        self._stop_timer()
        if self._client_check_timer is not None:
            self._client_check_timer.cancel()
        self._record_unsent(0)
        self._release_body()
        self._client_disconnected()

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def data_received(self, data: bytes) -> None:
        if self._linger_deadline is not None:
            self._extend_linger()
            return
        if self._discards_input:
            self._discard_input(data)
            return
        self._record_arrival()
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(RequestError(400, str(error)))
            return
        if self._upload is not None or (self._request is None and not self._write_blocked):
            self._parse()
        elif len(self._h11.trailing_data[0]) > MAX_BUFFERED_BODY_BYTES:
            self._discards_input = (
                True  # it sends ahead; what is held is bounded, and its leaving must be seen
            )

    def _record_arrival(self) -> None:
        """Note when the input that is read now came, and how long it can have waited before."""
        self._last_input_at = now = asyncio.get_running_loop().time()
        unread_since = self._frontend.poll_times.unread_since
        if self._unread_since is not None:
            unread_since, self._unread_since = min(unread_since, self._unread_since), None
        delay_s = max(now - unread_since, 0.0)
        if delay_s >= _MIN_QUEUE_DELAY_S and (known_s := since_last_data_s(self._sock)) is not None:
            delay_s = min(delay_s, known_s)
        self._arrived_at = now - delay_s

    def _remaining_us(self, remaining_us: int) -> int:
        """Take off a request's time what it waited for after it had come whole."""
        delay_s = asyncio.get_running_loop().time() - self._arrived_at
        return remaining_us if delay_s < _MIN_QUEUE_DELAY_S else max(remaining_us - int(delay_s * 1e6), 0)

    def _discard_input(self, data: bytes) -> None:
        """Read on what was sent ahead too far, only to see its client leave; without end it is none."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_REQUEST_BODY_BYTES:
            self.abort()

    # -- Time limits: peers that send slowly or nothing may not hold descriptors ----------------------

    def _start_request_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._awaited_since = loop.time()
            self._timer = loop.call_later(_REQUEST_TIMEOUT_S, self._check_request_deadline, True)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _request_deadline(self) -> float:
        """When what has come so far must have become more: a body may take its time while it moves."""
        if self._head is None:
            return self._awaited_since + _REQUEST_TIMEOUT_S
        in_time = self._body_counted_since + _BODY_START_TIMEOUT_S + self._body_bytes / _MIN_BODY_BYTES_PER_S
        return max(
            self._awaited_since + _REQUEST_TIMEOUT_S, min(in_time, self._last_input_at + STALL_TIMEOUT_S)
        )

    def _check_request_deadline(self, allow_unread_input: bool) -> None:
        loop = asyncio.get_running_loop()
        if self._reading_paused:
            self._restart_body_rate()  # it is not read: its server is the slow one
        if (due := self._request_deadline()) > loop.time():
            self._timer = loop.call_at(due, self._check_request_deadline, True)
            return
        if allow_unread_input and not has_no_unread_input(self._sock):  # our own delay: read first what waits
            self._timer = loop.call_later(_UNREAD_INPUT_GRACE_S, self._check_request_deadline, False)
            return
        self._timer = None
        if self._head is not None or self._h11.trailing_data[0]:
            self._reject(RequestError(408, "the request did not come in time"))
        else:
            self.close()

    def _restart_body_rate(self) -> None:
        self._body_counted_since = self._last_input_at = asyncio.get_running_loop().time()
        self._body_bytes = 0

    # -- Writing: a client that reads nothing is given up, a slow one is not --------------------------

    def pause_writing(self) -> None:
        self._write_blocked = True
        if self._transport is not None:
            self._record_unsent(self._transport.get_write_buffer_size())
            if self._source is not None:
                self._source.pause()
            if self._upload is None:
                self._stop_timer()
                self._timer = asyncio.get_running_loop().call_later(
                    STALL_TIMEOUT_S, self._check_write_progress
                )

    def resume_writing(self) -> None:
        self._write_blocked = False
        self._record_unsent(0)
        if self._upload is None:
            self._stop_timer()
        if self._source is not None:
            self._source.resume()
        elif self._request is None:
            self._next_request()

    def _check_write_progress(self) -> None:
        if self._transport is None:
            return
        left = self._transport.get_write_buffer_size()
        if left >= self._unsent_bytes:
            self.abort()
            return
        self._record_unsent(left)
        self._timer = asyncio.get_running_loop().call_later(STALL_TIMEOUT_S, self._check_write_progress)

    def _record_unsent(self, size: int) -> None:
        self.body_memory.buffered_bytes += size - self._unsent_bytes
        self._unsent_bytes = size

    # -- A client that leaves: what it waits for is not sent on ---------------------------------------

    def check_connected(self) -> None:
        """See whether the client has left, though nothing that it sent last was read yet."""
        if self._request is not None and peer_has_closed(self._sock):
            self._client_disconnected()
            self.close()

    def _schedule_client_check(self) -> None:
        """While nothing is read, no event tells of a client that leaves."""
        if self._client_check_timer is None:
            self._client_check_timer = asyncio.get_running_loop().call_later(
                _CLIENT_CHECK_INTERVAL_S, self._run_client_check
            )

    def _run_client_check(self) -> None:
        self._client_check_timer = None
        if self._transport is not None and not self._transport.is_closing():
            self.check_connected()
            if self._request is not None and not self._transport.is_reading():
                self._schedule_client_check()

    # -- Reading --------------------------------------------------------------------------------------

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is held, begun or waiting unread."""
        is_busy = (
            self._request is not None
            or self._head is not None
            or self._write_blocked
            or self._h11.trailing_data[0]
        )
        return not is_busy and has_no_unread_input(self._sock)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; what is not written yet never will be.

        Where only the connection's end would tell of an answer's, it is a reset.
        """
        if self._transport is None:
            return
        if self._source is not None and self._h11.their_http_version == b"1.0":
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    def close_gracefully(self) -> None:
        """Close once what is written has arrived: closing on unread bytes would reset it away.

        A long answer under way can't become whole any more, and its client must be able to tell.
        """
        if self._source is not None:
            self.abort_response()
        elif self._linger_deadline is None and not self.is_idle():
            self._linger()
        elif self._linger_deadline is None:
            self.close()

    def _parse(self) -> None:
        """Take what has come, up to the end of one request and a bounded number of events in a step."""
        if self._parse_scheduled:
            return  # its turn comes
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                if not self._handle_next_event():
                    break
            else:
                self._parse_scheduled = True
                self._update_reading()
                asyncio.get_running_loop().call_soon(self._continue_parsing)
            if self._request is None and (self._head is not None or self._h11.trailing_data[0]):
                self._start_request_timer()
        except RequestError as error:
            self._reject(error)
        except h11.RemoteProtocolError as error:
            self._reject(RequestError(400, str(error)))
        except Exception:
            log.exception("a request could not be handled")  # a defect: its request fails, no other
            if self._transport is not None:
                self._reject(RequestError(500, "internal error"))

    def _continue_parsing(self) -> None:
        self._parse_scheduled = False
        self._update_reading()
        if self._transport is not None and not self._transport.is_closing() and self._linger_deadline is None:
            if self._upload is not None or (self._request is None and not self._write_blocked):
                self._parse()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        was_paused, self._reading_paused = (
            self._reading_paused,
            self._parse_scheduled or (self._upload is not None and self._upload.is_full()),
        )
        if self._reading_paused:
            if not was_paused:
                self._unread_since = asyncio.get_running_loop().time()
            self._transport.pause_reading()
            self._schedule_client_check()
        else:
            self._transport.resume_reading()
            if was_paused:
                self._restart_body_rate()

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
        self._restart_body_rate()
        length = int(next((v for n, v in head.headers if n == b"content-length"), b"0"))
        if length > MAX_REQUEST_BODY_BYTES:
            raise RequestError(413, "the body is too large")
        if length > MAX_BUFFERED_BODY_BYTES:
            self._begin_upload(head, length)
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(go_on) or b"")

    def _receive_body(self, data: bytes) -> None:
        """Take some of the body."""
        self._body_bytes += len(data)
        if self._upload is not None:
            self._upload_bytes += len(data)
            if self._upload_bytes > MAX_REQUEST_BODY_BYTES:
                raise RequestError(413, "the body is too large")
            if self._upload_bytes == self._upload.length:
                self.check_connected()  # its end may have come together with its client's leaving
            if self._upload is not None:
                self._upload.feed(data)
                self._update_reading()
            return
        self._body += data
        self.body_memory.buffered_bytes += len(data)
        if not self.body_memory.may_buffer(len(self._body)) and self._head is not None:
            self._begin_upload(self._head, None)

    def _begin_upload(self, head: h11.Request, length: int | None) -> None:
        """Pass a long body on as it comes, with its request taken before its end."""
        call = self._parse_request(head, b"")
        if length is None:
            length = next((int(v) for n, v in head.headers if n == b"content-length"), None)
        self._start_request_timer()
        self._upload = call.upload = Upload(length, self._update_reading)
        self._upload_bytes = len(self._body)
        self.body_memory.active_streams += 1
        self._upload.feed(self._body)
        self._release_body()
        self.has_served = True
        self._request = call
        self._frontend.handler.request_received(call)
        self._update_reading()

    def _end_upload(self) -> None:
        if self._upload is not None:
            self._upload = None
            self.body_memory.active_streams -= 1
            self._stop_timer()
            self._update_reading()

    def _release_body(self) -> None:
        self.body_memory.buffered_bytes -= len(self._body)
        self._body = bytearray()

    def _parse_request(self, head: h11.Request, body: bytes) -> ClientRequest:
        path = head.target.partition(b"?")[0]
        if path != API_PATH and not path.startswith(API_PATH + b"/"):
            raise RequestError(404, "no such path")
        call = parse_request(head, body, self._respond, self._begin_streaming, self._port)
        call.check_connected = self.check_connected
        validate(call, head, self._frontend.settings)
        return call

    def _complete_request(self) -> None:
        """A request has come whole."""
        head, body = self._head, bytes(self._body)
        assert head is not None
        self._stop_timer()
        self.has_served = True
        if self._upload is not None:
            self.check_connected()  # likewise
            upload, call = self._upload, self._request
            if upload is None:
                return
            self._end_upload()
            upload.end()
            if call is not None:
                call.remaining_us = self._remaining_us(call.remaining_us)
                self._frontend.handler.body_completed(call)
        elif head.target.partition(b"?")[0] == _READINESS_PATH:
            self._respond(200 if self._frontend.handler.is_ready() else 503, [], b"")
        else:
            self._request = call = self._parse_request(head, body)
            call.remaining_us = self._remaining_us(call.remaining_us)
            self._frontend.handler.request_received(call)

    def _reject(self, error: RequestError) -> None:
        log.info("request from port %d rejected: %.120s", self._port, error)
        self._client_disconnected()  # nothing more of a body that was under way
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            self._respond(error.status, [(b"Content-Type", b"text/plain")], f"{error}\n".encode())
        elif self._request is None:
            self.close()

    # -- Answering ------------------------------------------------------------------------------------

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write an answer whole, at once; its connection goes on if framing allows."""
        self._request = None
        if self._transport is None or self._transport.is_closing():
            return
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        try:
            events: list[h11.Event] = [self._response_head(status, headers), h11.EndOfMessage()]
            if body:
                events.insert(1, h11.Data(data=body))
            data = b"".join(self._h11.send(each) or b"" for each in events)
        except h11.LocalProtocolError:
            log.exception("an answer can't be written")  # a defect; its client must not wait for ever
            self.abort()
            return
        self._transport.write(data)
        self._response_written()

    def _response_head(self, status: int, headers: Headers) -> h11.Response:
        if self._frontend.draining or not self._request_was_read():
            headers.append((b"Connection", b"close"))
        return h11.Response(status_code=status, headers=headers, reason=_REASON_PHRASES.get(status, b""))

    def _request_was_read(self) -> bool:
        """Whether all was read to the request's end; its connection may be about to end all the same."""
        return not self._discards_input and self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _response_written(self) -> None:
        """An answer is written to its end: on to the next request, or to the end of the connection."""
        self._head = None
        self._release_body()
        self._end_upload()
        if not self._request_was_read():
            self._linger()
        elif self._h11.our_state is not h11.DONE:
            (self.close if self._write_blocked else self.close_gracefully)()  # what is stuck is written first
        elif not self._write_blocked:
            asyncio.get_running_loop().call_soon(self._next_request)

    def _begin_streaming(
        self, headers: Headers, length: int | None, source: ResponseSource
    ) -> ResponseSink | None:
        """Begin an answer that is passed on as it comes; None where the client has left."""
        if self._transport is None or self._transport.is_closing():
            return None
        if length is not None:
            headers = [*headers, (b"Content-Length", str(length).encode())]
        self._source = source
        self._transport.write(self._h11.send(self._response_head(200, list(headers))) or b"")
        return self

    def write_body(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._h11.send(h11.Data(data=data)) or b"")
            if self._write_blocked:  # what its server had sent by then still comes: that is no standstill
                self._record_unsent(self._transport.get_write_buffer_size())

    def end_response(self) -> None:
        self._request = self._source = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")
            self._response_written()

    def abort_response(self) -> None:
        """End the connection short of the answer's end, so that its client can tell."""
        if self._transport is not None and not self._transport.is_closing():
            if self._h11.their_http_version == b"1.0":
                self.abort()
            else:
                self.close()
        self._request = self._source = None

    def _linger(self) -> None:
        """End our side and drop what still comes: closing on unread bytes would reset the answer away."""
        if self._transport is not None and not self._transport.is_closing():
            loop = asyncio.get_running_loop()
            self._linger_deadline = loop.time() + _MAX_LINGER_S
            self._transport.resume_reading()
            with contextlib.suppress(OSError):  # the client has ended it meanwhile
                self._transport.write_eof()
            self._extend_linger()

    def _extend_linger(self) -> None:
        loop = asyncio.get_running_loop()
        self._stop_timer()
        until = min(loop.time() + _LINGER_S, self._linger_deadline or 0.0)
        self._timer = loop.call_at(until, self._end_linger)

    def _end_linger(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._transport.abort()  # it does not read its answer: a close would wait for it
        else:
            self.close()

    def _next_request(self) -> None:
        """Turn to what came behind the answered request."""
        if (
            self._transport is None
            or self._transport.is_closing()
            or self._request is not None
            or self._write_blocked
        ):
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._frontend.connection_idle(self)
            self._update_reading()
            if ahead := self._h11.trailing_data[0]:
                log.info("port %d sent %d bytes behind its request: %.60r", self._port, len(ahead), ahead)
            self._parse()

    def _client_disconnected(self) -> None:
        call, self._request = self._request, None
        if call is not None:
            self._frontend.handler.client_disconnected(call)
        self._end_upload()
