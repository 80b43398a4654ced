"""A complete response of a server, and the outcome that the end of an exchange proves."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_balancer.policy.types import Outcome
from sidecar_balancer.runtime.headers import Headers


@dataclass(slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str | None:
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)


def classify_outcome(response: Response | None, written: bool, response_began: bool) -> Outcome:
    """What an ended exchange proves: it never ran only if that is certain.

    An answer that can't be read is an error, not a lost connection: its server is up.
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
