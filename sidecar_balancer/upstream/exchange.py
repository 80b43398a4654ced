"""One request to a server and its one outcome, and the endpoint that it is sent to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.runtime.streams import Upload
from sidecar_balancer.upstream.response import Response
from sidecar_balancer.upstream.server_connection import ServerConnection, StartStreaming


@dataclass(slots=True, eq=False)
class PooledEndpoint:
    """Where a server listens now, and the connections to it that carry nothing."""

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    generation: int = 0  # of its process: older connections are not used again
    idle: dict[ServerConnection, asyncio.TimerHandle] = field(
        default_factory=dict
    )  # the longest at rest first
    dialing: set[Exchange] = field(default_factory=set)

    def remove_idle(self, connection: ServerConnection) -> None:
        """Take a connection out of those at rest, with the timer that would close it; once is enough."""
        if (timer := self.idle.pop(connection, None)) is not None:
            timer.cancel()


@dataclass(slots=True)
class UpstreamRequest:
    """A request to a server; its head is made when it is written, since it tells the time left."""

    head: Callable[[float], h11.Request]
    body: bytes = b""
    upload: Upload | None = None  # in place of the body, where that is long
    start_streaming: StartStreaming | None = None
    check_client: Callable[[], None] = lambda: (
        None
    )  # whether it is still wanted; if not, this ends its exchange


OnOutcome = Callable[[Outcome, Response | None], None]


class Exchange:
    """One attempt or probe, from the dial to its one outcome."""

    def __init__(
        self, endpoint: PooledEndpoint, request: UpstreamRequest, deadline: float, on_outcome: OnOutcome
    ) -> None:
        self.endpoint = endpoint
        self.generation = endpoint.generation
        self.request = request
        self.deadline = deadline  # on the event loop's clock
        self.on_outcome: OnOutcome | None = on_outcome
        self.connection: ServerConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.timers: list[asyncio.TimerHandle] = []

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Tell the outcome, once; what comes later is nobody's."""
        on_outcome, self.on_outcome = self.on_outcome, None
        if on_outcome is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.endpoint.dialing.discard(self)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT):
            if self.connection is not None:
                self.connection.abort()  # this is how an attempt is given up
            if self.dial_task is not None:
                self.dial_task.cancel()
        on_outcome(outcome, response)
