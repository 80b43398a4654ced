"""State that a balancer keeps about one server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from sidecar_balancer.policy.types import Flow, ServerState, ServerVerdict


class RejectionBackoff(NamedTuple):
    """Backoff of requests of one class and tenant from a server that rejects them."""

    until: int  # clock time in microseconds at which the backoff ends
    rejections: int  # number of consecutive rejections


@dataclass(slots=True, eq=False)
class Server:
    """State that this balancer keeps about one server.  Times are clock times in microseconds, -1: never."""

    name: str
    order_key: float  # random number, drawn once, that defines this balancer's own order of the servers
    zone: str = ""
    relative_latency: float = 1.0  # latency as a multiple of the baseline of all servers
    state: ServerState = ServerState.REMOVED
    disabled: bool = False  # disabled by the operators: treated as draining, whatever its state
    removed_from_table: bool = False  # a later server of this name is a different one
    started_at: int | None = None  # time at which the server process started
    warming_since: int | None = None  # time from which its slow start counts; None: no slow start
    slow_start_tokens: float = 0.0  # tokens for attempts while warming up, in requests of mean cost
    slow_start_tokens_at: int = 0
    in_flight: int = 0
    awaiting_body: int = 0  # the part of `in_flight` whose clients still send the body
    abandoned_until: list[int] = field(default_factory=list)  # times until which abandoned attempts count
    last_response_at: int = -1
    consecutive_failures: int = 0
    ejections: int = 0  # number of consecutive ejections
    ejected_until: int | None = None  # time at which the ejection expires; None: not ejected
    trial_pending: bool = False  # whether the single attempt that may end the ejection is pending
    rejections: dict[Flow, RejectionBackoff] = field(default_factory=dict)
    # Number of peers by class; 0: disproved by an own response
    peer_verdicts: dict[str | None, int] = field(default_factory=dict)
    # Verdicts that this balancer has published, by class; None: all classes
    published_verdicts: dict[str | None, ServerVerdict] = field(default_factory=dict)
    readmitted_at: int | None = None  # start of its recovery ramp if zones are enabled
    ready_zone: str | None = None  # zone in which it counts as ready; None: not ready

    def is_ready(self) -> bool:
        """Return whether new attempts may be sent to the server."""
        return self.state is ServerState.READY and not self.disabled

    def load(self, now: int) -> int:
        """Return the own attempts in flight, including abandoned ones, which may still run on the server."""
        if self.abandoned_until:
            self.abandoned_until = [until for until in self.abandoned_until if until > now]
        return self.in_flight + len(self.abandoned_until)
