"""Names of the published discovery protocol, which clients and relays share."""

from __future__ import annotations

Headers = list[tuple[str, str]]

LIST_PATH = "/registry/instances"
AGE_HEADER = "X-Source-Age-Ms"  # milliseconds since the sender last heard from the registry
TAG_HEADER = "ETag"  # identifies the list after the response is applied; sent back as If-None-Match
