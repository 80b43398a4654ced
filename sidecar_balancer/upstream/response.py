"""Responses of servers, their framing, and the outcomes of exchanges."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.runtime.headers import Headers


@dataclass(slots=True)
class Response:
    """A complete response; the body is empty if it was streamed."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return a header's first value; the name is lower case."""
        return next((value.decode("latin-1") for key, value in self.headers if key == name), None)


def is_framed(head: h11.Response) -> bool:
    """Return whether the end of the body can be recognized.

    The framing headers determine it, or the end of the connection if the server announces that.  A response
    with neither may have lost its framing on the way.
    """
    names = {name for name, _ in head.headers}
    if names & {b"content-length", b"transfer-encoding"} or head.status_code in (204, 304):
        return True
    closes = any(name == b"connection" and b"close" in value.lower() for name, value in head.headers)
    return closes or head.http_version < b"1.1"


def classify_outcome(response: Response | None, written: bool, response_began: bool) -> Outcome:
    """Return the outcome of an ended exchange; it says that the request never ran only if that is certain.

    A response that can't be parsed is an application error, not a lost connection, as its server is up.

    Args:
        response: The complete response; None if the exchange failed.
        written: Whether the request's last byte has gone to the kernel.
        response_began: Whether a byte of the response was received.
    """
    if response is None:
        if not written:
            return Outcome.CONNECT_FAILED
        return Outcome.APPLICATION_ERROR if response_began else Outcome.CONNECTION_LOST
    if response.status == 200:
        return Outcome.DELIVERED
    if response.status in (503, 504) and response.header(b"x-rejected") == "1":
        return Outcome.REJECTED
    return Outcome.INVALID_REQUEST if response.status in (400, 404) else Outcome.APPLICATION_ERROR
