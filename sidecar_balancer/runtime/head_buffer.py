"""Input of a connection that its parser has not taken yet, with a limit on heads before they are parsed."""

from __future__ import annotations

import re

MAX_HEAD_BYTES = 16 * 1024
MAX_HEAD_FIELDS = 100
MAX_BODY_PIECE_BYTES = 64 * 1024  # the most that is passed on of a body with a length at a time
MAX_CHUNKS_PIECE_BYTES = 4 * 1024  # the same in chunks, of which the parser may keep as much
_HEAD_END = re.compile(rb"\n\r?\n")
_FIRST_TOKEN_BYTE = 0x21  # a head that begins with a lower byte is invalid


class HeadTooLargeError(Exception):
    """A head has more bytes or fields than are parsed."""


class HeadBuffer:
    """Bytes that have been received but not parsed."""

    __slots__ = ("_data", "_searched")

    def __init__(self) -> None:
        """Start empty."""
        self._data = bytearray()
        self._searched = 0  # the end of a head does not begin before this

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        self._data += data

    def prepend(self, data: bytes) -> None:
        """Put back bytes that the parser has left over."""
        self._data[:0] = data
        self._searched = 0

    def clear(self) -> None:
        """Drop all bytes."""
        self._data = bytearray()
        self._searched = 0

    def has_head(self) -> bool:
        """Return whether a whole head is waiting."""
        return _HEAD_END.search(self._data, self._searched, MAX_HEAD_BYTES) is not None

    def may_have_head_with(self, following: bytes) -> bool:
        """Return whether a head is whole once these bytes follow."""
        return _HEAD_END.search(bytes(self._data[-2:]) + following) is not None

    def pop_head(self) -> bytes:
        """Remove and return a whole head; b"" while it is partial.

        Input that can't begin a head is returned at once, for the parser to reject.

        Raises:
            HeadTooLargeError: If the head has too many bytes or fields, whole or not.
        """
        if not self._data:
            return b""
        if self._data[0] < _FIRST_TOKEN_BYTE:
            return self._pop(len(self._data))
        end = _HEAD_END.search(self._data, self._searched, MAX_HEAD_BYTES)
        if end is None:
            self._searched = max(len(self._data) - 2, 0)
            if len(self._data) >= MAX_HEAD_BYTES:
                raise HeadTooLargeError(f"the head has more than {MAX_HEAD_BYTES} bytes")
            return b""
        if self._data.count(b"\n", 0, end.end()) > MAX_HEAD_FIELDS + 2:
            raise HeadTooLargeError(f"the head has more than {MAX_HEAD_FIELDS} fields")
        return self._pop(end.end())

    def pop_piece(self, is_chunked: bool) -> bytes:
        """Remove and return the next piece of a body; b"" if there is none."""
        most = MAX_CHUNKS_PIECE_BYTES if is_chunked else MAX_BODY_PIECE_BYTES
        return self._pop(min(len(self._data), most))

    def _pop(self, size: int) -> bytes:
        popped = bytes(self._data[:size])
        del self._data[:size]
        self._searched = 0
        if not self._data:
            self._data = bytearray()  # gives up the capacity of a long input
        return popped
