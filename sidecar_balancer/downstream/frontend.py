"""The application's side: its connections, its requests and the readiness that it asks for."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.policy.settings import Idempotency, Settings
from sidecar_balancer.runtime.queueing import BacklogAge, PollTimes, since_last_data_s
from sidecar_balancer.runtime.streams import (
    EVENTS_AT_ONCE,
    HELD_WHOLE,
    LONGEST,
    STALLED_S,
    Budget,
    Receiver,
    Sink,
    Source,
    Upload,
)
from sidecar_balancer.upstream.connection import (
    Headers,
    end_to_end,
    has_ended,
    is_quiet,
    is_readable,
)

log = logging.getLogger(__name__)

_READY_PATH = b"/health/ready"
_API_PATH = b"/api"
_BACKLOG = 512
_LOOK_S = 0.1  # how often it is seen whether a client that is not read has left
_LOOK_AGAIN_S = 0.05  # after which what waited unread in a stall has been read
_ACCEPTED_AT_ONCE = 64  # connections taken in one step of the event loop
_LET_GO_EVERY_S = 0.02  # how often a drain looks for connections that came to rest
_FLUSH_STEP_S = 0.005  # how often the end looks whether its last answers have left
_DELAY_LEAST_S = 0.01  # queueing delay below this is not taken off a request's time
_ACCEPT_PAUSE_S = 0.05  # after a failed accept, descriptors lacking: no spinning
_WHOLE_S = 2.5  # what a head may take from its first byte: slow ones take 2 s, and after 3 s an end is owed
_BODY_BEGINS_S = 1.5  # after its head, when a body must have begun to come
_BODY_RATE = (
    32_000.0  # bytes a second at which it must go on; the slowest that are owed service send twice as fast
)
_LINGER_S = 1.0  # how long an ended connection is read on after its last byte, so that its answer arrives
_LINGER_MOST_S = 30.0  # and in all: a long body may still be under way
_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
}


class BadRequest(Exception):
    """What can't be taken; the status tells why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True, eq=False)
class Call:
    """A request as the application sent it; it is answered once."""

    method: bytes
    target: bytes
    headers: Headers  # those that go on
    body: bytes
    ident: str
    service_class: str
    tenant: str | None
    key: int | None
    budget_us: int
    cost_us: int | None
    again: bool
    port: int  # of the application's connection, for the log
    answer: Callable[[int, Headers, bytes], None]
    begin: Callable[[Headers, int | None, Source], Sink | None]  # in place of `answer`, where that is long
    upload: Upload | None = None  # in place of the body, where that is long
    look: Callable[[], None] = lambda: None  # whether its client is still there; if not, it is told gone


@dataclass(slots=True)
class Hooks:
    """What the frontend asks of the driver."""

    taken: Callable[[Call], None]
    gone: Callable[[Call], None]
    ready: Callable[[], bool]
    whole: Callable[[Call], None] = lambda call: None  # the last byte of a long body has come


def parse_call(
    head: h11.Request,
    body: bytes,
    answer: Callable[[int, Headers, bytes], None],
    begin: Callable[[Headers, int | None, Source], Sink | None],
    port: int = 0,
) -> Call:
    """Read a request of the application; raise BadRequest where a header is missing or makes no sense."""
    given = {name: value.decode("latin-1").strip() for name, value in head.headers}
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not given.get(name):
            raise BadRequest(400, f"{name.decode()} is missing")
    return Call(
        method=head.method,
        target=head.target,
        headers=end_to_end(head.headers, b"content-length", b"x-budget", b"expect"),
        body=body,
        ident=given[b"x-call-id"],
        service_class=given[b"x-call-class"],
        tenant=given.get(b"x-caller") or None,
        key=_key(head.target),
        budget_us=int(_number(given[b"x-budget"], "x-budget") * 1e6),
        cost_us=int(_number(given[b"x-call-cost"], "x-call-cost")) if given.get(b"x-call-cost") else None,
        again=given.get(b"x-again") == "1",
        port=port,
        answer=answer,
        begin=begin,
    )


def _check_framing(head: h11.Request) -> None:
    """Raise BadRequest where two readers could disagree on where the body ends (RFC 9112, 6.1).

    What stood inside the body by the one reading would be the next request by the other.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and (b"content-length" in names or head.http_version < b"1.1"):
        raise BadRequest(400, "transfer-encoding beside content-length or before HTTP/1.1")


def _check_call(call: Call, head: h11.Request, settings: Settings) -> None:
    """Raise BadRequest for what the settings do not know: a server that answers it 400 is not sick."""
    kind = next((each for each in settings.classes if each.name == call.service_class), None)
    if kind is None:
        raise BadRequest(400, "x-call-class is not known")
    call.budget_us = min(call.budget_us, kind.deadline_us)  # nobody waits longer, and it is held as long
    if settings.tenants and call.tenant not in {each.name for each in settings.tenants}:
        raise BadRequest(400, "x-caller is not known")
    if call.method != (b"GET" if kind.idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequest(405, "the class needs another method")
    if kind.idempotency is Idempotency.IDEMPOTENCY_KEY and not _is_keyed(head):
        raise BadRequest(400, "idempotency-key is missing")  # servers could not drop its repeats


def _is_keyed(head: h11.Request) -> bool:
    return any(name == b"idempotency-key" and value.strip() for name, value in head.headers)


def _number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 <= value <= 1e9:
        raise BadRequest(400, f"{name}: a number is needed")
    return value


def _key(target: bytes) -> int | None:
    """The last part of the path as a number, whatever it is made of."""
    last = target.partition(b"?")[0].removeprefix(_API_PATH).rpartition(b"/")[2]
    if not last:
        return None
    try:
        return int(last, 16)
    except ValueError:
        return int.from_bytes(last, "big")


class ClientConnection(Receiver):
    """One connection of the application; it carries one request at a time."""

    def __init__(self, frontend: Frontend, sock: socket.socket, established_after: float) -> None:
        """Serve an accepted connection; it came up after that time, on the event loop's clock."""
        super().__init__(frontend.budget)
        self._frontend = frontend
        self._sock = sock
        self._port = 0
        self._h11 = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._call: Call | None = None
        self._upload: Upload | None = None  # where the body goes that is still coming
        self._source: Source | None = None  # where the long answer under way comes from
        self._stuck = False  # the last answer is not all written yet
        self._unread = 0  # how much of it was still to be written when that was last looked at
        self._more = False  # h11 holds more than one step may parse
        self._paused = False  # nothing is read for now
        self._lingering_until: float | None = None  # what still comes is dropped: its framing is lost
        self._due: asyncio.TimerHandle | None = None  # when a request that is awaited must have come whole
        self._looking: asyncio.TimerHandle | None = None  # when it is seen whether an unread client has left
        self._began = 0.0  # when it began to be awaited
        self._body_from = 0.0  # since when its body is counted
        self._body_came = 0  # bytes of it since then
        self._came_at = 0.0  # when the last of them came
        # Since when nothing was read; None: it is polled in each step.
        self._unread_since: float | None = established_after
        self._arrived_at = 0.0  # when what was read last had arrived in the kernel, at the earliest
        # It sent too far ahead: it is read no more but for its end, which its answer brings.
        self._drops = False
        self._dropped = 0  # bytes so far
        self._uploaded = 0  # bytes of a long body, from its beginning
        self.used = False  # whether it has carried a request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._port = int((transport.get_extra_info("peername") or ("", 0))[1])
        transport.set_write_buffer_limits(high=0)
        self._frontend.opened(self)
        self._await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self._frontend.lost(self)
        self._await_no_more()
        if self._looking is not None:
            self._looking.cancel()
        self._count_unread(0)
        self._let_body_go()
        self._client_gone()

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def data_received(self, data: bytes) -> None:
        if self._lingering_until is not None:
            self._linger_on()
            return
        if self._drops:
            self._drop(data)
            return
        self._note_arrival()
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as bad:
            self._reject(BadRequest(400, str(bad)))
            return
        if self._upload is not None or (self._call is None and not self._stuck):
            self._read()
        elif len(self._h11.trailing_data[0]) > HELD_WHOLE:
            self._drops = True  # it sends ahead; what is held is bounded, and its leaving must be seen

    def _note_arrival(self) -> None:
        """Note when the input that is read now came, and how long it can have waited before."""
        self._came_at = now = asyncio.get_running_loop().time()
        unread_since = self._frontend.poll_times.unread_since
        if self._unread_since is not None:
            unread_since, self._unread_since = min(unread_since, self._unread_since), None
        delay_s = max(now - unread_since, 0.0)
        if delay_s >= _DELAY_LEAST_S and (known_s := since_last_data_s(self._sock)) is not None:
            delay_s = min(delay_s, known_s)
        self._arrived_at = now - delay_s

    def _time_left_us(self, budget_us: int) -> int:
        """Take off a request's time what it waited for after it had come whole."""
        delay_s = asyncio.get_running_loop().time() - self._arrived_at
        return budget_us if delay_s < _DELAY_LEAST_S else max(budget_us - int(delay_s * 1e6), 0)

    def _drop(self, data: bytes) -> None:
        """Read on what was sent ahead too far, only to see its client leave; without end it is none."""
        self._dropped += len(data)
        if self._dropped > LONGEST:
            self.abort()

    # -- Time limits: peers that send slowly or nothing may not hold descriptors ----------------------

    def _await_request(self) -> None:
        if self._due is None:
            loop = asyncio.get_running_loop()
            self._began = loop.time()
            self._due = loop.call_later(_WHOLE_S, self._too_slow, True)

    def _await_no_more(self) -> None:
        if self._due is not None:
            self._due.cancel()
            self._due = None

    def _due_at(self) -> float:
        """When what has come so far must have become more: a body may take its time while it moves."""
        if self._head is None:
            return self._began + _WHOLE_S
        in_time = self._body_from + _BODY_BEGINS_S + self._body_came / _BODY_RATE
        return max(self._began + _WHOLE_S, min(in_time, self._came_at + STALLED_S))

    def _too_slow(self, look_again: bool) -> None:
        loop = asyncio.get_running_loop()
        if self._paused:
            self._count_body_anew()  # it is not read: its server is the slow one
        if (due := self._due_at()) > loop.time():
            self._due = loop.call_at(due, self._too_slow, True)
            return
        if look_again and not is_quiet(self._sock):  # our own delay: read first what waits
            self._due = loop.call_later(_LOOK_AGAIN_S, self._too_slow, False)
            return
        self._due = None
        if self._head is not None or self._h11.trailing_data[0]:
            self._reject(BadRequest(408, "the request did not come in time"))
        else:
            self.close()

    def _count_body_anew(self) -> None:
        self._body_from = self._came_at = asyncio.get_running_loop().time()
        self._body_came = 0

    # -- Writing: a client that reads nothing is given up, a slow one is not --------------------------

    def pause_writing(self) -> None:
        self._stuck = True
        if self._transport is not None:
            self._count_unread(self._transport.get_write_buffer_size())
            if self._source is not None:
                self._source.pause()
            if self._upload is None:
                self._await_no_more()
                self._due = asyncio.get_running_loop().call_later(STALLED_S, self._look_unread)

    def resume_writing(self) -> None:
        self._stuck = False
        self._count_unread(0)
        if self._upload is None:
            self._await_no_more()
        if self._source is not None:
            self._source.resume()
        elif self._call is None:
            self._next_request()

    def _look_unread(self) -> None:
        if self._transport is None:
            return
        left = self._transport.get_write_buffer_size()
        if left >= self._unread:
            self.abort()
            return
        self._count_unread(left)
        self._due = asyncio.get_running_loop().call_later(STALLED_S, self._look_unread)

    def _count_unread(self, size: int) -> None:
        self.budget.held += size - self._unread
        self._unread = size

    # -- A client that leaves: what it waits for is not sent on ---------------------------------------

    def look(self) -> None:
        """See whether the client has left, though nothing that it sent last was read yet."""
        if self._call is not None and has_ended(self._sock):
            self._client_gone()
            self.close()

    def _look_later(self) -> None:
        """While nothing is read, no event tells of a client that leaves."""
        if self._looking is None:
            self._looking = asyncio.get_running_loop().call_later(_LOOK_S, self._look_now)

    def _look_now(self) -> None:
        self._looking = None
        if self._transport is not None and not self._transport.is_closing():
            self.look()
            if self._call is not None and not self._transport.is_reading():
                self._look_later()

    # -- Reading --------------------------------------------------------------------------------------

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is held, begun or waiting unread."""
        held = self._call is not None or self._head is not None or self._stuck or self._h11.trailing_data[0]
        return not held and is_quiet(self._sock)

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

    def finish(self) -> None:
        """Close once what is written has arrived: closing on unread bytes would reset it away.

        A long answer under way can't become whole any more, and its client must be able to tell.
        """
        if self._source is not None:
            self.break_answer()
        elif self._lingering_until is None and not self.is_idle():
            self._linger()
        elif self._lingering_until is None:
            self.close()

    def _read(self) -> None:
        """Take what has come, up to the end of one request and a bounded number of events in a step."""
        if self._more:
            return  # its turn comes
        try:
            for _ in range(EVENTS_AT_ONCE):
                if not self._next_event():
                    break
            else:
                self._more = True
                self._read_or_not()
                asyncio.get_running_loop().call_soon(self._read_on)
            if self._call is None and (self._head is not None or self._h11.trailing_data[0]):
                self._await_request()
        except BadRequest as bad:
            self._reject(bad)
        except h11.RemoteProtocolError as bad:
            self._reject(BadRequest(400, str(bad)))
        except Exception:
            log.exception("a request could not be handled")  # a defect: its request fails, no other
            if self._transport is not None:
                self._reject(BadRequest(500, "internal error"))

    def _read_on(self) -> None:
        self._more = False
        self._read_or_not()
        if self._transport is not None and not self._transport.is_closing() and self._lingering_until is None:
            if self._upload is not None or (self._call is None and not self._stuck):
                self._read()

    def _read_or_not(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        was, self._paused = self._paused, self._more or (self._upload is not None and self._upload.is_full())
        if self._paused:
            if not was:
                self._unread_since = asyncio.get_running_loop().time()
            self._transport.pause_reading()
            self._look_later()
        else:
            self._transport.resume_reading()
            if was:
                self._count_body_anew()

    def _next_event(self) -> bool:
        if self._lingering_until is not None or self._transport is None or self._transport.is_closing():
            return False
        event = self._h11.next_event()
        if isinstance(event, h11.Request):
            self._head = event
            self._begin(event)
        elif isinstance(event, h11.Data):
            self._take(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._whole()
            return False
        return isinstance(event, h11.Request | h11.Data)

    def _begin(self, head: h11.Request) -> None:
        _check_framing(head)
        self._count_body_anew()
        length = int(next((v for n, v in head.headers if n == b"content-length"), b"0"))
        if length > LONGEST:
            raise BadRequest(413, "the body is too large")
        if length > HELD_WHOLE:
            self._begin_upload(head, length)
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(go_on) or b"")

    def _take(self, data: bytes) -> None:
        """Take some of the body."""
        self._body_came += len(data)
        if self._upload is not None:
            self._uploaded += len(data)
            if self._uploaded > LONGEST:
                raise BadRequest(413, "the body is too large")
            if self._uploaded == self._upload.length:
                self.look()  # its end may have come together with its client's leaving
            if self._upload is not None:
                self._upload.feed(data)
                self._read_or_not()
            return
        self._body += data
        self.budget.held += len(data)
        if not self.budget.may_hold(len(self._body)) and self._head is not None:
            self._begin_upload(self._head, None)

    def _begin_upload(self, head: h11.Request, length: int | None) -> None:
        """Pass a long body on as it comes, with its request taken before its end."""
        call = self._parsed(head, b"")
        if length is None:
            length = next((int(v) for n, v in head.headers if n == b"content-length"), None)
        self._await_request()
        self._upload = call.upload = Upload(length, self._read_or_not)
        self._uploaded = len(self._body)
        self.budget.streams += 1
        self._upload.feed(self._body)
        self._let_body_go()
        self.used = True
        self._call = call
        self._frontend.hooks.taken(call)
        self._read_or_not()

    def _end_upload(self) -> None:
        if self._upload is not None:
            self._upload = None
            self.budget.streams -= 1
            self._await_no_more()
            self._read_or_not()

    def _let_body_go(self) -> None:
        self.budget.held -= len(self._body)
        self._body = bytearray()

    def _parsed(self, head: h11.Request, body: bytes) -> Call:
        path = head.target.partition(b"?")[0]
        if path != _API_PATH and not path.startswith(_API_PATH + b"/"):
            raise BadRequest(404, "no such path")
        call = parse_call(head, body, self._answer, self._begin_answer, self._port)
        call.look = self.look
        _check_call(call, head, self._frontend.settings)
        return call

    def _whole(self) -> None:
        """A request has come whole."""
        head, body = self._head, bytes(self._body)
        assert head is not None
        self._await_no_more()
        self.used = True
        if self._upload is not None:
            self.look()  # likewise
            upload, call = self._upload, self._call
            if upload is None:
                return
            self._end_upload()
            upload.end()
            if call is not None:
                call.budget_us = self._time_left_us(call.budget_us)
                self._frontend.hooks.whole(call)
        elif head.target.partition(b"?")[0] == _READY_PATH:
            self._answer(200 if self._frontend.hooks.ready() else 503, [], b"")
        else:
            self._call = call = self._parsed(head, body)
            call.budget_us = self._time_left_us(call.budget_us)
            self._frontend.hooks.taken(call)

    def _reject(self, bad: BadRequest) -> None:
        log.info("request from port %d rejected: %.120s", self._port, bad)
        self._client_gone()  # nothing more of a body that was under way
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            self._answer(bad.status, [(b"Content-Type", b"text/plain")], f"{bad}\n".encode())
        elif self._call is None:
            self.close()

    # -- Answering ------------------------------------------------------------------------------------

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write an answer whole, at once; its connection goes on if framing allows."""
        self._call = None
        if self._transport is None or self._transport.is_closing():
            return
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        try:
            events: list[h11.Event] = [self._response(status, headers), h11.EndOfMessage()]
            if body:
                events.insert(1, h11.Data(data=body))
            data = b"".join(self._h11.send(each) or b"" for each in events)
        except h11.LocalProtocolError:
            log.exception("an answer can't be written")  # a defect; its client must not wait for ever
            self.abort()
            return
        self._transport.write(data)
        self._answered()

    def _response(self, status: int, headers: Headers) -> h11.Response:
        if self._frontend.draining or not self._came_whole():
            headers.append((b"Connection", b"close"))
        return h11.Response(status_code=status, headers=headers, reason=_REASONS.get(status, b""))

    def _came_whole(self) -> bool:
        """Whether all was read to the request's end; its connection may be about to end all the same."""
        return not self._drops and self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _answered(self) -> None:
        """An answer is written to its end: on to the next request, or to the end of the connection."""
        self._head = None
        self._let_body_go()
        self._end_upload()
        if not self._came_whole():
            self._linger()
        elif self._h11.our_state is not h11.DONE:
            (self.close if self._stuck else self.finish)()  # what is stuck is written first
        elif not self._stuck:
            asyncio.get_running_loop().call_soon(self._next_request)

    def _begin_answer(self, headers: Headers, length: int | None, source: Source) -> Sink | None:
        """Begin an answer that is passed on as it comes; None where the client has left."""
        if self._transport is None or self._transport.is_closing():
            return None
        if length is not None:
            headers = [*headers, (b"Content-Length", str(length).encode())]
        self._source = source
        self._transport.write(self._h11.send(self._response(200, list(headers))) or b"")
        return self

    def pass_on(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._h11.send(h11.Data(data=data)) or b"")
            if self._stuck:  # what its server had sent by then still comes: that is no standstill
                self._count_unread(self._transport.get_write_buffer_size())

    def end_answer(self) -> None:
        self._call = self._source = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")
            self._answered()

    def break_answer(self) -> None:
        """End the connection short of the answer's end, so that its client can tell."""
        if self._transport is not None and not self._transport.is_closing():
            if self._h11.their_http_version == b"1.0":
                self.abort()
            else:
                self.close()
        self._call = self._source = None

    def _linger(self) -> None:
        """End our side and drop what still comes: closing on unread bytes would reset the answer away."""
        if self._transport is not None and not self._transport.is_closing():
            loop = asyncio.get_running_loop()
            self._lingering_until = loop.time() + _LINGER_MOST_S
            self._transport.resume_reading()
            with contextlib.suppress(OSError):  # the client has ended it meanwhile
                self._transport.write_eof()
            self._linger_on()

    def _linger_on(self) -> None:
        loop = asyncio.get_running_loop()
        self._await_no_more()
        until = min(loop.time() + _LINGER_S, self._lingering_until or 0.0)
        self._due = loop.call_at(until, self._end_linger)

    def _end_linger(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._transport.abort()  # it does not read its answer: a close would wait for it
        else:
            self.close()

    def _next_request(self) -> None:
        """Turn to what came behind the answered request."""
        if self._transport is None or self._transport.is_closing() or self._call is not None or self._stuck:
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._frontend.rested(self)
            self._read_or_not()
            if ahead := self._h11.trailing_data[0]:
                log.info("port %d sent %d bytes behind its request: %.60r", self._port, len(ahead), ahead)
            self._read()

    def _client_gone(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            self._frontend.hooks.gone(call)
        self._end_upload()


def _inherited(fd: int) -> socket.socket:
    """The listening socket that the platform holds; OSError on anything else."""
    try:
        sock = socket.socket(fileno=fd)
    except OSError as fault:
        raise OSError(f"descriptor {fd}, where the clients' listening socket should be: {fault}") from None
    try:
        listens = bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
    except OSError:
        listens = False
    if not listens:
        sock.detach()  # it is not ours to close
        raise OSError(f"descriptor {fd} is no listening socket")
    return sock


class Frontend:
    """Listens for the application, within a bound on its connections."""

    def __init__(
        self,
        address: Address,
        most: int,
        hooks: Hooks,
        settings: Settings,
        inherited: int | None = None,
        budget: Budget | None = None,
        poll_times: PollTimes | None = None,
    ) -> None:
        self.hooks = hooks
        self.poll_times = poll_times or PollTimes(math.inf)  # without: input is never known to have waited
        self._backlog = BacklogAge(_BACKLOG)
        self.budget = budget or Budget()
        self.settings = settings
        self.draining = False
        self._letting_go: asyncio.TimerHandle | None = None
        self.connections: dict[ClientConnection, None] = {}  # the longest at rest first
        self._most = most
        self._accepting = False
        self._starting: set[asyncio.Task[None]] = set()
        self._opening: set[ClientConnection] = set()  # those accepted that are not among `connections` yet
        if inherited is None:
            self._sock = socket.create_server(address, backlog=_BACKLOG)
        else:
            self._sock = _inherited(inherited)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    def start(self) -> None:
        self._accept_again()

    def _accept_again(self) -> None:
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def _pause(self) -> None:
        """Leave new connections to the kernel's queue for now."""
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._sock)

    def _accept(self) -> bool:
        """Take connections that wait, a bounded number in a step: the operators' door must have its turn.

        Says whether more may be waiting.
        """
        self._sock.setblocking(False)  # an inherited socket shares its flags with whoever else holds it
        now, unread_since = asyncio.get_running_loop().time(), self.poll_times.unread_since
        for _ in range(_ACCEPTED_AT_ONCE):
            if len(self.connections) + len(self._opening) >= self._most:
                if not is_readable(self._sock):  # no room is made for nobody
                    self._backlog.emptied()
                    return False
                if not self._make_room():
                    self._backlog.left(unread_since, now)
                    self._pause_accepting()
                    return False
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self._backlog.emptied()
                return False
            except OSError as fault:
                log.error("accept: %s", fault)
                self._backlog.left(unread_since, now)
                self._pause_accepting()
                return False
            self._take(sock, self._backlog.oldest(unread_since))
            self._backlog.accepted(now)
        self._backlog.left(unread_since, now)
        return True

    def _pause_accepting(self) -> None:
        self._pause()
        asyncio.get_running_loop().call_later(_ACCEPT_PAUSE_S, self._accept_again)

    def _take(self, sock: socket.socket, established_after: float) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, sock, established_after)
        self._opening.add(connection)
        task = asyncio.get_running_loop().create_task(self._begin(sock, connection))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)

    async def _begin(self, sock: socket.socket, connection: ClientConnection) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except BaseException as fault:
            sock.close()
            if not isinstance(fault, OSError):
                raise
        finally:
            self._opening.discard(connection)

    def opened(self, connection: ClientConnection) -> None:
        """Count an accepted connection among those that are served from now on."""
        self._opening.discard(connection)
        self.connections[connection] = None

    def _make_room(self) -> bool:
        """Close the connection longest at rest, preferring one that has carried a request.

        A connection that carried none was opened for a request that may still be on its way.
        """
        chosen = self._longest_idle(used=True) or self._longest_idle(used=False)
        if chosen is None:
            return False
        chosen.close()
        del self.connections[chosen]
        return True

    def _longest_idle(self, used: bool) -> ClientConnection | None:
        """Find the first closable connection; it stops there, as each look at one is a system call."""
        return next((each for each in self.connections if each.used is used and each.is_idle()), None)

    def rested(self, connection: ClientConnection) -> None:
        """A connection has begun to rest, or to wait for its next request."""
        if self.connections.pop(connection, self) is None:
            self.connections[connection] = None

    def lost(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)

    def drain(self, kept_s: float = 0.0) -> None:
        """Send clients away until `undrain`: each answer ends its connection, and those at rest are closed.

        New connections are still taken: a request that crosses the closing of its connection comes again.
        Those at rest are kept for `kept_s`, so that most end by an answer and are crossed by nothing.
        """
        if not self.draining:
            self.draining = True
            self._let_go(asyncio.get_running_loop().time() + kept_s)

    def _let_go(self, kept_until: float) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() >= kept_until:
            self.close_idle(used=True)
        self._letting_go = loop.call_later(_LET_GO_EVERY_S, self._let_go, kept_until)

    def undrain(self) -> None:
        """Be there for clients again."""
        self.draining = False
        if self._letting_go is not None:
            self._letting_go.cancel()

    def close_idle(self, used: bool) -> None:
        """Close what is at rest; with `used`, not what was just opened for a request still on its way."""
        for connection in list(self.connections):
            if connection.is_idle() and (connection.used or not used):
                connection.close()

    def stop(self, take: bool = True) -> None:
        """Listen no more; with `take`, not before all that waits is taken.

        An inherited socket is closed here and never shut down: it goes on at others that hold it.
        """
        if self._sock.fileno() >= 0:
            while take and self._accept():
                pass
            if self._accepting:
                self._pause()
            self._sock.close()

    def is_empty(self) -> bool:
        return not self.connections and not self._starting

    async def close(self, within_s: float) -> None:
        """End all connections, each with its answer on the wire first; none lasts longer than `within_s`."""
        if self._letting_go is not None:
            self._letting_go.cancel()
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        for connection in list(self.connections):
            connection.finish()
        while not self.is_empty() and loop.time() < until:
            await asyncio.sleep(_FLUSH_STEP_S)
        for begun in (starting := list(self._starting)):
            begun.cancel()
        await asyncio.gather(*starting, return_exceptions=True)
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)  # their ends are told in the next turn
