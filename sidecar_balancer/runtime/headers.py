"""HTTP headers as lists of names and values, and which of them a proxy forwards."""

from __future__ import annotations

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """Return the headers to forward: without those of one connection and without those named."""
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP and name not in dropped]


def content_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the length of the body in bytes; None where the headers do not announce it."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None
