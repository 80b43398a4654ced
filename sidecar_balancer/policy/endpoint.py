"""What a balancer knows of each server, and of each attempt at one.  A part of the decisions (`policy`)."""

from __future__ import annotations

from dataclasses import dataclass, field

from sidecar_balancer.policy.types import ServerState, ServerVerdict

Flow = tuple[str, str | None]  # the class and tenant of a request


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server."""

    name: str
    order_key: float  # chance, drawn once: this balancer's order of the servers
    zone: str = ""
    relative_latency: float = 1.0  # how long it takes, relative to the usual
    state: ServerState = ServerState.REMOVED
    disabled: bool = False  # by the operators: it counts as draining, whatever its state
    started_at: int | None = None
    warming_since: int | None = None
    slow_start_tokens: float = 0.0  # of a cold server: what may be sent to it now, in requests of mean cost
    slow_start_tokens_at: int = 0
    in_flight: int = 0
    abandoned_until: list[int] = field(default_factory=list)  # when each attempt given up on stops counting
    last_response_at: int = -1
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: int | None = None  # None: not ejected
    rejections: dict[Flow, tuple[int, int]] = field(default_factory=dict)  # until when, how often in a row
    trial: Attempt | None = None  # the single attempt that may bring it back
    peer_verdicts: dict[str | None, int] = field(
        default_factory=dict
    )  # peers against it by class; 0: proved wrong
    published_verdicts: dict[str | None, ServerVerdict] = field(
        default_factory=dict
    )  # what peers know from here, by class
    readmitted_at: int | None = None  # when it was readmitted: it eases in, where zones are on
    pooled_zone: str | None = None  # the zone in which it counts as ready; None: it does not

    def is_ready(self) -> bool:
        return self.state is ServerState.READY and not self.disabled


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int
    server: Server
    sent_at: int
    stalled_us_before: int  # how long the balancer had stalled by then
    responses_before: int  # how many answers had come by then, from all servers
    pending: bool = True
    may_have_run: bool = True  # until an outcome proves that it did not
    started: bool = False
    counted_late: bool = False  # whether its lateness was counted as a sign of overload
    silent: bool = False  # whether its server was found silent by it
