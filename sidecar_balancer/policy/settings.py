"""What a balancer is configured with: classes of requests, tenants, limits, rules and prices.

Times are whole microseconds (`_us`).  `sidecar_balancer.config.settings` reads them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class Idempotency(Enum):
    """Whether requests of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"  # any number of times
    IDEMPOTENCY_KEY = "idempotency_key"  # servers drop repeats of a key, within a scope and for a while
    NON_IDEMPOTENT = "non_idempotent"  # never


@unique
class DeduplicationScope(Enum):
    """Which servers drop the repeats of an idempotency key together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether changes of the endpoint list are pushed or have to be polled for."""

    PUSH = "pushed"
    POLL = "on_request"


@unique
class WeightKind(Enum):
    """What the nominal weight of a server means."""

    NONE = "silent"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "silent"


@unique
class PriorityUnit(Enum):
    """What the priority weight of a class is counted for."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests with the same deadline, latency objective and priority."""

    name: str
    deadline_us: int
    latency_objective_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # of an answer after the objective
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window_us: int = 0
    streaming: bool = False
    objective_stretch_ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, and its share and quota of the whole fleet."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits a balancer to do."""

    max_attempts: int = 1
    may_hedge: bool = False
    may_cancel: bool = False
    may_health_check: bool = False
    may_message: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    dial_timeout_us: int = 250_000
    idle_close_us: int = 15_000_000
    streams_per_connection: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """The bounds that a balancer has to keep.  The defaults are the strictest ones."""

    answer_slack_us: int = 0
    poll_interval_us: int = 10_000_000  # how old a polled endpoint list may be
    drain_grace_us: int = 0
    slow_start_min_ratio: float = 0.1  # part of its capacity that a server has when it starts
    slow_start_us: int = 30_000_000
    overload_multiple: float = 1.0  # of its capacity, at which a server that warms up falls
    overload_window_us: int = 2_000_000
    late_shedding: bool = False  # servers also reject work that they had begun


@dataclass(frozen=True, slots=True)
class Prices:
    """What extra traffic costs, in units of the priority weight of one request."""

    cross_zone: float = 0.0
    probe: float = 0.0
    message: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections a server


@dataclass(frozen=True, slots=True)
class Locality:
    """How zones are used (docs/zones.md)."""

    enabled: bool = False
    zone: str = ""  # this sidecar's, where the settings name none
    regions: Mapping[str, str] = field(default_factory=dict)  # region by zone
    server_zones: Mapping[str, str] = field(default_factory=dict)  # zone of servers whose entry names none
    overprovisioning_factor: float = 1.4  # a zone bears its share while 1 / this of its servers are healthy
    panic_threshold: float = 0.3  # with less than this part of the servers healthy, all are used
    evacuation_failure_ratio: float = 0.5  # of a zone's servers in use, at which it is evacuated
    evacuation_min_failures: int = 3
    slow_start_us: int = 0  # 0: that of a server
    aggression: float = 1.0  # above 1 the weight rises faster at first
    health_check_interval_us: int = 250_000


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is configured with."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    member_index: int = 0
    fleet_size: int = 1
    tick_us: int = 1_000
    discovery: DiscoveryMode = DiscoveryMode.POLL
    weights: WeightKind = WeightKind.NONE
    priority_unit: PriorityUnit = PriorityUnit.REQUEST
    over_share_weight: float = 1.0  # part of its priority weight that a request beyond its tenant's share has
    report_source: ReportSource = ReportSource.NONE
    report_columns: tuple[str, ...] = ()
    warm_keys: bool = False  # a server that served a key before serves it again with less work
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    locality: Locality = field(default_factory=Locality)
