"""The request side of a client connection while it is paused or streams a long body to a server."""

from __future__ import annotations

import asyncio
import socket

import h11

from sidecar_balancer.downstream.arrival import MIN_RECEIVE_WINDOW_BYTES, ArrivalEstimate
from sidecar_balancer.downstream.request import ClientRequest
from sidecar_balancer.downstream.request_deadline import RequestDeadline
from sidecar_balancer.downstream.request_phase import RequestPhase
from sidecar_balancer.downstream.response_connection import ConnectionContext, ResponseConnection
from sidecar_balancer.runtime.errors import RequestError
from sidecar_balancer.runtime.memory_budget import REQUEST_BYTES
from sidecar_balancer.runtime.sockets import has_no_unread_input, peer_has_closed, unread_bytes
from sidecar_balancer.runtime.streams import MAX_REQUEST_BODY_BYTES, Upload

_CLIENT_CHECK_INTERVAL_S = 0.1  # interval between disconnect checks of a client that is not read
_HIDDEN_CLOSE_S = 0.05  # no attempt may begin 0.1 s after its client has closed


class UploadConnection(ResponseConnection):
    """A client connection whose reading pauses while a server takes a streamed body more slowly.

    Attributes:
        has_served: Whether it has carried a request.
    """

    def __init__(self, owner: ConnectionContext, sock: socket.socket, established_after: float) -> None:
        """Serve an accepted socket that was connected after this time on the event loop's clock."""
        super().__init__(sock, owner)
        self.has_served = False
        self._deadline = RequestDeadline()
        self._arrival = ArrivalEstimate(sock, owner.poll_times, established_after)
        self._upload_bytes = 0  # bytes of the streamed body received so far
        self._reading_paused = False
        self._client_check_timer: asyncio.TimerHandle | None = None

    def _respond_with_error(self, error: RequestError) -> None:
        """End the request, if one is in flight, with an error response."""
        raise NotImplementedError

    def _parse_request(self, head: h11.Request, body: bytes) -> ClientRequest:
        """Parse and validate a request; raises RequestError."""
        raise NotImplementedError

    def _start_request_timer(self) -> None:
        """Start the time limit for receiving the request, unless it runs."""
        raise NotImplementedError

    # -- Clients that disconnect

    def check_connected(self) -> None:
        """Report a client that has disconnected, even if its last input has not been read yet."""
        if self._request is not None and peer_has_closed(self._sock):
            self._client_disconnected()
            self.close()
        elif self._request is not None and self._upload is None and self._client_may_have_left():
            self._respond_with_error(RequestError(503, "more is sent ahead than can be read"))

    def _client_disconnected(self) -> None:
        client_request, self._request = self._request, None
        if client_request is not None:
            self._owner.handler.client_disconnected(client_request)
        self._end_upload()

    def _schedule_client_check(self) -> None:
        """Schedule a check of the client: while reading is paused, no event reports a disconnect."""
        if self._client_check_timer is None:
            loop = asyncio.get_running_loop()
            self._client_check_timer = loop.call_later(_CLIENT_CHECK_INTERVAL_S, self._run_client_check)

    def _run_client_check(self) -> None:
        self._client_check_timer = None
        if self._transport is not None and not self._transport.is_closing():
            self.check_connected()
            if self._request is not None and not self._transport.is_reading():
                self._schedule_client_check()

    # -- Reading

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        was_paused = self._reading_paused
        upload_is_full = self._upload is not None and self._upload.is_full()
        self._reading_paused = self._parse_scheduled or upload_is_full or self._is_too_far_ahead()
        if self._reading_paused:
            if not was_paused:
                self._arrival.reading_paused(asyncio.get_running_loop().time())
            self._transport.pause_reading()
            self._schedule_client_check()
        else:
            self._transport.resume_reading()
            if was_paused:
                now = asyncio.get_running_loop().time()
                self._arrival.reading_resumed(now)
                self._deadline.restart_body(now)
        self._update_charge()

    def _is_too_far_ahead(self) -> bool:
        """Return whether input waits that can't be parsed yet, and there is no room for more of it."""
        is_waiting = self._write_blocked or self._phase() in (RequestPhase.RESPONDING, RequestPhase.ANSWERED)
        return is_waiting and len(self._input) >= self.memory_budget.read_ahead_size()

    def _client_may_have_left(self) -> bool:
        """Return whether unread input may have hidden for some time that the client has closed."""
        unread_since = self._arrival.unread_since
        if not self._reading_paused or unread_since is None:
            return False
        hidden_s = asyncio.get_running_loop().time() - unread_since
        return hidden_s > _HIDDEN_CLOSE_S and unread_bytes(self._sock) >= MIN_RECEIVE_WINDOW_BYTES

    def _held_bytes(self) -> int:
        held_bytes = super()._held_bytes()
        if self._request is not None:
            held_bytes += REQUEST_BYTES + len(self._request.body)
        return held_bytes

    # -- The streamed body

    def _receive_upload(self, upload: Upload, data: bytes | bytearray) -> None:
        self._upload_bytes += len(data)
        if self._upload_bytes > MAX_REQUEST_BODY_BYTES:
            raise RequestError(413, "the body is too large")
        if self._upload_bytes == upload.length:
            self.check_connected()  # a disconnect may arrive together with the end of the body
        if self._upload is not None:
            self._upload.feed(data)
            self._update_reading()

    def _begin_upload(self, head: h11.Request, length: int | None) -> None:
        """Stream a long body; its request is handled before the body is complete."""
        client_request = self._parse_request(head, b"")
        self._start_request_timer()
        self._upload = client_request.upload = Upload(
            length, self._update_reading, self._input_unread_since, self.memory_budget
        )
        self._upload_bytes = len(self._body)
        self.memory_budget.active_streams += 1
        self._upload.feed(self._body)
        self._release_body()
        self.has_served = True
        self._request = client_request
        self._owner.handler.request_received(client_request)
        self._update_reading()

    def _input_unread_since(self) -> float | None:
        """Return the time since which the rest of a request may have been sent; None if it was not."""
        if not self._parse_scheduled and has_no_unread_input(self._sock):
            self._arrival.input_drained(asyncio.get_running_loop().time())
        return self._arrival.unread_since

    def _end_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            if not self._request_was_read():
                upload.discard()  # no server may get a request whose end is missing
            self.memory_budget.active_streams -= 1
            self._stop_timer()
            self._update_reading()

    def _complete_upload(self) -> None:
        self.check_connected()  # a disconnect may arrive together with the end of the body
        upload, client_request = self._upload, self._request
        if upload is None:
            return
        self._end_upload()
        upload.end()
        if client_request is not None:
            client_request.remaining_us = self._arrival.subtract_delay(client_request.remaining_us)
            self._owner.handler.body_completed(client_request)
