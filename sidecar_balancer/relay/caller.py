"""One caller of a relay: reads its call within bounds, writes the answer in pieces, drops slow readers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import h11

from sidecar_balancer.admin.server import RequestRejectedError
from sidecar_balancer.relay.requests import ListCall, read_call

HEAD_WITHIN_S = 2.0  # what a call may take to come
ANSWER_WITHIN_S = 5.0  # what a caller may take to read its answer
_HEAD_MOST = 8 * 1024  # bytes of a call's head
_SEND_BUFFER = 256 * 1024  # bytes that the kernel may hold for a caller
_PIECE = 64 * 1024  # bytes written at a time: no more of an answer is held for a slow caller

Headers = list[tuple[str, str]]


class CallHandler(Protocol):
    """What a caller's connection needs of the relay."""

    def connected(self, caller: Caller) -> bool:
        """Count a new connection; False: there are too many, it is closed."""

    def called(self, caller: Caller, call: ListCall | None) -> None:
        """Answer a call, now or later.  None asks for readiness."""

    def rejected(self, caller: Caller, bad: RequestRejectedError) -> None:
        """Count a call that is no proper one; it has been answered."""

    def dropped(self, caller: Caller) -> None:
        """Count a caller that did not read its answer in time."""

    def lost(self, caller: Caller) -> None:
        """Forget a connection that has ended, whoever ended it."""


class Caller(asyncio.Protocol):
    """A connection that carries one call and its answer."""

    def __init__(self, handler: CallHandler) -> None:
        self._handler = handler
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_HEAD_MOST)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._asked = False  # a call has come, or was refused
        self._body = memoryview(b"")  # of the answer, what is still to be written
        self._deadline: asyncio.TimerHandle | None = None
        self.wait: asyncio.TimerHandle | None = None  # when the relay answers it at the latest

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        if sock is not None:  # the kernel's memory for a slow caller is bounded too
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER)
        if not self._handler.connected(self):
            transport.abort()
            return
        self._set_deadline(HEAD_WITHIN_S, self._head_late)

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timers()
        self._transport = None
        self._body = memoryview(b"")
        self._handler.lost(self)

    def eof_received(self) -> bool:
        return False  # a caller that ends its side has gone

    def data_received(self, data: bytes) -> None:
        if self._asked:
            return  # what comes behind the call is dropped
        try:
            self._h11.receive_data(data)
            call = self._read()
        except h11.RemoteProtocolError as bad:
            self._reject(RequestRejectedError(400, str(bad)[:100]))
        except RequestRejectedError as bad:
            self._reject(bad)
        else:
            if call is not None:
                self._asked = True
                self._cancel_timers()
                self._handler.called(self, call[0])

    def _read(self) -> tuple[ListCall | None] | None:
        """Return the call once it has come whole."""
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.Data):
                raise RequestRejectedError(400, "a call has no body")
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                return (read_call(self._head),)
            else:
                return None

    def _reject(self, bad: RequestRejectedError) -> None:
        self._asked = True
        self._handler.rejected(self, bad)
        self.answer(bad.status, [("Content-Type", "text/plain")], f"{bad}\n".encode())

    def _head_late(self) -> None:
        self._reject(RequestRejectedError(408, "the call did not come in time"))

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the answer and end the connection; a caller that has gone is passed over."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._cancel_timers()
        self._set_deadline(ANSWER_WITHIN_S, self._too_slow)
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self._body = memoryview(body)
        transport.write("\r\n".join(lines).encode() + self._next_piece())
        self._pump()

    def _next_piece(self) -> bytes:
        piece, self._body = self._body[:_PIECE], self._body[_PIECE:]
        return bytes(piece)

    def _pump(self) -> None:
        """Write on until the kernel takes no more; then close."""
        transport = self._transport
        while transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size():
                return  # resume_writing comes
            if not self._body:
                transport.close()
                return
            transport.write(self._next_piece())

    def resume_writing(self) -> None:
        if self._asked:  # in the next step: the transport may not be closed from within this call
            asyncio.get_running_loop().call_soon(self._pump)

    def _too_slow(self) -> None:
        self._handler.dropped(self)
        self.abort()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _set_deadline(self, within_s: float, late: Callable[[], None]) -> None:
        self._deadline = asyncio.get_running_loop().call_later(within_s, late)

    def _cancel_timers(self) -> None:
        for timer in (self._deadline, self.wait):
            if timer is not None:
                timer.cancel()
        self._deadline = self.wait = None
