"""Network addresses in the `host:port` form of configuration files and endpoint lists."""

from __future__ import annotations

Address = tuple[str, int]  # host and port, as the socket module takes them

_MAX_PORT = 65_535


def parse_address(text: str) -> Address:
    """Parse `host:port`, with an IPv6 host in brackets; raises a ValueError that shows the text."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"expected an address host:port, got {text!r:.60}")
    return host.strip("[]"), int(port)
