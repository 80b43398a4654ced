"""Streaming of long bodies in bounded memory, and the parsing shared by both sides of the proxy.

Reading from a peer pauses while the other side reads more slowly than the peer sends.  So each stream buffers
a few reads at most; the less memory is free, the smaller each read is.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from sidecar_balancer.runtime.head_buffer import HeadBuffer
from sidecar_balancer.runtime.memory_budget import CONNECTION_BYTES, MemoryBudget, MemoryCharge
from sidecar_balancer.runtime.turns import running_turn_queue

MAX_REQUEST_BODY_BYTES = 32 * 1024 * 1024
MAX_EVENTS_PER_TURN = 64  # limit on parser events, as one read may contain thousands of tiny chunks
STALL_TIMEOUT_S = 10.0  # limit on the time without progress; slow peers may pause for seconds
RESPONSE_STALL_TIMEOUT_S = 60.0  # the same for a server that has begun a long response


class BufferedReceiver(asyncio.BufferedProtocol):
    """A connection that is read and parsed in bounded steps, and charges what it holds to the budget."""

    def __init__(self, memory_budget: MemoryBudget) -> None:
        """Charge what this connection holds to `memory_budget`."""
        self.memory_budget = memory_budget
        self._charge = MemoryCharge(memory_budget)
        self._transport: asyncio.Transport | None = None
        self._input = HeadBuffer()  # received but not parsed
        self._body = bytearray()  # body of the message that is being received
        self._head_bytes = 0  # memory of the parsed head
        self._parse_scheduled = False  # parsing continues in the next turn
        self._read_was_full = False  # the last read filled the buffer, so that more may be unread

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next bytes received."""
        return self.memory_budget.read_view[: self.memory_budget.read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were received into the buffer."""
        self._read_was_full = nbytes >= self.memory_budget.read_size()
        self.data_received(bytes(self.memory_budget.read_view[:nbytes]))

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
        running_turn_queue().call_soon(self._continue_parsing)

    # -- Memory

    def _held_bytes(self) -> int:
        """Return the memory that the connection holds, beside its unsent output."""
        return CONNECTION_BYTES + len(self._input) + self._head_bytes + len(self._body)

    def _update_charge(self) -> None:
        """Charge what the connection holds now; nothing once it is closed."""
        unsent_bytes = 0 if self._transport is None else self._transport.get_write_buffer_size()
        is_closed = self._transport is None or self._transport.is_closing()
        self._charge.update(unsent_bytes + (0 if is_closed else self._held_bytes()))

    def _release_body(self) -> None:
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
        self,
        length: int | None,
        on_drained: Callable[[], None],
        unread_since: Callable[[], float | None],
        memory_budget: MemoryBudget,
    ) -> None:
        """Create an empty body; `on_drained` is called each time that a read has emptied the buffer."""
        self._memory_budget = memory_budget
        self._charge = MemoryCharge(memory_budget)
        self.length = length
        self.unread_since = unread_since
        self.consumed = False
        self.is_complete = False
        self._on_data: Callable[[], None] | None = None  # set while an attempt reads the body
        self._on_drained = on_drained
        self._buffer = bytearray()

    def is_full(self) -> bool:
        """Return whether reading from the client must pause."""
        return len(self._buffer) > self._memory_budget.stream_buffer_size()

    def discard(self) -> None:
        """Drop what was not read, as nobody will read it."""
        self._buffer = bytearray()
        self._charge.update(0)

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
        self._charge.update(len(self._buffer))
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
        self._charge.update(0)
        if data:
            self.consumed = True
            self._on_drained()
        return data
