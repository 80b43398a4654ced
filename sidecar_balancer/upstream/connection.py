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
    EVENTS_AT_ONCE,
    HELD_WHOLE,
    STALLED_S,
    Budget,
    Receiver,
    Sink,
    Source,
    Upload,
)

log = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

_NOWHERE: Address = ("127.0.0.1", 0)  # of a server that takes nothing new anyway
# How long the beginning of an answer is kept back whose length is not told: it may be a long one.
_HELD_LONG_S = 0.1
_IDLE_MARGIN = 0.1  # an idle connection is closed this part of its time before the server would
_REST_S = 0.01  # before a connection is used again: a spoilt answer may have a second one behind it
_PROBE_DIALS = 4.0  # a probe may take this many dial time limits
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)


def end_to_end(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """What may be passed on: no header that belongs to one connection, nor those named."""
    return [(n, v) for n, v in headers if n not in _HOP_BY_HOP and n not in dropped]


def is_quiet(sock: socket.socket) -> bool:
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


def has_ended(sock: socket.socket) -> bool:
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


Starts = Callable[[h11.Response, int | None, Source], Sink | None]
"""Tells where a long answer of this head and length goes; None: nobody wants it any more."""


class Connection(Receiver):
    """One connection to a server; it carries one request at a time."""

    def __init__(self, sock: socket.socket, body_most: int, budget: Budget) -> None:
        super().__init__(budget)
        self.sock = sock
        self.reusable = True
        self.rests_from = 0.0  # when its last answer ended, on the event loop's clock
        self._body_most = body_most
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._ended: Callable[[Response | None], None] | None = None
        self._written = False
        self._carried = 0  # requests, the one under way included
        self._asked_at = 0.0  # on the event loop's clock
        self.heard = False  # whether a byte of the answer has come: the process is there
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._upload: Upload | None = None  # what is still to be written of a long request
        self._full = False  # what was written last is not all with the kernel
        self._starts: Starts | None = None
        self._sink: Sink | None = None  # where the answer under way goes on to
        self._out = bytearray()  # of it, what this step of the event loop has found
        self._kept_back = False  # the sink takes no more for now
        self._more = False  # h11 holds more than one step may parse
        self._held_long: asyncio.TimerHandle | None = None
        self._watch: asyncio.TimerHandle | None = None
        self._moved = 0  # bytes in and out, so that a stall is told from slowness
        self.on_lost: Callable[[], None] = lambda: None

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
        return open_ and self.reusable and self._ended is None and is_quiet(self.sock)

    def request(
        self,
        head: h11.Request,
        body: bytes,
        ended: Callable[[Response | None], None],
        upload: Upload | None = None,
        starts: Starts | None = None,
    ) -> None:
        """Write a request; `ended` is called once, with the whole answer or with None if it broke.

        An answer too long to be held goes where `starts` says; its `Response` then has no body.
        """
        assert self._transport is not None
        data = self._h11.send(head) or b""
        self._ended, self._written, self.heard, self._starts = ended, False, False, starts
        self._carried += 1
        self._asked_at = asyncio.get_running_loop().time()
        if upload is not None:
            self._upload = upload
            self._transport.write(data)
            self._keep_watch()
            upload.on_more = self._pump
            self._pump()
            return
        events = [h11.Data(data=body), h11.EndOfMessage()] if body else [h11.EndOfMessage()]
        data += b"".join(self._h11.send(each) or b"" for each in events)
        self._transport.write(data)
        self._note_written()

    def _note_written(self) -> None:
        # A failed write closes the transport and empties its buffer, with nothing of it sent.
        assert self._transport is not None
        self._written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def _pump(self) -> None:
        """Write what has come of a long body, while the server reads it."""
        while self._upload is not None and not self._full and self._transport is not None:
            if self._transport.is_closing():
                return
            if data := self._upload.take():
                self._moved += len(data)
                self._transport.write(self._h11.send(h11.Data(data=data)) or b"")
            elif self._upload.ended:
                self._drop_upload()
                self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")
                self._note_written()
            else:
                return

    def _drop_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.drop()

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        self._moved += 1
        if self._upload is not None:
            self._pump()
        else:
            self._written = self._ended is not None

    def data_received(self, data: bytes) -> None:
        if self._ended is None:
            self.abort()  # stray bytes: what they answer is anyone's guess
            return
        self.heard = True
        self._moved += len(data)
        self._feed(data)

    def eof_received(self) -> bool:
        if self._ended is not None:
            self._feed(b"")
        return False

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as broken:
            self._broken(broken, data)
        else:
            self._parse(data)

    def _parse(self, data: bytes = b"") -> None:
        """Take the events of what has come, a bounded number in a step of the event loop."""
        try:
            for _ in range(EVENTS_AT_ONCE):
                if not self._next_event():
                    break
            else:
                self._more = True
                self._read_or_not()
                asyncio.get_running_loop().call_soon(self._parse_on)
            self._flush()
        except h11.RemoteProtocolError as broken:
            self._flush()
            self._broken(broken, data)

    def _parse_on(self) -> None:
        self._more = False
        if self._ended is not None:
            self._parse()
            self._read_or_not()

    def _broken(self, broken: Exception, data: bytes) -> None:
        log.info("answer cut short or malformed: %.80s; it began %.60r", broken, data)
        self._finish(None)

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if isinstance(event, h11.Response):
            self._head = event
            if event.status_code == 200 and not self._written:
                log.info("answered before the request was whole")  # nobody asked this yet
                self._finish(None)
                return False
            if not self._is_framed(event):
                log.info("answer without framing")
                self._finish(None)
                return False
            length = self._length(event)
            if length is not None and length > self._body_most:
                return self._go_on(length)
        elif isinstance(event, h11.Data):
            if self._sink is not None:
                self._out += event.data
                return True
            if not self._body and self._starts is not None and self._length(self._head) is None:
                loop = asyncio.get_running_loop()
                self._held_long = loop.call_later(_HELD_LONG_S, self._held_too_long)
            self._body += event.data
            self.budget.held += len(event.data)
            if len(self._body) > self._body_most or (
                self._starts is not None and not self.budget.may_hold(len(self._body))
            ):
                return self._go_on(self._length(self._head))
        elif isinstance(event, h11.EndOfMessage):
            self._finish(self._response())
            return False
        return not isinstance(event, h11.ConnectionClosed | type(h11.NEED_DATA))

    @staticmethod
    def _length(head: h11.Response | None) -> int | None:
        """How long the answer's body is, where its head tells."""
        headers = [] if head is None else head.headers
        return next((int(value) for name, value in headers if name == b"content-length"), None)

    def _held_too_long(self) -> None:
        """A body of unknown length comes slowly: it may be a long one, whose beginning is not kept back."""
        if self._ended is not None and self._sink is None and self._body:
            self._go_on(None)
            self._flush()

    def _go_on(self, length: int | None) -> bool:
        """Pass a long answer on as it comes; say whether to read on."""
        head = self._head
        if head is None or head.status_code != 200 or self._starts is None:
            log.info("answer of more than %d bytes", self._body_most)
            # Of an answer that is no success, the head tells all there is to know.
            no_success = head is not None and head.status_code != 200 and self._starts is not None
            self._finish(Response(head.status_code, list(head.headers), b"") if head and no_success else None)
            return False
        self._sink = self._starts(head, length, self)
        if self._sink is None:
            self._finish(None)
            return False
        self.budget.streams += 1
        self._out += self._body
        self._let_body_go()
        self._keep_watch()
        return True

    def _let_body_go(self) -> None:
        self.budget.held -= len(self._body)
        self._body = bytearray()
        if self._held_long is not None:
            self._held_long.cancel()
            self._held_long = None

    def _flush(self) -> None:
        if self._out and self._sink is not None:
            data, self._out = bytes(self._out), bytearray()
            self._sink.pass_on(data)

    def pause(self) -> None:
        self._kept_back = True
        self._read_or_not()

    def resume(self) -> None:
        self._kept_back = False
        self._moved += 1
        self._read_or_not()

    def _read_or_not(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            if self._kept_back or self._more:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _keep_watch(self, moved: int | None = None) -> None:
        """Give up a server that moves nothing of a long body; that its client is slow is no fault of it."""
        if self._upload is None and self._sink is None:
            self._watch = None
            return
        waits = self._full if self._upload is not None else not self._kept_back
        left = self._transport.get_write_buffer_size() if self._transport is not None else 0
        now = self._moved - left
        if waits and now == moved:
            log.info("nothing of a long body moved for %.0f s", STALLED_S)
            self._finish(None)
            return
        if self._watch is not None:
            self._watch.cancel()
        self._watch = asyncio.get_running_loop().call_later(
            STALLED_S, self._keep_watch, now if waits else None
        )

    @staticmethod
    def _is_framed(head: h11.Response) -> bool:
        """Whether the end of the body can be told: by its framing, or where the server says so, by the end.

        An answer that lacks both may have lost its framing on the way.
        """
        names = {name for name, _ in head.headers}
        if names & {b"content-length", b"transfer-encoding"} or head.status_code in (204, 304):
            return True
        said = any(n == b"connection" and b"close" in v.lower() for n, v in head.headers)
        return said or head.http_version < b"1.1"

    def _response(self) -> Response | None:
        head = self._head
        return None if head is None else Response(head.status_code, list(head.headers), bytes(self._body))

    def _finish(self, response: Response | None) -> None:
        ended, self._ended = self._ended, None
        self._end_bodies(response is not None)
        self._head = None
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if response is None or not done or not self._written or self._h11.trailing_data[0]:
            self.abort()
        else:
            self._h11.start_next_cycle()
        if ended is not None:
            ended(response)

    def _end_bodies(self, whole: bool) -> None:
        """Be done with what is held or passed on for the request that was under way."""
        self._drop_upload()
        self._let_body_go()
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        sink = self._sink
        if sink is not None:
            self._flush()
            self._sink, self._kept_back = None, False
            self.budget.streams -= 1
            self._read_or_not()
            if whole:
                sink.end_answer()
            else:
                sink.break_answer()

    def connection_lost(self, exc: Exception | None) -> None:
        ended, self._ended = self._ended, None
        if ended is not None and self.reusable:
            took = asyncio.get_running_loop().time() - self._asked_at
            told = "connection lost under its request number %d, %.1f ms after it was sent: %s"
            log.info(told, self._carried, took * 1000, exc or "it ended")
        self.reusable = False
        self._end_bodies(False)
        if ended is not None:
            ended(None)
        self.on_lost()

    def abort(self) -> None:
        """Close at once; what is not written yet never will be."""
        self.reusable = False
        self._end_bodies(False)
        if self._transport is not None:
            self._transport.abort()


async def connect(address: Address, body_most: int, budget: Budget | None = None) -> Connection:
    """Dial; raise OSError where no connection comes up."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, address)
        made = partial(Connection, sock, body_most, budget or Budget())
        _, connection = await loop.create_connection(made, sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection


@dataclass(slots=True, eq=False)
class Endpoint:
    """Where a server listens now, and the connections to it that carry nothing."""

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    generation: int = 0  # of its process: older connections are not used again
    idle: dict[Connection, asyncio.TimerHandle] = field(default_factory=dict)  # the longest at rest first
    dialling: set[Exchange] = field(default_factory=set)

    def remove_idle(self, connection: Connection) -> None:
        """Take a connection out of those at rest, with the timer that would close it; once is enough."""
        if (timer := self.idle.pop(connection, None)) is not None:
            timer.cancel()


@dataclass(slots=True)
class Order:
    """A request to a server; its head is made when it is written, since it tells the time left."""

    head: Callable[[float], h11.Request]
    body: bytes = b""
    upload: Upload | None = None  # in place of the body, where that is long
    starts: Starts | None = None
    look: Callable[[], None] = lambda: None  # whether it is still wanted; if not, this ends its exchange


Ended = Callable[[Outcome, Response | None], None]


class Exchange:
    """One attempt or probe, from the dial to its one outcome."""

    def __init__(self, endpoint: Endpoint, order: Order, until: float, ended: Ended) -> None:
        self.endpoint = endpoint
        self.generation = endpoint.generation
        self.order = order
        self.until = until  # on the event loop's clock
        self.ended: Ended | None = ended
        self.connection: Connection | None = None
        self.dial: asyncio.Task[None] | None = None
        self.timers: list[asyncio.TimerHandle] = []

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Tell the outcome, once; what comes later is nobody's."""
        ended, self.ended = self.ended, None
        if ended is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.endpoint.dialling.discard(self)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT):
            if self.connection is not None:
                self.connection.abort()  # this is how an attempt is given up
            if self.dial is not None:
                self.dial.cancel()
        ended(outcome, response)


def judge(response: Response | None, written: bool, heard: bool) -> Outcome:
    """What an ended exchange proves: it never ran only if that is certain.

    An answer that can't be read is an error, not a lost connection: its server is up.
    """
    if response is None:
        if not written:
            return Outcome.CONNECT_FAILED
        return Outcome.APPLICATION_ERROR if heard else Outcome.CONNECTION_LOST
    if response.status == 200:
        return Outcome.DELIVERED
    if response.status in (503, 504) and response.header(b"x-rejected") == "1":
        return Outcome.REJECTED
    return Outcome.INVALID_REQUEST if response.status in (400, 404) else Outcome.APPLICATION_ERROR


class Upstream:
    """All connections to servers, within a bound on their number."""

    def __init__(self, dial_limit_s: float, idle_s: float, most: int, budget: Budget | None = None) -> None:
        self._budget = budget or Budget()
        self._dial_limit = dial_limit_s
        self._idle_s = idle_s * (1.0 - _IDLE_MARGIN)
        self._most = most
        self._dials: set[asyncio.Task[None]] = set()  # those under way
        self._open: set[Connection] = set()  # connections, in use or idle
        self._closed = False
        self._endpoints: dict[str, Endpoint] = {}
        self._gone: dict[str, None] = {}  # those that left, and may be forgotten
        self._excluded: frozenset[str] = frozenset()

    @property
    def open_count(self) -> int:
        """Connections, and dials under way."""
        return len(self._dials) + len(self._open)

    def exclude(self, names: frozenset[str]) -> None:
        """Treat these servers, and no others, as draining ones whatever the list says."""
        self._excluded = names
        for name in names & self._endpoints.keys():
            self._withdraw(self._endpoints[name])

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Note what the list says of a server; a new process or place makes its old connections useless."""
        known = self._endpoints.get(name)
        if known is None:
            self._endpoints[name] = Endpoint(name, address or _NOWHERE, started_at, state)
            if state is ServerState.REMOVED:
                self._gone[name] = None
            return
        address = address or known.address
        if (known.address, known.started_at) != (address, started_at):
            known.address, known.started_at = address, started_at
            known.generation += 1
            self.close_idle(name)
            for exchange in list(known.dialling):
                exchange.end(Outcome.UNSENT)  # it would be written to the process or place that was
        known.state = state
        self._gone.pop(name, None)
        if state is ServerState.REMOVED:
            self._gone[name] = None
        if state is not ServerState.READY:
            self._withdraw(known)

    def retain(self, names: Collection[str]) -> None:
        """Drop all servers but these."""
        for endpoint in self._endpoints.values():
            if endpoint.name not in names:
                endpoint.state = ServerState.REMOVED
                self._gone[endpoint.name] = None
                self._withdraw(endpoint)

    def forget_gone(self) -> None:
        """Forget servers that left, once nobody sends to them any more; what is out keeps its endpoint."""
        for name in list(self._gone):
            endpoint = self._endpoints[name]
            if not endpoint.dialling and not endpoint.idle:
                del self._endpoints[name], self._gone[name]

    def _withdraw(self, endpoint: Endpoint) -> None:
        """End what was not written to a server that takes nothing new: a slow dial may outlast the grace."""
        self.close_idle(endpoint.name)
        for exchange in list(endpoint.dialling):
            exchange.end(Outcome.CONNECT_FAILED)

    def send(self, name: str, order: Order, until: float, ended: Ended) -> Exchange:
        """Start an attempt; `ended` hears its outcome exactly once, maybe before this returns."""
        loop = asyncio.get_running_loop()
        endpoint = self._endpoints.get(name)
        takes = endpoint is not None and endpoint.state is ServerState.READY and name not in self._excluded
        endpoint = endpoint or Endpoint(name, _NOWHERE, None, ServerState.REMOVED)
        exchange = Exchange(endpoint, order, until, ended)
        if self._closed or not takes or until <= loop.time():
            exchange.end(Outcome.UNSENT)  # the list, the end of the run or of its time came first
            return exchange
        self.limit(exchange, until)
        connection = self._take_idle(endpoint)
        if connection is not None:
            self._write(exchange, connection)
        elif self._make_room():
            endpoint.dialling.add(exchange)
            limit = loop.time() + self._dial_limit
            exchange.timers.append(loop.call_at(limit, self._dial_time_up, exchange))
            exchange.dial = dial = loop.create_task(self._dial(exchange))
            self._dials.add(dial)
            dial.add_done_callback(self._dials.discard)
        else:
            log.warning("no connection to spare for %s", name)
            exchange.end(Outcome.CONNECT_FAILED)
        return exchange

    def limit(self, exchange: Exchange, until: float) -> None:
        """Give an attempt up at this time on the event loop's clock, unless its answer is under way."""
        exchange.until = until
        if until < math.inf:
            exchange.timers.append(asyncio.get_running_loop().call_at(until, self._time_up, exchange))

    def unlimit(self, exchange: Exchange) -> None:
        """Let an attempt take its time: its answer is under way."""
        for timer in exchange.timers:
            timer.cancel()
        exchange.timers.clear()

    def probe(self, name: str, target: str, ended: Ended) -> Exchange:
        """Ask a server how it is."""
        host = ("Host", name)
        order = Order(lambda _: h11.Request(method="GET", target=target, headers=[host]))
        until = asyncio.get_running_loop().time() + _PROBE_DIALS * self._dial_limit
        return self.send(name, order, until, ended)

    def cancel(self, exchange: Exchange) -> None:
        exchange.end(Outcome.CANCELLED)

    def unsend(self, exchange: Exchange) -> None:
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
    def _time_up(exchange: Exchange) -> None:
        connection = exchange.connection
        exchange.end(
            Outcome.TIMED_OUT if connection is not None and connection.written else Outcome.CONNECT_FAILED
        )

    @staticmethod
    def _dial_time_up(exchange: Exchange) -> None:
        if exchange.connection is None:
            exchange.end(Outcome.CONNECT_FAILED)

    @staticmethod
    def _take_idle(endpoint: Endpoint) -> Connection | None:
        """The connection used last of those that have rested: a second answer may come late, to anyone."""
        rested = asyncio.get_running_loop().time() - _REST_S
        for connection in reversed(list(endpoint.idle)):
            if connection.rests_from > rested:
                continue
            endpoint.remove_idle(connection)
            if connection.is_idle():
                return connection
            connection.abort()
        return None

    def _make_room(self) -> bool:
        """Whether one more connection may be opened, perhaps for an idle one elsewhere."""
        if self.open_count < self._most:
            return True
        idle = [each for each in self._endpoints.values() if each.idle]
        if not idle:
            return False
        fullest = max(idle, key=lambda each: len(each.idle))
        connection = next(iter(fullest.idle))
        fullest.remove_idle(connection)
        connection.abort()
        return True

    async def _dial(self, exchange: Exchange) -> None:
        """Dial and write; the dial counts as open until its connection does, or until it ends."""
        endpoint = exchange.endpoint
        try:
            connection = await connect(endpoint.address, HELD_WHOLE, self._budget)
        except (OSError, ValueError) as fault:  # ValueError: no name that could be looked up
            log.info("no connection to %s: %s", endpoint.name, fault)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        assert exchange.dial is not None
        self._dials.discard(exchange.dial)
        self._open.add(connection)
        connection.on_lost = partial(self._lost, endpoint, connection)
        exchange.order.look()  # its client may have left during the dial, and nobody noticed yet
        if exchange.ended is None:
            connection.abort()
        else:
            self._write(exchange, connection)

    def _lost(self, endpoint: Endpoint, connection: Connection) -> None:
        """A connection is over, whoever ended it: one at rest that its server closed gives no room."""
        self._open.discard(connection)
        endpoint.remove_idle(connection)

    def _write(self, exchange: Exchange, connection: Connection) -> None:
        exchange.connection = connection
        exchange.endpoint.dialling.discard(exchange)
        left = exchange.until - asyncio.get_running_loop().time()
        try:
            head = exchange.order.head(max(left, 0.0))
            order = exchange.order
            ended = partial(self._answered, exchange, connection)
            connection.request(head, order.body, ended, order.upload, order.starts)
        except h11.LocalProtocolError:
            log.exception("a request can't be written")  # not a byte of it was
            exchange.end(Outcome.CONNECT_FAILED)

    def _answered(self, exchange: Exchange, connection: Connection, response: Response | None) -> None:
        self._put_back(exchange, connection)
        exchange.end(judge(response, connection.written, connection.heard), response)

    def _put_back(self, exchange: Exchange, connection: Connection) -> None:
        """Keep a connection for the next request, for less long than the server keeps it."""
        endpoint = exchange.endpoint
        if not connection.reusable:
            return
        stays = endpoint.state is ServerState.READY and endpoint.name not in self._excluded
        if exchange.generation != endpoint.generation or not stays:
            connection.abort()
            return
        connection.rests_from = asyncio.get_running_loop().time()
        # Its end takes it out of those at rest.
        endpoint.idle[connection] = asyncio.get_running_loop().call_later(self._idle_s, connection.abort)

    async def close(self) -> None:
        """End all connections and dials, for good."""
        self._closed = True
        for endpoint in list(self._endpoints.values()):
            self._withdraw(endpoint)
        for connection in list(self._open):
            connection.abort()
        for dial in (dials := list(self._dials)):
            dial.cancel()
        await asyncio.gather(*dials, return_exceptions=True)
        await asyncio.sleep(0)  # the ends of connections are told in the next turn


# -- Load reports -------------------------------------------------------------------------------------


def parse_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report's text form; what is junk or not named by the settings is passed over."""
    if text is None or not columns:
        return None
    kind, _, rest = text.strip().partition(" ")
    if kind.upper() != "TEXT":
        log.warning("load report skipped: %.80r", text)
        return None
    report = {}
    for part in rest.split(","):
        name, _, value = part.partition("=")
        try:
            figure = float(value)
        except ValueError:
            figure = math.nan
        if not math.isfinite(figure):
            log.warning("load figure skipped: %.80r", part)
        elif name.strip() in columns:
            report[name.strip()] = figure
    return report or None


def parse_probe(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Read the report that a probe's body holds, in either of its forms."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_report(text, columns)
    try:
        given = json.loads(text)
    except ValueError:
        log.warning("load report skipped: %.80r", text)
        return None
    figures = {k: v for k, v in given.items() if k in columns and isinstance(v, int | float)}
    return {k: float(v) for k, v in figures.items() if math.isfinite(v)} or None
