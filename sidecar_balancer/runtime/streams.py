"""Long bodies, passed on as they come: how much of them is held, and how they are read.

Whoever writes faster than the other side reads is not read for a while; so each stream holds a few pieces at
most, and a piece is the smaller the more streams there are.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

HELD_WHOLE = 64 * 1024  # up to this a body is held whole, so that it can be sent or asked for again
LONGEST = 32 * 1024 * 1024  # of a request's body
EVENTS_AT_ONCE = 200  # parsed in one step of the event loop: a piece may hold thousands of tiny chunks
STALLED_S = 10.0  # a peer that moves nothing of a body for so long is given up; slow ones pause for seconds
_PIECE_MOST = 64 * 1024
_PIECE_LEAST = 4 * 1024
_PIECES_A_STREAM = 4  # one read, one parsed, one waiting to be written, and one for the copies between them
_SHARE = 0.125  # of the memory limit may go into streams, and as much into bodies held whole
_MEMORY_MB = 64  # unless the configuration tells


class Budget:
    """The memory that the bodies of one sidecar may take."""

    def __init__(self, memory_mb: int = _MEMORY_MB) -> None:
        self._bytes = int(memory_mb * 1024 * 1024 * _SHARE)
        self._view = memoryview(bytearray(_PIECE_MOST))  # all connections are read into it, one at a time
        self.streams = 0  # long bodies under way
        self.held = 0  # bytes of bodies that are held whole

    def piece(self) -> int:
        """How much may be read from one peer at a time."""
        return max(_PIECE_LEAST, min(_PIECE_MOST, self._bytes // (_PIECES_A_STREAM * max(self.streams, 1))))

    def buffer(self) -> memoryview:
        return self._view[: self.piece()]

    def may_hold(self, size: int) -> bool:
        """Whether a body that has come to this size may still be held whole."""
        return size <= HELD_WHOLE and self.held <= self._bytes


class Receiver(asyncio.BufferedProtocol):
    """A connection that is read piece by piece, within the budget."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.budget.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.budget.buffer()[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


class Source(Protocol):
    """Where a long answer comes from."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...


class Sink(Protocol):
    """Where a long answer goes."""

    def pass_on(self, data: bytes) -> None: ...
    def end_answer(self) -> None: ...
    def break_answer(self) -> None:
        """It can't be finished, and the client must be able to tell."""


def _nothing() -> None:
    pass


class Upload:
    """A request's body on its way to a server; what has been taken from it is gone."""

    def __init__(self, length: int | None, on_room: Callable[[], None]) -> None:
        self.length = length  # None: not told beforehand
        self.spent = False  # something was taken: the body is not whole any more
        self.ended = False
        self.on_more: Callable[[], None] = _nothing
        self._on_room = on_room
        self._held = bytearray()

    def is_full(self) -> bool:
        return len(self._held) > HELD_WHOLE

    def feed(self, data: bytes | bytearray) -> None:
        self._held += data
        self.on_more()

    def end(self) -> None:
        self.ended = True
        self.on_more()

    def take(self) -> bytes:
        """What has come and was not taken yet."""
        data = bytes(self._held)
        self._held.clear()
        if data:
            self.spent = True
            self._on_room()
        return data

    def drop(self) -> None:
        """Nobody wants the rest."""
        self._held.clear()
        self.on_more = _nothing
