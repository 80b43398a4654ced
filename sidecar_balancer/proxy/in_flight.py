"""State of a request in flight, kept until its response is sent and its attempts have ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from sidecar_balancer.downstream.request import ClientRequest
from sidecar_balancer.upstream.exchange import Exchange


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that has no response yet or has attempts in flight.

    Times are in microseconds on the engine's clock.

    Attributes:
        request_id: The number that identifies the request to the balancer.
        client_request: The request as received, with the writer of its response.
        received_at: When the last byte was received; before that, when the first byte was received.
        deadline: When the client stops waiting; None while the body is still arriving.
        answered: Whether the response was sent or started, or the client no longer waits for it.
        attempts_started: The number of attempts started so far.
        attempts: Attempts that have not ended, by their index; None while one is being started.
        failsafe_timer: Fails the request at its deadline if the balancer does not.
        body_timer: Checks whether the client's time may be over while the body is still arriving.
        id_claimed: Whether its id is claimed, so that no other request with it is sent.
        may_have_run: Whether a server may have executed it.
        streamed_attempt: The index of the attempt whose response is streamed.
        first_byte_us: The time to the first byte of the streamed response.
        attempt_outcomes: Descriptions of how the attempts ended, for the log.
    """

    request_id: int
    client_request: ClientRequest
    received_at: int
    deadline: int | None
    answered: bool = False
    attempts_started: int = 0
    attempts: dict[int, Exchange | None] = field(default_factory=dict)
    failsafe_timer: asyncio.TimerHandle | None = None
    body_timer: asyncio.TimerHandle | None = None
    id_claimed: bool = False
    may_have_run: bool = False
    streamed_attempt: int | None = None
    first_byte_us: int = 0
    attempt_outcomes: list[str] = field(default_factory=list)
