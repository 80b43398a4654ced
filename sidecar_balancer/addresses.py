"""Network addresses as configuration and endpoint lists write them: `host:port`."""

from __future__ import annotations

Address = tuple[str, int]  # host and port, as sockets take them

_MAX_PORT = 65_535


def parse_address(text: str) -> Address:
    """Parse `host:port`, an IPv6 host in brackets; raises ValueError, which shows the text."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"an address host:port is needed, not {text!r:.60}")
    return host.strip("[]"), int(port)
