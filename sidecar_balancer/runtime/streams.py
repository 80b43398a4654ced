"""Long bodies, passed on as they come: how much of them is held, and how they are read.

Whoever writes faster than the other side reads is not read for a while; so each stream holds a few pieces at
most, and a piece is the smaller the more streams there are.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED_BODY_BYTES = (
    64 * 1024
)  # up to this a body is held whole, so that it can be sent or asked for again
MAX_REQUEST_BODY_BYTES = 32 * 1024 * 1024  # of a request's body
MAX_EVENTS_PER_TURN = 200  # parsed in one step of the event loop: a piece may hold thousands of tiny chunks
STALL_TIMEOUT_S = (
    10.0  # a peer that moves nothing of a body for so long is given up; slow ones pause for seconds
)
_MAX_READ_BYTES = 64 * 1024
_MIN_READ_BYTES = 4 * 1024
_BUFFERS_PER_STREAM = (
    4  # one read, one parsed, one waiting to be written, and one for the copies between them
)
_BODY_MEMORY_RATIO = 0.125  # of the memory limit may go into streams, and as much into bodies held whole
_DEFAULT_MEMORY_MB = 64  # unless the configuration tells


class BodyMemory:
    """The memory that the bodies of one sidecar may take."""

    def __init__(self, memory_mb: int = _DEFAULT_MEMORY_MB) -> None:
        self._bytes = int(memory_mb * 1024 * 1024 * _BODY_MEMORY_RATIO)
        self._view = memoryview(bytearray(_MAX_READ_BYTES))  # all connections are read into it, one at a time
        self.active_streams = 0  # long bodies under way
        self.buffered_bytes = 0  # bytes of bodies that are held whole

    def read_size(self) -> int:
        """How much may be read from one peer at a time."""
        return max(
            _MIN_READ_BYTES,
            min(_MAX_READ_BYTES, self._bytes // (_BUFFERS_PER_STREAM * max(self.active_streams, 1))),
        )

    def read_buffer(self) -> memoryview:
        return self._view[: self.read_size()]

    def may_buffer(self, size: int) -> bool:
        """Whether a body that has come to this size may still be held whole."""
        return size <= MAX_BUFFERED_BODY_BYTES and self.buffered_bytes <= self._bytes


class BufferedReceiver(asyncio.BufferedProtocol):
    """A connection that is read piece by piece, within the budget."""

    def __init__(self, body_memory: BodyMemory) -> None:
        self.body_memory = body_memory

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.body_memory.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.body_memory.read_buffer()[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


class ResponseSource(Protocol):
    """Where a long answer comes from."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...


class ResponseSink(Protocol):
    """Where a long answer goes."""

    def write_body(self, data: bytes) -> None: ...
    def end_response(self) -> None: ...
    def abort_response(self) -> None:
        """It can't be finished, and the client must be able to tell."""


def _ignore() -> None:
    pass


class Upload:
    """A request's body on its way to a server; what has been taken from it is gone."""

    def __init__(self, length: int | None, on_drained: Callable[[], None]) -> None:
        self.length = length  # None: not told beforehand
        self.consumed = False  # something was taken: the body is not whole any more
        self.is_complete = False
        self.on_data: Callable[[], None] = _ignore
        self._on_drained = on_drained
        self._buffer = bytearray()

    def is_full(self) -> bool:
        return len(self._buffer) > MAX_BUFFERED_BODY_BYTES

    def feed(self, data: bytes | bytearray) -> None:
        self._buffer += data
        self.on_data()

    def end(self) -> None:
        self.is_complete = True
        self.on_data()

    def read(self) -> bytes:
        """What has come and was not taken yet."""
        data = bytes(self._buffer)
        self._buffer.clear()
        if data:
            self.consumed = True
            self._on_drained()
        return data

    def discard(self) -> None:
        """Nobody wants the rest."""
        self._buffer.clear()
        self.on_data = _ignore
