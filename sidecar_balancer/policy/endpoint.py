"""State of one server as seen by a balancer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from sidecar_balancer.policy.types import Flow, ServerState, ServerVerdict


class RejectionBackoff(NamedTuple):
    """Backoff of requests of one class and tenant from a server that rejects them."""

    until: int  # clock time in microseconds
    rejections: int  # consecutive


@dataclass(slots=True, eq=False)
class Server:
    """State of one server as seen by this balancer.  Times are clock times in microseconds, -1: never."""

    name: str
    order_key: float  # random, drawn once; defines this balancer's own order of the servers
    zone: str = ""
    relative_latency: float = 1.0  # relative to the baseline of all servers
    state: ServerState = ServerState.REMOVED
    disabled: bool = False  # by the operators: treated as draining, whatever its state
    forgotten: bool = False  # removed from the endpoint table; a later server of this name is a different one
    started_at: int | None = None  # start of the server process
    warming_since: int | None = None  # None: no slow start
    slow_start_tokens: float = 0.0  # for attempts while warming up, in requests of mean cost
    slow_start_tokens_at: int = 0
    in_flight: int = 0
    abandoned_until: list[int] = field(default_factory=list)  # when abandoned attempts stop counting
    last_response_at: int = -1
    consecutive_failures: int = 0
    ejections: int = 0  # consecutive
    ejected_until: int | None = None  # None: not ejected
    trial_pending: bool = False  # whether the single attempt that may end the ejection is pending
    rejections: dict[Flow, RejectionBackoff] = field(default_factory=dict)
    peer_verdicts: dict[str | None, int] = field(default_factory=dict)  # peers by class; 0: disproved here
    published_verdicts: dict[str | None, ServerVerdict] = field(default_factory=dict)  # by class
    readmitted_at: int | None = None  # start of its recovery ramp if zones are enabled
    pooled_zone: str | None = None  # the zone in which it counts as ready; None: not ready

    def is_ready(self) -> bool:
        """Return whether new attempts may be sent to the server."""
        return self.state is ServerState.READY and not self.disabled

    def load(self, now: int) -> int:
        """Return the own attempts in flight, including abandoned ones, which may still run on the server."""
        if self.abandoned_until:
            self.abandoned_until = [until for until in self.abandoned_until if until > now]
        return self.in_flight + len(self.abandoned_until)
