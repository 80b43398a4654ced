"""Events: the input of a balancer.  Times are whole microseconds; treat events as immutable values."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from sidecar_balancer.policy.types import ListKind, Outcome, ServerState, ServerVerdict, ZoneOverride


@dataclass(slots=True)
class ListedServer:
    """An entry of the endpoint list."""

    server: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    nominal: float = 1.0
    started_at: int | None = None  # start of the server process; None: so long ago that it does not matter


@dataclass(slots=True)
class EndpointListReceived:
    """An endpoint list was received, or a call for it failed."""

    kind: ListKind
    servers: Sequence[ListedServer] = ()
    version: int = 0


@dataclass(slots=True)
class RequestReceived:
    """A client's request, which must get one final answer from now on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # the client's estimate of the work
    client_retry: bool = False
    write: bool = False
    body_open: bool = False  # the body is still arriving: the deadline counts from RequestBodyEnded


@dataclass(slots=True)
class RequestBodyEnded:
    """The last byte of a request that was received with an open body has arrived."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class RequestBodyOverdue:
    """The client of a request with an open body may have sent the last byte its whole time ago.

    The rest of the body was not read for so long, as its server or the sidecar was too slow.
    """

    request: int


@dataclass(slots=True)
class ResponseStarted:
    """The streamed answer of an attempt has begun to reach the client, so the attempt is the final one."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.

    `elapsed_us` is the time that the server took: to the first byte of a streamed answer, and from the last
    byte of a streamed body.
    """

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    answered: bool  # the client has its final answer, by this attempt or an earlier one
    report: Mapping[str, float] | None = None
    body_consumed: bool = False  # the body is no longer buffered as a whole and can't be sent again


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request disconnected; no final answer is required any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check of a server ended."""

    server: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another balancer of the fleet."""

    sender: int
    payload: bytes


@dataclass(slots=True)
class ServerOverrideRequested:
    """An operator disables or enables a server."""

    server: str
    disabled: bool


@dataclass(slots=True)
class DisabledServersChanged:
    """The complete set of servers that the operators have disabled."""

    servers: Collection[str]


@dataclass(slots=True)
class PeerServerVerdict:
    """A verdict that live peers have against a server."""

    server: str
    verdict: ServerVerdict
    service_class: str | None  # None: all classes
    peers: int  # number of peers that have this verdict


@dataclass(slots=True)
class PeerVerdictsReceived:
    """The complete set of verdicts that live peers have now."""

    servers: Sequence[PeerServerVerdict] = ()
    evacuated_zones: Mapping[str, int] = field(default_factory=dict)  # number of peers by evacuated zone


@dataclass(slots=True)
class TierDemandReceived:
    """The recent demand at the other balancers of the tier, in requests a second by tenant."""

    per_s: Mapping[str, float]


@dataclass(slots=True)
class ZoneOverridesChanged:
    """The complete set of the operators' overrides of zones."""

    overrides: Mapping[str, ZoneOverride]


@dataclass(slots=True)
class ZoneHealthCheckerChanged:
    """Current assignment of the balancer that health-checks evacuated zones for the tier."""

    is_self: bool | None  # None: no balancer does, each one sends its own trials


@dataclass(slots=True)
class ZoneRecovered:
    """The balancer that health-checks zones for the tier reports that this zone responds again."""

    zone: str


@dataclass(slots=True)
class RestoredServer:
    """State of a server that an earlier process, or a peer, has learned."""

    relative_latency: float  # latency as a multiple of the baseline of all servers
    ejected_us: int = 0  # remaining time of its ejection; 0: not ejected
    started_at: int | None = None  # start of the server process that the state is about


@dataclass(slots=True)
class StateRestored:
    """State that an earlier process of this balancer, or its peers, had learned."""

    servers: Mapping[str, RestoredServer] = field(default_factory=dict)
    # Expected latency by class and cost exponent
    baselines_us: Mapping[tuple[str, int], float] = field(default_factory=dict)
    capacity_per_us: float = 0.0  # capacity of a server for this balancer, in requests of mean cost


Event = (
    EndpointListReceived
    | RequestReceived
    | RequestBodyEnded
    | RequestBodyOverdue
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
    | ServerOverrideRequested
    | DisabledServersChanged
    | PeerVerdictsReceived
    | TierDemandReceived
    | ZoneOverridesChanged
    | ZoneHealthCheckerChanged
    | ZoneRecovered
    | StateRestored
)
