"""The budget for everything that peers can make one sidecar hold.

Each connection charges what it holds at the moment: unparsed input, parsed heads, bodies and unsent output.
Reads take a small share of what is free, so that the sum approaches the budget without passing it by much.
"""

from __future__ import annotations

import h11

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # bodies up to this size are buffered, so that the request can be retried
CONNECTION_BYTES = 4 * 1024  # the objects of an open connection, of either side
REQUEST_BYTES = 4 * 1024  # the objects of a request in flight, beside its head and body
FIELD_BYTES = 320  # the objects of one parsed header field, beside its text
_MAX_READ_BYTES = 64 * 1024
_MIN_READ_BYTES = 4 * 1024
_MAX_READ_AHEAD_BYTES = 256 * 1024
_READ_SHARE = 32  # part of the free bytes that one connection may take at once
_BUFFERS_PER_STREAM = 4  # the data read, parsed and waiting to be written, and copies between these stages
_STREAM_SHARE = 8  # part of the memory limit for streams
_DEFAULT_MEMORY_MB = 64
PROGRAM_BYTES = 22_500 * 1024  # resident memory of a sidecar without connections
_USABLE_RATIO = 0.5  # the rest is for fragmentation, and for objects that live for one turn of the event loop
_MIN_TOTAL_BYTES = 1024 * 1024


def head_bytes(head: h11.Request | h11.Response) -> int:
    """Return the memory of a parsed head."""
    text_bytes = sum(len(name) + len(value) for name, value in head.headers)
    return text_bytes + FIELD_BYTES * len(head.headers)


class MemoryBudget:
    """The memory that peers may take, derived from the sidecar's memory limit.

    Attributes:
        active_streams: The number of long bodies that are being streamed.
        used_bytes: The sum of all charges.
        read_view: The buffer that all connections read into, one at a time; valid until the next read.
    """

    def __init__(self, memory_mb: int = _DEFAULT_MEMORY_MB) -> None:
        """Derive the limits from the sidecar's memory limit in MiB."""
        self._limit_bytes = memory_mb * 1024 * 1024
        self.read_view = memoryview(bytearray(_MAX_READ_BYTES))
        self.active_streams = 0
        self.used_bytes = 0
        self._total_bytes = 0
        self.set_other_bytes(PROGRAM_BYTES)

    def set_other_bytes(self, other_bytes: int) -> None:
        """Set how much of the limit is taken by other things: this program, and another process."""
        usable_bytes = int((self._limit_bytes - other_bytes) * _USABLE_RATIO)
        self._total_bytes = max(usable_bytes, _MIN_TOTAL_BYTES)

    @property
    def total_bytes(self) -> int:
        """The most that may be charged before requests are refused."""
        return self._total_bytes

    @property
    def free_bytes(self) -> int:
        """The bytes that may still be charged; never negative."""
        return max(self._total_bytes - self.used_bytes, 0)

    def is_exhausted(self) -> bool:
        """Return whether no further request may be taken on."""
        return self.used_bytes >= self._total_bytes

    def connection_limit(self, descriptors: int, reserved: int) -> int:
        """Return how many connections of each side the descriptors and half of the budget allow.

        Args:
            descriptors: The descriptors of the process, a third of which may carry requests of clients.
            reserved: The descriptors for other uses.
        """
        by_memory = self._total_bytes // 2 // (2 * CONNECTION_BYTES)
        return max(min((descriptors - reserved) // 2, max(by_memory, descriptors // 3)), 1)

    def read_size(self) -> int:
        """Return the maximum number of bytes to read from one peer at a time."""
        stream_bytes = self._limit_bytes // _STREAM_SHARE // _BUFFERS_PER_STREAM
        return self._share(min(_MAX_READ_BYTES, stream_bytes // max(self.active_streams, 1)))

    def stream_buffer_size(self) -> int:
        """Return how much of a streamed body may wait for its reader."""
        return self._share(MAX_BUFFERED_BODY_BYTES)

    def read_ahead_size(self) -> int:
        """Return how much input may wait behind the request in flight of a connection."""
        return self._share(_MAX_READ_AHEAD_BYTES)

    def _share(self, most: int) -> int:
        return max(_MIN_READ_BYTES, min(most, self.free_bytes // _READ_SHARE))

    def may_buffer(self, size: int) -> bool:
        """Return whether a body that has grown to this size may stay buffered."""
        return size <= MAX_BUFFERED_BODY_BYTES and self.used_bytes <= self._total_bytes // 2


class MemoryCharge:
    """What one connection holds of a budget."""

    __slots__ = ("_budget", "_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        """Start with nothing."""
        self._budget = budget
        self._bytes = 0

    def update(self, held_bytes: int) -> None:
        """Charge this many bytes in place of those charged before."""
        self._budget.used_bytes += held_bytes - self._bytes
        self._bytes = held_bytes
