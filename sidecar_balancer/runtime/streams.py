"""Streaming of long bodies in bounded memory, and the parsing shared by both sides of the proxy.

Reading from a peer pauses while the other side reads more slowly than the peer sends.  So each stream buffers
a few reads at most; the more streams there are, the smaller each read is.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # bodies up to this size are buffered, so that the request can be retried
MAX_REQUEST_BODY_BYTES = 32 * 1024 * 1024
MAX_EVENTS_PER_TURN = 200  # limit on parser events, as one read may contain thousands of tiny chunks
STALL_TIMEOUT_S = 10.0  # limit on the time without progress; slow peers may pause for seconds
_MAX_READ_BYTES = 64 * 1024
_MIN_READ_BYTES = 4 * 1024
_BUFFERS_PER_STREAM = 4  # the data read, parsed and waiting to be written, and copies between these stages
_BODY_MEMORY_RATIO = 0.125  # share of the memory limit for streams, and the same share for buffered bodies
_DEFAULT_MEMORY_MB = 64


class BodyMemory:
    """The memory that the bodies of one sidecar may occupy.

    Attributes:
        active_streams: The number of long bodies that are being streamed.
        buffered_bytes: The total size of the buffered bodies.
        read_view: The buffer that all connections read into, one at a time; valid until the next read.
    """

    def __init__(self, memory_mb: int = _DEFAULT_MEMORY_MB) -> None:
        """Derive the limits from the sidecar's memory limit in MiB."""
        self._max_bytes = int(memory_mb * 1024 * 1024 * _BODY_MEMORY_RATIO)
        self.read_view = memoryview(bytearray(_MAX_READ_BYTES))
        self.active_streams = 0
        self.buffered_bytes = 0

    def read_size(self) -> int:
        """Return the maximum number of bytes to read from one peer at a time."""
        fair_share = self._max_bytes // (_BUFFERS_PER_STREAM * max(self.active_streams, 1))
        return max(_MIN_READ_BYTES, min(_MAX_READ_BYTES, fair_share))

    def may_buffer(self, size: int) -> bool:
        """Return whether a body that has grown to this size may stay buffered."""
        return size <= MAX_BUFFERED_BODY_BYTES and self.buffered_bytes <= self._max_bytes


class BufferedReceiver(asyncio.BufferedProtocol):
    """A connection that is read and parsed in bounded steps, and whose bodies count in the shared memory."""

    def __init__(self, body_memory: BodyMemory) -> None:
        """Count the bodies of this connection in `body_memory`."""
        self.body_memory = body_memory
        self._transport: asyncio.Transport | None = None
        self._body = bytearray()  # body of the message that is being received
        self._parse_scheduled = False  # parsing continues in the next turn
        self._read_was_full = False  # the last read filled the buffer, so that more may be unread

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next bytes received."""
        return self.body_memory.read_view[: self.body_memory.read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were received into the buffer."""
        self._read_was_full = nbytes >= self.body_memory.read_size()
        self.data_received(bytes(self.body_memory.read_view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle input."""
        raise NotImplementedError

    def _handle_next_event(self) -> bool:
        """Handle one event of the parser; return whether to handle another."""
        raise NotImplementedError

    def _continue_parsing(self) -> None:
        """Continue parsing in the turn after one that reached MAX_EVENTS_PER_TURN."""
        raise NotImplementedError

    def _update_reading(self) -> None:
        """Pause or resume reading according to the current state."""
        raise NotImplementedError

    def _handle_events(self) -> None:
        """Handle a bounded number of the parser's events in this turn of the event loop."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._handle_next_event():
                return
        self._parse_scheduled = True
        self._update_reading()
        asyncio.get_running_loop().call_soon(self._continue_parsing)

    def _buffer_body(self, data: bytes | bytearray) -> None:
        self._body += data
        self.body_memory.buffered_bytes += len(data)

    def _release_body(self) -> None:
        self.body_memory.buffered_bytes -= len(self._body)
        self._body = bytearray()


class ResponseSource(Protocol):
    """The server connection that a streamed response is read from."""

    def pause(self) -> None:
        """Pause reading, because the sink can't take more."""

    def resume(self) -> None:
        """Resume reading."""


class ResponseSink(Protocol):
    """The client connection that a streamed response is written to."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""

    def end_response(self) -> None:
        """End the complete response."""

    def abort_response(self) -> None:
        """End a response that can't be completed, so that the client can detect that it is incomplete."""


class Upload:
    """The body of a request that is streamed to a server; data that was read is not kept.

    One attempt reads it at a time.  An attempt that ends before it has read anything leaves the body
    complete for the next one.

    Attributes:
        length: The length in bytes; None if the client did not announce it.
        consumed: Whether data was read, in which case the request can't be retried.
        is_complete: Whether the last byte was received.
        unread_since: Returns the time, on the event loop's clock, since which the client may have sent the
            rest without this process having read it; None if it has not.
    """

    def __init__(
        self, length: int | None, on_drained: Callable[[], None], unread_since: Callable[[], float | None]
    ) -> None:
        """Create an empty body; `on_drained` is called each time that a read has emptied the buffer."""
        self.length = length
        self.unread_since = unread_since
        self.consumed = False
        self.is_complete = False
        self._on_data: Callable[[], None] | None = None  # set while an attempt reads the body
        self._on_drained = on_drained
        self._buffer = bytearray()

    def is_full(self) -> bool:
        """Return whether reading from the client must pause."""
        return len(self._buffer) > MAX_BUFFERED_BODY_BYTES

    def is_available(self) -> bool:
        """Return whether an attempt may start to read: no other one has read data or may still do so."""
        return not self.consumed and self._on_data is None

    def attach(self, on_data: Callable[[], None]) -> None:
        """Start to read; `on_data` is called when there is more to read or the body is complete."""
        assert self.is_available()
        self._on_data = on_data

    def detach(self) -> None:
        """Stop reading; data that was not read stays in the buffer."""
        self._on_data = None

    def feed(self, data: bytes | bytearray) -> None:
        """Append received bytes."""
        self._buffer += data
        if self._on_data is not None:
            self._on_data()

    def end(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        if self._on_data is not None:
            self._on_data()

    def read(self) -> bytes:
        """Return and remove all buffered data."""
        data = bytes(self._buffer)
        self._buffer.clear()
        if data:
            self.consumed = True
            self._on_drained()
        return data
