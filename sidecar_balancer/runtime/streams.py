"""Streaming of long bodies within a bounded memory, and the parsing that both sides of the proxy share.

A peer that sends faster than the other side reads is not read for a while.  So each stream buffers a few
reads at most, and a read is smaller the more streams there are.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a body up to this size is buffered, so that its request can be retried
MAX_REQUEST_BODY_BYTES = 32 * 1024 * 1024
MAX_EVENTS_PER_TURN = 200  # one read may contain thousands of tiny chunks
STALL_TIMEOUT_S = 10.0  # slow peers pause for seconds
_MAX_READ_BYTES = 64 * 1024
_MIN_READ_BYTES = 4 * 1024
_BUFFERS_PER_STREAM = 4  # one read, one parsed, one waiting to be written, and copies between them
_BODY_MEMORY_RATIO = 0.125  # of the memory limit for streams, and as much for buffered bodies
_DEFAULT_MEMORY_MB = 64


class BodyMemory:
    """The memory that the bodies of one sidecar may take.

    Attributes:
        active_streams: Long bodies that are being streamed.
        buffered_bytes: Bytes of bodies that are buffered.
        read_view: Where all connections are read into, one at a time; valid until the next read.
    """

    def __init__(self, memory_mb: int = _DEFAULT_MEMORY_MB) -> None:
        """Divide a memory limit in MiB."""
        self._max_bytes = int(memory_mb * 1024 * 1024 * _BODY_MEMORY_RATIO)
        self.read_view = memoryview(bytearray(_MAX_READ_BYTES))
        self.active_streams = 0
        self.buffered_bytes = 0

    def read_size(self) -> int:
        """Return how many bytes may be read from one peer at a time."""
        fair_share = self._max_bytes // (_BUFFERS_PER_STREAM * max(self.active_streams, 1))
        return max(_MIN_READ_BYTES, min(_MAX_READ_BYTES, fair_share))

    def may_buffer(self, size: int) -> bool:
        """Return whether a body that has grown to this size may stay buffered."""
        return size <= MAX_BUFFERED_BODY_BYTES and self.buffered_bytes <= self._max_bytes


class BufferedReceiver(asyncio.BufferedProtocol):
    """A connection that is read and parsed in bounded steps, with its body in the shared memory."""

    def __init__(self, body_memory: BodyMemory) -> None:
        """Count the bodies of this connection in `body_memory`."""
        self.body_memory = body_memory
        self._transport: asyncio.Transport | None = None
        self._body = bytearray()  # of the message that is being received
        self._parse_scheduled = False  # more events are parsed in the next turn

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return where asyncio writes the next bytes."""
        return self.body_memory.read_view[: self.body_memory.read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that asyncio has written."""
        self.data_received(bytes(self.body_memory.read_view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle input."""
        raise NotImplementedError

    def _handle_next_event(self) -> bool:
        """Handle one event of the parser; return whether more may follow."""
        raise NotImplementedError

    def _continue_parsing(self) -> None:
        """Go on in the turn after one that reached its bound."""
        raise NotImplementedError

    def _update_reading(self) -> None:
        """Pause or resume reading as the state demands."""
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
    """The connection that a streamed response is read from."""

    def pause(self) -> None:
        """Stop reading: the sink is full."""

    def resume(self) -> None:
        """Read on."""


class ResponseSink(Protocol):
    """The connection that a streamed response is written to."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""

    def end_response(self) -> None:
        """End the complete response."""

    def abort_response(self) -> None:
        """End a response that can't be completed, in a way that the client can tell."""


def _ignore() -> None:
    pass


class Upload:
    """A request's body on its way to a server; what has been read from it is gone.

    Attributes:
        length: The length in bytes; None where the client has not announced it.
        consumed: Whether something was read, so that the request can't be retried.
        is_complete: Whether the last byte was fed.
        on_data: Called when there is more to read or the body is complete.
    """

    def __init__(self, length: int | None, on_drained: Callable[[], None]) -> None:
        """Call `on_drained` each time that the buffer was emptied."""
        self.length = length
        self.consumed = False
        self.is_complete = False
        self.on_data: Callable[[], None] = _ignore
        self._on_drained = on_drained
        self._buffer = bytearray()

    def is_full(self) -> bool:
        """Return whether the client must not be read for now."""
        return len(self._buffer) > MAX_BUFFERED_BODY_BYTES

    def feed(self, data: bytes | bytearray) -> None:
        """Append received bytes."""
        self._buffer += data
        self.on_data()

    def end(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self.on_data()

    def read(self) -> bytes:
        """Return and remove all that is buffered."""
        data = bytes(self._buffer)
        self._buffer.clear()
        if data:
            self.consumed = True
            self._on_drained()
        return data

    def discard(self) -> None:
        """Drop what is buffered: nobody reads the rest."""
        self._buffer.clear()
        self.on_data = _ignore
