"""What a balancer is configured with: classes of requests, tenants, limits, rules and prices.

Times are whole microseconds (`_us`).  `Settings.from_mapping` reads nested mappings that use the field names
below; `wire_names` translates the operators' names into these.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from sidecar_balancer.config.values import ConfigurationError, ValueReader


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

    @staticmethod
    def from_mapping(given: object) -> Locality:
        """Read the operators' `locality` object, by their key names; None gives the defaults.

        Raises ConfigurationError for unknown keys and values out of range.
        """
        if given is None:
            return Locality()
        reader = ValueReader(given, "locality")
        reader.reject_unknown(_LOCALITY_KEYS)
        return Locality(
            enabled=reader.flag("on", False),
            zone=reader.string("zone", ""),
            regions=reader.string_map("regions"),
            server_zones=reader.string_map("servers"),
            overprovisioning_factor=reader.number("overprovision", 1.4, low=1.0, high=10.0),
            panic_threshold=reader.number("panic", 0.3, high=1.0),
            evacuation_failure_ratio=reader.number("leave_share", 0.5, low=0.05, high=1.0),
            evacuation_min_failures=reader.integer("leave_least", 3, low=1),
            slow_start_us=_US_PER_MS * reader.integer("ramp_ms", 0),
            aggression=reader.number("aggression", 1.0, low=0.1, high=10.0),
            health_check_interval_us=_US_PER_MS * reader.integer("probe_ms", 250, low=20),
        )


_US_PER_MS = 1000
_LOCALITY_KEYS = (
    "on",
    "zone",
    "regions",
    "servers",
    "overprovision",
    "panic",
    "leave_share",
    "leave_least",
    "ramp_ms",
    "aggression",
    "probe_ms",
)


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

    @staticmethod
    def from_mapping(given: Mapping[str, Any]) -> Settings:
        """Read settings from nested mappings; raises ConfigurationError, which names the key at fault."""
        top = ValueReader(given, "settings")
        classes = tuple(_read_class(each) for each in top.sections("classes"))
        if not classes:
            raise ConfigurationError("classes: at least one class of requests is needed")
        tenants = tuple(_read_tenant(each) for each in top.sections("tenants"))
        _reject_repeated_names("classes", [each.name for each in classes])
        _reject_repeated_names("tenants", [each.name for each in tenants])
        report = top.section("report")
        return Settings(
            classes=classes,
            tenants=tenants,
            zone=top.string("zone", ""),
            member_index=top.integer("member_index", 0),
            fleet_size=top.integer("fleet_size", 1, low=1),
            tick_us=top.integer("tick_us", 1_000, low=1),
            discovery=top.choice("discovery", DiscoveryMode, DiscoveryMode.POLL),
            weights=top.choice("weights", WeightKind, WeightKind.NONE),
            priority_unit=top.choice("priority_unit", PriorityUnit, PriorityUnit.REQUEST),
            over_share_weight=top.number("over_share_weight", 1.0, high=1.0),
            report_source=report.choice("source", ReportSource, ReportSource.NONE),
            report_columns=report.strings("columns"),
            warm_keys=top.flag("warm_keys", False),
            limits=_read_limits(top.section("limits")),
            rules=_read_rules(top.section("rules")),
            prices=_read_prices(top.section("prices")),
            locality=Locality.from_mapping(given.get("locality")),
        )


def _reject_repeated_names(key: str, names: list[str]) -> None:
    if len(set(names)) != len(names):
        raise ConfigurationError(f"{key}: a name stands twice")


def _read_class(reader: ValueReader) -> ServiceClass:
    deadline_us = reader.integer("deadline_us", None, low=1)
    objective_us = reader.integer("latency_objective_us", deadline_us, low=1)
    return ServiceClass(
        name=reader.string("name"),
        deadline_us=deadline_us,
        latency_objective_us=min(objective_us, deadline_us),
        priority_weight=reader.number("priority_weight", 1.0),
        late_priority_weight=reader.number("late_priority_weight", 0.0),
        idempotency=reader.choice("idempotency", Idempotency, Idempotency.NON_IDEMPOTENT),
        deduplication_scope=reader.choice("deduplication_scope", DeduplicationScope, DeduplicationScope.CELL),
        deduplication_window_us=reader.integer("deduplication_window_us", 0),
        streaming=reader.flag("streaming", False),
        objective_stretch_ratio=reader.number("objective_stretch_ratio", 0.0),
    )


def _read_tenant(reader: ValueReader) -> Tenant:
    return Tenant(
        name=reader.string("name"),
        share=reader.number("share", 1.0),
        quota_per_s=reader.number("quota_per_s", 0.0),
    )


def _read_limits(reader: ValueReader) -> Limits:
    return Limits(
        max_attempts=reader.integer("max_attempts", 1),
        may_hedge=reader.flag("may_hedge", False),
        may_cancel=reader.flag("may_cancel", False),
        may_health_check=reader.flag("may_health_check", False),
        may_message=reader.flag("may_message", False),
        retry_after=reader.flag("retry_after", False),
        max_retry_after_us=reader.integer("max_retry_after_us", 0),
        dial_timeout_us=reader.integer("dial_timeout_us", 250_000),
        idle_close_us=reader.integer("idle_close_us", 15_000_000),
        streams_per_connection=reader.integer("streams_per_connection", 1, low=1),
    )


def _read_rules(reader: ValueReader) -> Rules:
    return Rules(
        answer_slack_us=reader.integer("answer_slack_us", 0),
        poll_interval_us=reader.integer("poll_interval_us", 10_000_000, low=1),
        drain_grace_us=reader.integer("drain_grace_us", 0),
        slow_start_min_ratio=reader.number("slow_start_min_ratio", 0.1, low=0.001, high=1.0),
        slow_start_us=reader.integer("slow_start_us", 30_000_000),
        overload_multiple=reader.number("overload_multiple", 1.0, low=0.001),
        overload_window_us=reader.integer("overload_window_us", 2_000_000, low=1),
        late_shedding=reader.flag("late_shedding", False),
    )


def _read_prices(reader: ValueReader) -> Prices:
    return Prices(
        cross_zone=reader.number("cross_zone", 0.0),
        probe=reader.number("probe", 0.0),
        message=reader.number("message", 0.0),
        waste=reader.number("waste", 0.0),
        handshake=reader.number("handshake", 0.0),
        connection=reader.number("connection", 0.0),
    )
