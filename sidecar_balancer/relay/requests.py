"""What callers ask a relay: reading discovery's published form of a call."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qsl

import h11

from sidecar_balancer.admin.server import RequestRejectedError
from sidecar_balancer.discovery.client import AGE_HEADER, LIST_PATH

READY_PATH = "/health/ready"
WAIT_MOST_MS = 60_000  # of a watch, as published
_INDEX_DIGITS = 18
_TAG_MOST = 64  # characters of an entity tag; a relay's own are shorter


@dataclass(frozen=True, slots=True)
class ListCall:
    """A call for the list: all of it, or a watch for what changed."""

    after: int | None  # the index that the caller has; None: it wants the whole list
    wait_ms: int
    tag: str | None  # of the list that the caller holds, where a relay told it
    age_s: float | None  # how old that list's news is


def read_call(head: h11.Request) -> ListCall | None:
    """Read a call; None asks whether the relay is ready.  Raises RequestRejectedError."""
    target = head.target.decode("latin-1")
    path, _, query = target.partition("?")
    if path not in (LIST_PATH, READY_PATH):
        raise RequestRejectedError(404, "no such path")
    if head.method != b"GET":
        raise RequestRejectedError(405, "GET is needed")
    if path == READY_PATH:
        return None
    given = dict(parse_qsl(query, keep_blank_values=True))
    after = _number(given["after"], "after") if "after" in given else None
    wait_ms = min(_number(given.get("wait_ms", "0"), "wait_ms"), WAIT_MOST_MS)
    headers = {name: value.decode("latin-1") for name, value in head.headers}
    tag = headers.get(b"if-none-match")
    if tag is not None and len(tag) > _TAG_MOST:
        tag = None  # none of ours
    age = headers.get(AGE_HEADER.lower().encode())
    return ListCall(after, wait_ms, tag, _number(age, AGE_HEADER) / 1000 if age is not None else None)


def _number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > _INDEX_DIGITS:
        raise RequestRejectedError(400, f"{name}: a whole number is needed")
    return int(text)
