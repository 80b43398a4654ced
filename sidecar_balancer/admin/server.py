"""The operators' door: HTTP/1.1, one call to a connection.  It reads calls and answers; it decides nothing.

A call that has come whole is answered in the step of the event loop that finds it: under load each further
step may take a good part of the second in which an answer is owed, so no tasks and no transports are used.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from urllib.parse import unquote

import h11

from sidecar_balancer.addresses import Address

log = logging.getLogger(__name__)

CONNECTIONS_MOST = 16  # beyond it the longest unfinished is dropped: those who hold one keep no caller out
_WHOLE_S = 2.0  # how long a call may take to come
_LINGER_S = 1.0  # how long an answered connection is read on, so that its answer arrives
_BODY_MOST = 4096  # of a call: none needs any
_HEAD_MOST = 16 * 1024
_PIECE = 16 * 1024
_PATH = "/api/"


class RequestRejectedError(Exception):
    """The answer to a call is no; the status tells what kind of no."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


Operation = Callable[[str], str | None]
"""What a call does with the id in its path, empty where the call has none;
raises RequestRejectedError for a no.  What it gives back is the answer's body; None: "yes"."""


class AdminServer:
    """Listens for the operators.  `operations` gives method and operation by the call's name; those whose
    name ends in a slash take an id."""

    def __init__(self, address: Address, operations: dict[str, tuple[str, Operation]]) -> None:
        self._operations = operations
        self._callers: dict[Caller, None] = {}  # the oldest first
        self._sock = socket.create_server(address, backlog=CONNECTIONS_MOST * 8)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    def start(self) -> None:
        asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def stop(self) -> None:
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
        for caller in list(self._callers):
            caller.close()

    def _accept(self) -> None:
        for _ in range(CONNECTIONS_MOST):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:  # descriptors lacking: one is made free, and the next step tries again
                log.error("the operators' door: %s", fault)
                if self._callers:
                    next(iter(self._callers)).close()
                return
            if len(self._callers) >= CONNECTIONS_MOST:
                next(iter(self._callers)).close()
            caller = Caller(sock, self._call, self._callers)
            self._callers[caller] = None
            caller.read()  # what is there already is answered in this step

    def _call(self, head: h11.Request) -> tuple[int, str]:
        """Carry a call out; give status and words of its answer."""
        method, target = head.method.decode(), head.target.decode("latin-1")
        try:
            name, ident = self._named(target)
            needed, operation = self._operations[name]
            if method != needed:
                raise RequestRejectedError(405, f"{needed} is needed")
            said = operation(ident)
        except RequestRejectedError as no:
            if method != "GET":  # who waits for a start asks many times a second
                log.info("operators: %s %.100s: no, %s", method, target, no, extra={"event": "operators_no"})
            return no.status, str(no)
        except Exception:
            log.exception("the call %s %.100s failed", method, target)  # a defect; the door goes on
            return 500, "internal error"
        if method != "GET":
            log.info("operators: %s %.100s: yes", method, target, extra={"event": "operators_yes"})
        return 200, "yes" if said is None else said

    def _named(self, target: str) -> tuple[str, str]:
        path = target.partition("?")[0]
        name, slash, ident = path.removeprefix(_PATH).partition("/")
        if not path.startswith(_PATH) or name + slash not in self._operations or (slash and not ident):
            raise RequestRejectedError(404, "no such call")
        return name + slash, unquote(ident)


class Caller:
    """One connection to the door."""

    def __init__(
        self,
        sock: socket.socket,
        call: Callable[[h11.Request], tuple[int, str]],
        callers: dict[Caller, None],
    ) -> None:
        loop = asyncio.get_running_loop()
        self._sock = sock
        self._call = call
        self._callers = callers
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_HEAD_MOST)
        self._head: h11.Request | None = None
        self._body = 0
        self._answered = False
        self._due = loop.call_later(_WHOLE_S, self._too_slow)
        sock.setblocking(False)
        loop.add_reader(sock, self.read)

    def read(self) -> None:
        try:
            data = self._sock.recv(_PIECE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if self._answered:
            if not data:
                self.close()
            return  # what comes behind the call is dropped
        try:
            self._h11.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as bad:
            self._answer(400, str(bad))
        except RequestRejectedError as no:
            self._answer(no.status, str(no))

    def _read_events(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._head = event
                if self._h11.they_are_waiting_for_100_continue:
                    self._send(self._h11.send(h11.InformationalResponse(status_code=100, headers=[])))
            elif isinstance(event, h11.Data):
                self._body += len(event.data)
                if self._body > _BODY_MOST:
                    raise RequestRejectedError(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                self._answer(*self._call(self._head))
                return
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            else:
                return

    def _too_slow(self) -> None:
        if self._answered:
            self.close()
        else:
            self._answer(408, "the call did not come in time")

    def _answer(self, status: int, words: str) -> None:
        """Answer and end our side; closing on unread bytes would reset the answer away."""
        body = f"{words}\n".encode()
        length = (b"Content-Length", str(len(body)).encode())
        headers = [(b"Content-Type", b"text/plain"), length, (b"Connection", b"close")]
        self._answered = True
        self._due.cancel()
        self._due = asyncio.get_running_loop().call_later(_LINGER_S, self.close)
        for event in (h11.Response(status_code=status, headers=headers), h11.Data(data=body)):
            self._send(self._h11.send(event))
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _send(self, data: bytes | None) -> None:
        with contextlib.suppress(
            OSError
        ):  # a few bytes, the first of their connection: they fit or it is broken
            self._sock.send(data or b"")

    def close(self) -> None:
        self._due.cancel()
        if self._callers.pop(self, self) is None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
