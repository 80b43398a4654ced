"""Reader of the balancer's settings from nested mappings.

The keys are the field names of Settings, into which `wire_names` has translated the operators' names.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sidecar_balancer.config.values import ConfigurationError, ValueReader
from sidecar_balancer.policy.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    Locality,
    Prices,
    PriorityUnit,
    ReportSource,
    Rules,
    ServiceClass,
    Settings,
    Tenant,
    WeightKind,
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


def read_settings(raw_settings: Mapping[str, Any]) -> Settings:
    """Return settings from nested mappings with the field names of Settings; absent keys get the defaults.

    Raises a ConfigurationError that names the invalid key.
    """
    top = ValueReader(raw_settings, "settings", prefix="")
    classes = tuple(_read_class(reader) for reader in top.sections("classes"))
    if not classes:
        raise ConfigurationError("classes: expected at least one service class")
    tenants = tuple(_read_tenant(reader) for reader in top.sections("tenants"))
    _reject_duplicate_names("classes", [service_class.name for service_class in classes])
    _reject_duplicate_names("tenants", [tenant.name for tenant in tenants])
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
        locality=read_locality(raw_settings.get("locality")),
    )


def read_locality(raw: object) -> Locality:
    """Return the settings of the operators' `locality` object; None gives the defaults.

    It has the operators' key names.  Raises ConfigurationError for unknown keys and values out of range.
    """
    if raw is None:
        return Locality()
    reader = ValueReader(raw, "locality")
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


def _reject_duplicate_names(key: str, names: list[str]) -> None:
    if len(set(names)) != len(names):
        raise ConfigurationError(f"{key}: duplicate name")


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
