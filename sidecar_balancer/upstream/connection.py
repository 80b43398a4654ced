"""Connections to servers: pools, attempts and probes; what happened to one becomes its `Outcome`.

Every byte and connection is under this file's control: nothing is resent silently, and it is known whether
a request's last byte was written.  Only then may the server have begun it.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import select
import socket
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from functools import partial

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.runtime.streams import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_EVENTS_PER_TURN,
    STALL_TIMEOUT_S,
    BodyMemory,
    BufferedReceiver,
    ResponseSink,
    ResponseSource,
    Upload,
)

log = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

_UNKNOWN_ADDRESS: Address = ("127.0.0.1", 0)  # of a server that takes nothing new anyway
# How long the beginning of an answer is kept back whose length is not told: it may be a long one.
_MAX_RESPONSE_BUFFERING_S = 0.1
_IDLE_MARGIN_RATIO = 0.1  # an idle connection is closed this part of its time before the server would
_REUSE_DELAY_S = 0.01  # before a connection is used again: a spoilt answer may have a second one behind it
_HEALTH_CHECK_DIAL_TIMEOUTS = 4.0  # a probe may take this many dial time limits
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """What may be passed on: no header that belongs to one connection, nor those named."""
    return [(n, v) for n, v in headers if n not in _HOP_BY_HOP and n not in dropped]


def has_no_unread_input(sock: socket.socket) -> bool:
    """Whether a connection holds nothing unread: no byte, no end, no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def is_readable(sock: socket.socket) -> bool:
    """Whether a socket has something to read, or a listening one a connection to accept."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the other side has ended a connection, be it behind bytes that nobody has read yet."""
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


@dataclass(slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str | None:
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)


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


async def connect(
    address: Address, max_body_bytes: int, body_memory: BodyMemory | None = None
) -> ServerConnection:
    """Dial; raise OSError where no connection comes up."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, address)
        made = partial(ServerConnection, sock, max_body_bytes, body_memory or BodyMemory())
        _, connection = await loop.create_connection(made, sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection


@dataclass(slots=True, eq=False)
class PooledEndpoint:
    """Where a server listens now, and the connections to it that carry nothing."""

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    generation: int = 0  # of its process: older connections are not used again
    idle: dict[ServerConnection, asyncio.TimerHandle] = field(
        default_factory=dict
    )  # the longest at rest first
    dialing: set[Exchange] = field(default_factory=set)

    def remove_idle(self, connection: ServerConnection) -> None:
        """Take a connection out of those at rest, with the timer that would close it; once is enough."""
        if (timer := self.idle.pop(connection, None)) is not None:
            timer.cancel()


@dataclass(slots=True)
class UpstreamRequest:
    """A request to a server; its head is made when it is written, since it tells the time left."""

    head: Callable[[float], h11.Request]
    body: bytes = b""
    upload: Upload | None = None  # in place of the body, where that is long
    start_streaming: StartStreaming | None = None
    check_client: Callable[[], None] = lambda: (
        None
    )  # whether it is still wanted; if not, this ends its exchange


OnOutcome = Callable[[Outcome, Response | None], None]


class Exchange:
    """One attempt or probe, from the dial to its one outcome."""

    def __init__(
        self, endpoint: PooledEndpoint, request: UpstreamRequest, deadline: float, on_outcome: OnOutcome
    ) -> None:
        self.endpoint = endpoint
        self.generation = endpoint.generation
        self.request = request
        self.deadline = deadline  # on the event loop's clock
        self.on_outcome: OnOutcome | None = on_outcome
        self.connection: ServerConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.timers: list[asyncio.TimerHandle] = []

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Tell the outcome, once; what comes later is nobody's."""
        on_outcome, self.on_outcome = self.on_outcome, None
        if on_outcome is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.endpoint.dialing.discard(self)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT):
            if self.connection is not None:
                self.connection.abort()  # this is how an attempt is given up
            if self.dial_task is not None:
                self.dial_task.cancel()
        on_outcome(outcome, response)


def classify_outcome(response: Response | None, written: bool, response_began: bool) -> Outcome:
    """What an ended exchange proves: it never ran only if that is certain.

    An answer that can't be read is an error, not a lost connection: its server is up.
    """
    if response is None:
        if not written:
            return Outcome.CONNECT_FAILED
        return Outcome.APPLICATION_ERROR if response_began else Outcome.CONNECTION_LOST
    if response.status == 200:
        return Outcome.DELIVERED
    if response.status in (503, 504) and response.header(b"x-rejected") == "1":
        return Outcome.REJECTED
    return Outcome.INVALID_REQUEST if response.status in (400, 404) else Outcome.APPLICATION_ERROR


class EndpointPool:
    """All connections to servers, within a bound on their number."""

    def __init__(
        self,
        dial_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        body_memory: BodyMemory | None = None,
    ) -> None:
        self._body_memory = body_memory or BodyMemory()
        self._dial_timeout_s = dial_timeout_s
        self._idle_timeout_s = idle_timeout_s * (1.0 - _IDLE_MARGIN_RATIO)
        self._max_connections = max_connections
        self._dial_tasks: set[asyncio.Task[None]] = set()  # those under way
        self._open: set[ServerConnection] = set()  # connections, in use or idle
        self._closed = False
        self._endpoints: dict[str, PooledEndpoint] = {}
        self._removed: dict[str, None] = {}  # those that left, and may be forgotten
        self._disabled: frozenset[str] = frozenset()

    @property
    def open_count(self) -> int:
        """Connections, and dials under way."""
        return len(self._dial_tasks) + len(self._open)

    def set_disabled(self, names: frozenset[str]) -> None:
        """Treat these servers, and no others, as draining ones whatever the list says."""
        self._disabled = names
        for name in names & self._endpoints.keys():
            self._end_unsent(self._endpoints[name])

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Note what the list says of a server; a new process or place makes its old connections useless."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            self._endpoints[name] = PooledEndpoint(name, address or _UNKNOWN_ADDRESS, started_at, state)
            if state is ServerState.REMOVED:
                self._removed[name] = None
            return
        address = address or endpoint.address
        if (endpoint.address, endpoint.started_at) != (address, started_at):
            endpoint.address, endpoint.started_at = address, started_at
            endpoint.generation += 1
            self.close_idle(name)
            for exchange in list(endpoint.dialing):
                exchange.end(Outcome.UNSENT)  # it would be written to the process or place that was
        endpoint.state = state
        self._removed.pop(name, None)
        if state is ServerState.REMOVED:
            self._removed[name] = None
        if state is not ServerState.READY:
            self._end_unsent(endpoint)

    def retain(self, names: Collection[str]) -> None:
        """Drop all servers but these."""
        for endpoint in self._endpoints.values():
            if endpoint.name not in names:
                endpoint.state = ServerState.REMOVED
                self._removed[endpoint.name] = None
                self._end_unsent(endpoint)

    def forget_removed(self) -> None:
        """Forget servers that left, once nobody sends to them any more; what is out keeps its endpoint."""
        for name in list(self._removed):
            endpoint = self._endpoints[name]
            if not endpoint.dialing and not endpoint.idle:
                del self._endpoints[name], self._removed[name]

    def _end_unsent(self, endpoint: PooledEndpoint) -> None:
        """End what was not written to a server that takes nothing new: a slow dial may outlast the grace."""
        self.close_idle(endpoint.name)
        for exchange in list(endpoint.dialing):
            exchange.end(Outcome.CONNECT_FAILED)

    def send(self, name: str, request: UpstreamRequest, deadline: float, on_outcome: OnOutcome) -> Exchange:
        """Start an attempt; `ended` hears its outcome exactly once, maybe before this returns."""
        loop = asyncio.get_running_loop()
        endpoint = self._endpoints.get(name)
        is_available = (
            endpoint is not None and endpoint.state is ServerState.READY and name not in self._disabled
        )
        endpoint = endpoint or PooledEndpoint(name, _UNKNOWN_ADDRESS, None, ServerState.REMOVED)
        exchange = Exchange(endpoint, request, deadline, on_outcome)
        if self._closed or not is_available or deadline <= loop.time():
            exchange.end(Outcome.UNSENT)  # the list, the end of the run or of its time came first
            return exchange
        self.set_deadline(exchange, deadline)
        connection = self._acquire_idle(endpoint)
        if connection is not None:
            self._write_request(exchange, connection)
        elif self._ensure_capacity():
            endpoint.dialing.add(exchange)
            dial_deadline = loop.time() + self._dial_timeout_s
            exchange.timers.append(loop.call_at(dial_deadline, self._dial_timed_out, exchange))
            exchange.dial_task = dial_task = loop.create_task(self._dial(exchange))
            self._dial_tasks.add(dial_task)
            dial_task.add_done_callback(self._dial_tasks.discard)
        else:
            log.warning("no connection to spare for %s", name)
            exchange.end(Outcome.CONNECT_FAILED)
        return exchange

    def set_deadline(self, exchange: Exchange, deadline: float) -> None:
        """Give an attempt up at this time on the event loop's clock, unless its answer is under way."""
        exchange.deadline = deadline
        if deadline < math.inf:
            exchange.timers.append(
                asyncio.get_running_loop().call_at(deadline, self._deadline_passed, exchange)
            )

    def clear_deadline(self, exchange: Exchange) -> None:
        """Let an attempt take its time: its answer is under way."""
        for timer in exchange.timers:
            timer.cancel()
        exchange.timers.clear()

    def check_health(self, name: str, target: str, on_outcome: OnOutcome) -> Exchange:
        """Ask a server how it is."""
        host = ("Host", name)
        request = UpstreamRequest(lambda _: h11.Request(method="GET", target=target, headers=[host]))
        deadline = asyncio.get_running_loop().time() + _HEALTH_CHECK_DIAL_TIMEOUTS * self._dial_timeout_s
        return self.send(name, request, deadline, on_outcome)

    def cancel(self, exchange: Exchange) -> None:
        exchange.end(Outcome.CANCELLED)

    def cancel_unsent(self, exchange: Exchange) -> None:
        """End an attempt that is not all written yet, so that it never will be."""
        if exchange.connection is None or not exchange.connection.written:
            exchange.end(Outcome.UNSENT)

    def close_idle(self, name: str) -> None:
        endpoint = self._endpoints.get(name)
        while endpoint is not None and endpoint.idle:
            connection = next(reversed(endpoint.idle))
            endpoint.remove_idle(connection)
            connection.abort()

    @staticmethod
    def _deadline_passed(exchange: Exchange) -> None:
        connection = exchange.connection
        exchange.end(
            Outcome.TIMED_OUT if connection is not None and connection.written else Outcome.CONNECT_FAILED
        )

    @staticmethod
    def _dial_timed_out(exchange: Exchange) -> None:
        if exchange.connection is None:
            exchange.end(Outcome.CONNECT_FAILED)

    @staticmethod
    def _acquire_idle(endpoint: PooledEndpoint) -> ServerConnection | None:
        """The connection used last of those that have rested: a second answer may come late, to anyone."""
        reusable_before = asyncio.get_running_loop().time() - _REUSE_DELAY_S
        for connection in reversed(list(endpoint.idle)):
            if connection.idle_since > reusable_before:
                continue
            endpoint.remove_idle(connection)
            if connection.is_idle():
                return connection
            connection.abort()
        return None

    def _ensure_capacity(self) -> bool:
        """Whether one more connection may be opened, perhaps for an idle one elsewhere."""
        if self.open_count < self._max_connections:
            return True
        idle = [endpoint for endpoint in self._endpoints.values() if endpoint.idle]
        if not idle:
            return False
        largest = max(idle, key=lambda endpoint: len(endpoint.idle))
        connection = next(iter(largest.idle))
        largest.remove_idle(connection)
        connection.abort()
        return True

    async def _dial(self, exchange: Exchange) -> None:
        """Dial and write; the dial counts as open until its connection does, or until it ends."""
        endpoint = exchange.endpoint
        try:
            connection = await connect(endpoint.address, MAX_BUFFERED_BODY_BYTES, self._body_memory)
        except (OSError, ValueError) as error:  # ValueError: no name that could be looked up
            log.info("no connection to %s: %s", endpoint.name, error)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        assert exchange.dial_task is not None
        self._dial_tasks.discard(exchange.dial_task)
        self._open.add(connection)
        connection.on_closed = partial(self._connection_closed, endpoint, connection)
        exchange.request.check_client()  # its client may have left during the dial, and nobody noticed yet
        if exchange.on_outcome is None:
            connection.abort()
        else:
            self._write_request(exchange, connection)

    def _connection_closed(self, endpoint: PooledEndpoint, connection: ServerConnection) -> None:
        """A connection is over, whoever ended it: one at rest that its server closed gives no room."""
        self._open.discard(connection)
        endpoint.remove_idle(connection)

    def _write_request(self, exchange: Exchange, connection: ServerConnection) -> None:
        exchange.connection = connection
        exchange.endpoint.dialing.discard(exchange)
        remaining_s = exchange.deadline - asyncio.get_running_loop().time()
        try:
            head = exchange.request.head(max(remaining_s, 0.0))
            request = exchange.request
            on_response = partial(self._response_received, exchange, connection)
            connection.request(head, request.body, on_response, request.upload, request.start_streaming)
        except h11.LocalProtocolError:
            log.exception("a request can't be written")  # not a byte of it was
            exchange.end(Outcome.CONNECT_FAILED)

    def _response_received(
        self, exchange: Exchange, connection: ServerConnection, response: Response | None
    ) -> None:
        self._release(exchange, connection)
        exchange.end(classify_outcome(response, connection.written, connection.response_began), response)

    def _release(self, exchange: Exchange, connection: ServerConnection) -> None:
        """Keep a connection for the next request, for less long than the server keeps it."""
        endpoint = exchange.endpoint
        if not connection.reusable:
            return
        is_available = endpoint.state is ServerState.READY and endpoint.name not in self._disabled
        if exchange.generation != endpoint.generation or not is_available:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        # Its end takes it out of those at rest.
        endpoint.idle[connection] = asyncio.get_running_loop().call_later(
            self._idle_timeout_s, connection.abort
        )

    async def close(self) -> None:
        """End all connections and dials, for good."""
        self._closed = True
        for endpoint in list(self._endpoints.values()):
            self._end_unsent(endpoint)
        for connection in list(self._open):
            connection.abort()
        for dial_task in (dial_tasks := list(self._dial_tasks)):
            dial_task.cancel()
        await asyncio.gather(*dial_tasks, return_exceptions=True)
        await asyncio.sleep(0)  # the ends of connections are told in the next turn


# -- Load reports -------------------------------------------------------------------------------------


def parse_load_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report's text form; what is junk or not named by the settings is passed over."""
    if text is None or not columns:
        return None
    form, _, rest = text.strip().partition(" ")
    if form.upper() != "TEXT":
        log.warning("load report skipped: %.80r", text)
        return None
    report = {}
    for entry in rest.split(","):
        name, _, number = entry.partition("=")
        try:
            value = float(number)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            log.warning("load figure skipped: %.80r", entry)
        elif name.strip() in columns:
            report[name.strip()] = value
    return report or None


def parse_health_report(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Read the report that a probe's body holds, in either of its forms."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_load_report(text, columns)
    try:
        document = json.loads(text)
    except ValueError:
        log.warning("load report skipped: %.80r", text)
        return None
    values = {k: v for k, v in document.items() if k in columns and isinstance(v, int | float)}
    return {k: float(v) for k, v in values.items() if math.isfinite(v)} or None
