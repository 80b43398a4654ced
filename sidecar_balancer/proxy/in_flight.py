"""Requests in flight: what is known of each until its response is sent and its attempts have ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from sidecar_balancer.downstream.request import ClientRequest
from sidecar_balancer.upstream.exchange import Exchange


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is unanswered or has attempts in flight; times are the engine's, in microseconds.

    Attributes:
        request_id: The number that the balancer knows the request by.
        client_request: What the client sent, and where its response goes.
        received_at: When the last byte was received; before that, the first.
        deadline: When the client stops waiting; None while the body is still coming.
        answered: Whether the response was sent or begun, or nobody waits for it any more.
        attempts_started: How many attempts there were.
        attempts: Attempts that have not ended, by their index; None while one is being started.
        failsafe_timer: Fails the request at its deadline if the balancer does not.
        streamed_attempt: The index of the attempt whose response is streamed.
        first_byte_us: The time to the first byte of that response.
        attempt_outcomes: How the attempts ended, for the log.
    """

    request_id: int
    client_request: ClientRequest
    received_at: int
    deadline: int | None
    answered: bool = False
    attempts_started: int = 0
    attempts: dict[int, Exchange | None] = field(default_factory=dict)
    failsafe_timer: asyncio.TimerHandle | None = None
    streamed_attempt: int | None = None
    first_byte_us: int = 0
    attempt_outcomes: list[str] = field(default_factory=list)
