"""Requests on a connection to a server, with buffered or streamed bodies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

from sidecar_balancer.runtime.head_buffer import MAX_CHUNKS_PIECE_BYTES
from sidecar_balancer.runtime.memory_budget import MemoryBudget
from sidecar_balancer.runtime.streams import (
    BufferedReceiver,
    ResponseSink,
    ResponseSource,
    Upload,
)
from sidecar_balancer.upstream.response import Response

StartStreaming = Callable[[h11.Response, int | None, ResponseSource], ResponseSink | None]
"""Returns the sink of a long response with this head and length; None if no client waits for it any more."""


class RequestConnection(BufferedReceiver):
    """The request side of a connection to a server; subclasses read the responses.

    Attributes:
        response_began: Whether a byte of the response was received, which shows that the process is up.
    """

    def __init__(self, memory_budget: MemoryBudget) -> None:
        """Count bodies in `memory_budget`."""
        super().__init__(memory_budget)
        self.response_began = False
        self._h11 = h11.Connection(h11.CLIENT, MAX_CHUNKS_PIECE_BYTES)
        self._on_response: Callable[[Response | None], None] | None = None
        self._start_streaming: StartStreaming | None = None
        self._written = False
        self._write_buffer_full = False  # not all written data has gone to the kernel yet
        self._request_count = 0  # number of requests, including the one in flight
        self._request_sent_at = 0.0  # time on the event loop's clock
        self._upload: Upload | None = None  # set while a long request body is streamed
        self._progress = 0  # grows with each byte in or out

    @property
    def written(self) -> bool:
        """Whether the request's last byte has gone to the kernel."""
        return self._written

    @property
    def awaits_reader(self) -> bool:
        """Whether written data waits because the server does not read."""
        return self._write_buffer_full

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._update_charge()
        transport.set_write_buffer_limits(high=0)  # resume_writing then means that the kernel has all data

    def _check_progress(self, last_progress: int | None = None) -> None:
        """Watch a streamed body for stalls, given the progress at the last check."""
        raise NotImplementedError

    def request(
        self,
        head: h11.Request,
        body: bytes,
        on_response: Callable[[Response | None], None],
        upload: Upload | None = None,
        start_streaming: StartStreaming | None = None,
    ) -> None:
        """Write a request.

        Args:
            head: The request's head.
            body: The body, if it is buffered.
            on_response: Called once, with the complete response or with None if the exchange failed.
            upload: The streamed body, in place of `body`; it must be available.
            start_streaming: Returns the sink of a response that is too long to be buffered, which is then
                reported without its body.  If None, such a response fails.

        Raises:
            h11.LocalProtocolError: If the request is not valid HTTP; no byte was written.
        """
        assert self._transport is not None
        data = self._h11.send(head) or b""
        self._on_response, self._start_streaming = on_response, start_streaming
        self._written = self.response_began = False
        self._request_count += 1
        self._request_sent_at = asyncio.get_running_loop().time()
        if upload is not None:
            self._upload = upload
            self._transport.write(data)
            self._update_charge()
            self._check_progress()
            upload.attach(self._write_upload)
            self._write_upload()
            return
        events = [h11.Data(data=body), h11.EndOfMessage()] if body else [h11.EndOfMessage()]
        data += b"".join(self._h11.send(event) or b"" for event in events)
        self._transport.write(data)
        self._update_charge()
        self._update_written()

    def _update_written(self) -> None:
        # A failed write closes the transport and empties its buffer without sending any of it.
        assert self._transport is not None
        self._written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def _write_upload(self) -> None:
        """Write the received part of a streamed body as long as the server reads."""
        while self._upload is not None and not self._write_buffer_full and self._transport is not None:
            if self._transport.is_closing():
                return
            if data := self._upload.read():
                self._progress += len(data)
                self._transport.write(self._h11.send(h11.Data(data=data)) or b"")
                self._update_charge()
            elif self._upload.is_complete:
                self._detach_upload()
                self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")
                self._update_written()
            else:
                return

    def _detach_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.detach()

    def pause_writing(self) -> None:
        """Pause writing until the server has read."""
        self._write_buffer_full = True

    def resume_writing(self) -> None:
        """Continue after all written data has gone to the kernel."""
        self._write_buffer_full = False
        self._progress += 1
        self._update_charge()
        if self._upload is not None:
            self._write_upload()
        else:
            self._written = self._on_response is not None
