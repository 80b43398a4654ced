"""The phase of the current request of a client connection, derived from the states of its parser."""

from __future__ import annotations

import enum

import h11


class RequestPhase(enum.Enum):
    """The progress of the one request that a connection carries at a time.

    Only in the first two phases may the parser be given input; input that arrives later stays in the
    connection's buffer until the parser is renewed for the next request.
    """

    AWAITED = "awaited"  # nothing of it has been parsed
    RECEIVING = "receiving"  # its head has been parsed, but not its end
    RESPONDING = "responding"  # it was received completely, and its response is due or being written
    ANSWERED = "answered"  # its response is written, and the parser is not renewed yet
    LAST = "last"  # no further request is parsed on this connection


_RESPONSE_DUE = (h11.SEND_RESPONSE, h11.SEND_BODY)


def request_phase(parser: h11.Connection) -> RequestPhase:
    """Return the phase of the request that a server's parser is in."""
    if parser.their_state is h11.IDLE:
        return RequestPhase.AWAITED
    if parser.their_state is h11.SEND_BODY:
        return RequestPhase.RECEIVING
    if parser.their_state is not h11.ERROR and parser.our_state in _RESPONSE_DUE:
        return RequestPhase.RESPONDING
    if parser.their_state is h11.DONE and parser.our_state is h11.DONE:
        return RequestPhase.ANSWERED
    return RequestPhase.LAST
