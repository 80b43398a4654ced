"""Admin server: HTTP/1.1 with one call per connection.  It only parses calls and routes them to handlers.

A complete call that changes nothing on disk is answered in the event loop iteration that reads it: under load
each further iteration may take a large part of the second within which a response is due, so no tasks or
transports are used.  A change is stored by the file worker and answered in the iteration after that.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple
from urllib.parse import unquote

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.runtime.background import Completion, FileWorker
from sidecar_balancer.runtime.errors import RequestError

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # limit beyond which the oldest is closed, so that idle callers do not block others
_BACKLOG = 8 * MAX_CONNECTIONS
_REQUEST_TIMEOUT_S = 2.0
_CHANGE_TIMEOUT_S = 10.0  # time limit for a change to be stored
_LINGER_S = 1.0  # time for which a connection stays open after its response, so that it is delivered
_MAX_BODY_BYTES = 4096  # maximum body size of a request; no call needs a body
_MAX_HEAD_BYTES = 16 * 1024
_READ_BYTES = 16 * 1024
_API_PREFIX = "/api/"
_NOT_STORED_BODY = "the order was not stored in time, and may still be"
_TIMEOUT_BODY = "the call did not come in time"


class RequestRejectedError(RequestError):
    """A rejected admin API call; the message is the body of the response."""


class StoredChange(NamedTuple):
    """The rest of a call that stores something.

    Attributes:
        operation: Stores it; the file worker runs this.
        complete: Applies what was stored, on the event loop; may raise RequestRejectedError.
    """

    operation: Callable[[], Any]
    complete: Callable[[Completion[Any]], None]


class Route(NamedTuple):
    """An admin API call.

    The handler takes the name in the path, "" for a call without one, and returns the response body, None for
    the body "yes", or the change that is to be stored first.  It may raise RequestRejectedError.
    """

    method: str
    handle: Callable[[str], str | StoredChange | None]


class Response(NamedTuple):
    """The response to a call."""

    status: int
    body: str


class AdminServer:
    """Listens for admin API calls.

    `routes` maps paths below /api/ to their routes; a path that ends in a slash is followed by a name.
    """

    def __init__(
        self, address: Address, routes: dict[str, Route], file_worker: FileWorker | None = None
    ) -> None:
        self._routes = routes
        self._file_worker = file_worker or FileWorker()
        self._connections: dict[AdminConnection, None] = {}  # oldest first
        self._sock = socket.create_server(address, backlog=_BACKLOG)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def start(self) -> None:
        """Start to accept connections."""
        asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> None:
        for _ in range(MAX_CONNECTIONS):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # out of descriptors: free one, and accept in the next iteration
                self._report_accept_failure(error)
                self._close_oldest()
                return
            if len(self._connections) >= MAX_CONNECTIONS:
                self._close_oldest()
            connection = AdminConnection(sock, self._handle, self._connections)
            self._connections[connection] = None
            connection.read()  # a call that has already arrived is answered in this iteration

    @staticmethod
    def _report_accept_failure(error: OSError) -> None:
        log.error("admin server: accept failed: %s", error, extra={"event": "admin_accept_failed"})

    def _close_oldest(self) -> None:
        if self._connections:
            next(iter(self._connections)).close()

    def _handle(self, request: h11.Request, respond: Callable[[Response], None]) -> None:
        """Call `respond` once, now or when a change has been stored."""
        method, target = request.method.decode(), request.target.decode("latin-1")

        def handle() -> str | StoredChange | None:
            route, name = self._route(method, target)
            return route.handle(name)

        result = self._result(method, target, handle)
        if isinstance(result, StoredChange):
            completed = partial(self._change_stored, method, target, result, respond)
            self._file_worker.start(result.operation, completed)
        else:
            respond(result)

    def _change_stored(
        self,
        method: str,
        target: str,
        change: StoredChange,
        respond: Callable[[Response], None],
        completion: Completion[Any],
    ) -> None:
        result = self._result(method, target, partial(change.complete, completion))
        assert isinstance(result, Response)
        respond(result)

    @staticmethod
    def _result(
        method: str, target: str, handle: Callable[[], str | StoredChange | None]
    ) -> Response | StoredChange:
        """Return the response to a call, or the change that is to be stored before."""
        try:
            body = handle()
        except RequestRejectedError as rejection:
            if method != "GET":  # a caller that waits for a start polls many times a second
                log.info(
                    "admin call %s %.100s rejected: %s",
                    method,
                    target,
                    rejection,
                    extra={"event": "admin_call_rejected"},
                )
            return Response(rejection.status, str(rejection))
        except Exception:  # a defect in a handler; the server keeps running
            log.exception("admin call %s %.100s failed", method, target, extra={"event": "admin_call_failed"})
            return Response(500, "internal error")
        if isinstance(body, StoredChange):
            return body
        if method != "GET":
            log.info("admin call %s %.100s accepted", method, target, extra={"event": "admin_call_accepted"})
        return Response(200, "yes" if body is None else body)

    def _route(self, method: str, target: str) -> tuple[Route, str]:
        """Return the route of a call and the name in its path; raise RequestRejectedError without one."""
        path = target.partition("?")[0]
        call, slash, name = path.removeprefix(_API_PREFIX).partition("/")
        is_known = path.startswith(_API_PREFIX) and call + slash in self._routes
        if not is_known or (slash and not name):
            raise RequestRejectedError(404, "no such call")
        route = self._routes[call + slash]
        if method != route.method:
            raise RequestRejectedError(405, f"{route.method} is needed")
        return route, unquote(name)


class AdminConnection:
    """A connection to the admin server, which carries one call."""

    def __init__(
        self,
        sock: socket.socket,
        handle: Callable[[h11.Request, Callable[[Response], None]], None],
        connections: dict[AdminConnection, None],
    ) -> None:
        loop = asyncio.get_running_loop()
        self._sock = sock
        self._handle = handle
        self._connections = connections
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body_bytes = 0
        self._is_handling = False  # the call was received completely, and its response is due
        self._has_responded = False
        self._timeout = loop.call_later(_REQUEST_TIMEOUT_S, self._time_out)
        sock.setblocking(False)
        loop.add_reader(sock, self.read)

    def read(self) -> None:
        """Read the received data, and respond once the call is complete."""
        try:
            data = self._sock.recv(_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if self._is_handling:
            if not data:  # the caller may still read
                asyncio.get_running_loop().remove_reader(self._sock)
            return
        if self._has_responded:
            if not data:
                self.close()
            return  # anything after the call is discarded
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._respond(Response(400, str(error)))
        except RequestRejectedError as rejection:
            self._respond(Response(rejection.status, str(rejection)))

    def _process_events(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._request = event
                if self._h11.they_are_waiting_for_100_continue:
                    self._send(self._h11.send(h11.InformationalResponse(status_code=100, headers=[])))
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > _MAX_BODY_BYTES:
                    raise RequestRejectedError(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                assert self._request is not None
                self._is_handling = True
                self._timeout.cancel()
                self._timeout = asyncio.get_running_loop().call_later(_CHANGE_TIMEOUT_S, self._time_out)
                self._handle(self._request, self._respond)
                return
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            else:
                return

    def _time_out(self) -> None:
        if self._has_responded:
            self.close()
        elif self._is_handling:
            self._respond(Response(500, _NOT_STORED_BODY))
        else:
            self._respond(Response(408, _TIMEOUT_BODY))

    def _respond(self, response: Response) -> None:
        """Respond and shut down the sending side; no effect if the connection was closed or has a response.

        A close with unread input would reset the connection, and the response would be lost.
        """
        if self._has_responded or self not in self._connections:
            return
        self._is_handling = False
        body = f"{response.body}\n".encode()
        headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        self._has_responded = True
        self._timeout.cancel()
        self._timeout = asyncio.get_running_loop().call_later(_LINGER_S, self.close)
        self._send(self._h11.send(h11.Response(status_code=response.status, headers=headers)))
        self._send(self._h11.send(h11.Data(data=body)))
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _send(self, data: bytes | None) -> None:
        # The first few bytes on the connection: they fit the socket buffer unless the connection is broken.
        with contextlib.suppress(OSError):
            self._sock.send(data or b"")

    def close(self) -> None:
        """Close the connection; repeated calls do nothing."""
        self._timeout.cancel()
        if self._connections.pop(self, self) is None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
