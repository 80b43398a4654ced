"""Settings of a balancer: request classes, tenants, limits, rules and prices.

Times are whole microseconds (`_us`).  `sidecar_balancer.config.settings` reads the settings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class Idempotency(Enum):
    """Number of times that a request of a class may be executed."""

    IDEMPOTENT = "idempotent"  # may be executed any number of times
    IDEMPOTENCY_KEY = "idempotency_key"  # servers drop repeats of a key within a scope and a window
    NON_IDEMPOTENT = "non_idempotent"  # may be executed at most once


@unique
class DeduplicationScope(Enum):
    """Set of servers that drop repeats of an idempotency key together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Delivery of endpoint list changes: pushed, or polled for."""

    PUSH = "pushed"
    POLL = "on_request"


@unique
class WeightKind(Enum):
    """Meaning of a server's nominal weight."""

    NONE = "silent"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class ReportSource(Enum):
    """Source of load reports."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "silent"


@unique
class PriorityUnit(Enum):
    """Unit to which the priority weight of a class applies."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests with the same deadline, latency objective and priority."""

    name: str
    deadline_us: int
    latency_objective_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # priority weight of an answer after the latency objective
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window_us: int = 0
    streaming: bool = False
    objective_stretch_ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant with its share and quota, which apply to the whole fleet."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Permissions and limits that the deployment sets for a balancer."""

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
    """Bounds that a balancer must keep.  The defaults are the strictest ones."""

    answer_slack_us: int = 0
    poll_interval_us: int = 10_000_000  # maximum age of a polled endpoint list
    drain_grace_us: int = 0
    slow_start_min_ratio: float = 0.1  # part of its capacity that a server has when it starts
    slow_start_us: int = 30_000_000
    overload_multiple: float = 1.0  # multiple of its capacity at which a warming server fails
    overload_window_us: int = 2_000_000
    late_shedding: bool = False  # servers also reject requests that they had begun to execute


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs of extra traffic, in units of the priority weight of one request."""

    cross_zone: float = 0.0
    probe: float = 0.0
    message: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0  # cost of a hundred open connections per server


@dataclass(frozen=True, slots=True)
class Locality:
    """Use of zones (docs/zones.md)."""

    enabled: bool = False
    zone: str = ""  # the zone of this sidecar if the settings name none
    regions: Mapping[str, str] = field(default_factory=dict)  # region by zone
    server_zones: Mapping[str, str] = field(default_factory=dict)  # zone by server, if its entry names none
    overprovisioning_factor: float = 1.4  # a zone serves its share if 1 / this of its servers are healthy
    panic_threshold: float = 0.3  # all servers are used if less than this part is healthy
    evacuation_failure_ratio: float = 0.5  # failing part of a zone's servers in use that evacuates it
    evacuation_min_failures: int = 3
    slow_start_us: int = 0  # duration of a zone's recovery ramp; 0: that of a server's slow start
    aggression: float = 1.0  # shape of the recovery ramp: above 1, the weight rises faster at first
    health_check_interval_us: int = 250_000


@dataclass(frozen=True, slots=True)
class Settings:
    """Complete settings of a balancer."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    member_index: int = 0
    fleet_size: int = 1
    tick_us: int = 1_000
    discovery: DiscoveryMode = DiscoveryMode.POLL
    weights: WeightKind = WeightKind.NONE
    priority_unit: PriorityUnit = PriorityUnit.REQUEST
    over_share_weight: float = 1.0  # factor on the priority weight of requests beyond their tenant's share
    report_source: ReportSource = ReportSource.NONE
    report_columns: tuple[str, ...] = ()
    warm_keys: bool = False  # a server that has served a key serves it again with less work
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    locality: Locality = field(default_factory=Locality)
