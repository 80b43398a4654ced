"""Exchanges: a request to a server with its single outcome, and the endpoint that it is sent to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.runtime.streams import Upload
from sidecar_balancer.upstream.request_connection import StartStreaming
from sidecar_balancer.upstream.response import Response
from sidecar_balancer.upstream.server_connection import ServerConnection

_ABORTING_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT)

OnOutcome = Callable[[Outcome, Response | None], None]
"""Receives the outcome of an exchange once, with its response if there is one."""


@dataclass(slots=True, eq=False)
class PooledEndpoint:
    """The address of a server, and the connections to it that are idle or being dialed.

    Attributes:
        name: The server's name.
        address: The address that it listens on now.
        started_at: The time at which its process started, according to the endpoint list.
        state: Its state in the endpoint list.
        generation: The number of its process and address: connections of earlier ones are not reused.
        idle: Idle connections, the longest idle first, each with the timer that closes it.
        dialing: Exchanges that wait for their connection.
    """

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    generation: int = 0
    idle: dict[ServerConnection, asyncio.TimerHandle] = field(default_factory=dict)
    dialing: set[Exchange] = field(default_factory=set)

    def remove_idle(self, connection: ServerConnection) -> None:
        """Remove an idle connection and its timer; a second call has no effect."""
        if (timer := self.idle.pop(connection, None)) is not None:
            timer.cancel()


@dataclass(slots=True)
class UpstreamRequest:
    """A request to a server.

    Attributes:
        build_head: Returns the head, given the seconds that remain when it is written.
        body: The body, if it is buffered.
        upload: The body, if it is streamed.
        start_streaming: Returns the sink of a long response.
        check_client: Cancels the exchange if its client disconnected unnoticed during the dial.
    """

    build_head: Callable[[float], h11.Request]
    body: bytes = b""
    upload: Upload | None = None
    start_streaming: StartStreaming | None = None
    check_client: Callable[[], None] | None = None


class Exchange:
    """An attempt or health check, from the dial to its single outcome.

    Attributes:
        endpoint: The endpoint that it is sent to.
        generation: The endpoint's generation when the exchange began.
        request: The request that is sent.
        deadline: The time at which it is given up, on the event loop's clock.
        on_outcome: Receives the outcome; None once it has been called.
        connection: The connection that carries the request, once there is one.
        dial_task: The dial, if no idle connection was available.
        timers: The timers that end it at its deadlines.
    """

    def __init__(
        self, endpoint: PooledEndpoint, request: UpstreamRequest, deadline: float, on_outcome: OnOutcome
    ) -> None:
        self.endpoint = endpoint
        self.generation = endpoint.generation
        self.request = request
        self.deadline = deadline
        self.on_outcome: OnOutcome | None = on_outcome
        self.connection: ServerConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.timers: list[asyncio.TimerHandle] = []

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome; a second call has no effect."""
        on_outcome, self.on_outcome = self.on_outcome, None
        if on_outcome is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.endpoint.dialing.discard(self)
        if outcome in _ABORTING_OUTCOMES:
            if self.connection is not None:
                self.connection.abort()
            if self.dial_task is not None:
                self.dial_task.cancel()
        on_outcome(outcome, response)
