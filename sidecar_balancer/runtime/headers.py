"""HTTP headers as lists of names and values, and the selection of those that a proxy forwards."""

from __future__ import annotations

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """Return the headers to forward, without the hop-by-hop headers and those named in `dropped`."""
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP and name not in dropped]


def is_chunked(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a body comes in chunks."""
    return any(name == b"transfer-encoding" for name, _ in headers)


def content_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the value of Content-Length in bytes; None if the header is missing."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None
