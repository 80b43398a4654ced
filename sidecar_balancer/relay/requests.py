"""Parsing of the requests that a relay serves, in discovery's published format."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qsl

import h11

from sidecar_balancer.discovery.protocol import AGE_HEADER, LIST_PATH
from sidecar_balancer.relay.errors import RelayRequestError

READY_PATH = "/health/ready"
MAX_WAIT_MS = 60_000  # longest wait of a watch in the published protocol
_MAX_DIGITS = 18  # maximum number of digits in a number
_MAX_TAG_CHARACTERS = 64  # maximum length of a tag; a relay's own tags are shorter


class ReadinessRequest:
    """A request for the relay's readiness: whether it has a list."""


@dataclass(frozen=True, slots=True)
class ListRequest:
    """A request for the full list, or a watch for its changes."""

    after: int | None  # version of the caller's list; None: the full list is requested
    wait_ms: int
    tag: str | None  # entity tag of the caller's list, if a relay sent it
    age_s: float | None  # age of the caller's list


RelayRequest = ListRequest | ReadinessRequest


def parse_request(head: h11.Request) -> RelayRequest:
    """Parse the head of a request; raise RelayRequestError if it is invalid."""
    path, _, query = head.target.decode("latin-1").partition("?")
    if path not in (LIST_PATH, READY_PATH):
        raise RelayRequestError(404, "no such path")
    if head.method != b"GET":
        raise RelayRequestError(405, "GET is needed")
    if path == READY_PATH:
        return ReadinessRequest()
    parameters = dict(parse_qsl(query, keep_blank_values=True))
    after = _parse_number(parameters["after"], "after") if "after" in parameters else None
    wait_ms = min(_parse_number(parameters.get("wait_ms", "0"), "wait_ms"), MAX_WAIT_MS)
    headers = {name: value.decode("latin-1") for name, value in head.headers}
    tag = headers.get(b"if-none-match")
    if tag is not None and len(tag) > _MAX_TAG_CHARACTERS:
        tag = None  # not a relay's tag
    age = headers.get(AGE_HEADER.lower().encode())
    age_s = _parse_number(age, AGE_HEADER) / 1000 if age is not None else None
    return ListRequest(after, wait_ms, tag, age_s)


def _parse_number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        raise RelayRequestError(400, f"{name}: a whole number is needed")
    return int(text)
