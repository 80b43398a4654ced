"""The requests on a connection to a server, with buffered or streamed bodies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

from sidecar_balancer.runtime.streams import (
    BodyMemory,
    BufferedReceiver,
    ResponseSink,
    ResponseSource,
    Upload,
)
from sidecar_balancer.upstream.response import Response

StartStreaming = Callable[[h11.Response, int | None, ResponseSource], ResponseSink | None]
"""Returns the sink of a long response with this head and length; None where nobody waits for it any more."""


class RequestConnection(BufferedReceiver):
    """A connection to a server as far as requests go; subclasses read the responses.

    Attributes:
        response_began: Whether a byte of the response was received: the process is up.
    """

    def __init__(self, body_memory: BodyMemory) -> None:
        """Count bodies in `body_memory`."""
        super().__init__(body_memory)
        self.response_began = False
        self._h11 = h11.Connection(h11.CLIENT)
        self._on_response: Callable[[Response | None], None] | None = None
        self._start_streaming: StartStreaming | None = None
        self._written = False
        self._write_buffer_full = False  # not all that was written has gone to the kernel
        self._request_count = 0  # the request in flight included
        self._request_sent_at = 0.0  # on the event loop's clock
        self._upload: Upload | None = None  # the rest of a long request body
        self._progress = 0  # grows with each byte in or out

    @property
    def written(self) -> bool:
        """Whether the request's last byte has gone to the kernel."""
        return self._written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing then means: all is with the kernel

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
            body: The body, where it is buffered.
            on_response: Called once, with the complete response or with None if the exchange broke.
            upload: The body in place of `body`, where it is streamed.
            start_streaming: Where a response goes that is too long to be buffered; it is complete without its
                body then.  None: such a response fails.

        Raises:
            h11.LocalProtocolError: If the request is no valid HTTP; no byte was written.
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
        """Write what has come of a streamed body, while the server reads it."""
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
        """Wait for the server to read."""
        self._write_buffer_full = True

    def resume_writing(self) -> None:
        """Note that all that was written has gone to the kernel."""
        self._write_buffer_full = False
        self._progress += 1
        if self._upload is not None:
            self._write_upload()
        else:
            self._written = self._on_response is not None
