"""The operators' names of settings, translated into the names of `sidecar_balancer.config.settings`.

The configuration's `settings` object and the first message of the simulator have the same form.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sidecar_balancer.config.settings import read_settings
from sidecar_balancer.config.values import ConfigurationError
from sidecar_balancer.policy.settings import Settings

# Their name -> the name in Settings; keys without an entry are ignored.
_TOP_LEVEL_NAMES = {
    "lanes": "classes",
    "realms": "tenants",
    "zone": "zone",
    "me": "member_index",
    "groupSize": "fleet_size",
    "quantumUs": "tick_us",
    "discovery": "discovery",
    "weights": "weights",
    "worthBy": "priority_unit",
    "overShareWorth": "over_share_weight",
    "report": "report",
    "bounds": "limits",
    "guarantees": "rules",
    "prices": "prices",
}
_SECTION_NAMES = {
    "classes": {
        "name": "name",
        "giveUpUs": "deadline_us",
        "promiseUs": "latency_objective_us",
        "worth": "priority_weight",
        "lateValue": "late_priority_weight",
        "repeat": "idempotency",
        "group": "deduplication_scope",
        "memorySpanUs": "deduplication_window_us",
        "streaming": "streaming",
        "aimStretch": "objective_stretch_ratio",
    },
    "tenants": {"name": "name", "portion": "share", "quotaRps": "quota_per_s"},
    "report": {"columns": "columns", "source": "source"},
    "limits": {
        "sendCap": "max_attempts",
        "secondCopies": "may_hedge",
        "mayCancel": "may_cancel",
        "probing": "may_health_check",
        "mayTell": "may_message",
        "retryAfter": "retry_after",
        "maxRetryAfterUs": "max_retry_after_us",
        "dialTimeoutUs": "dial_timeout_us",
        "idleCloseUs": "idle_close_us",
        "streamsPerConn": "streams_per_connection",
    },
    "rules": {
        "answerSlackUs": "answer_slack_us",
        "askWithinUs": "poll_interval_us",
        "drainGraceUs": "drain_grace_us",
        "coldFrom": "slow_start_min_ratio",
        "coldUs": "slow_start_us",
        "fallMultiple": "overload_multiple",
        "fallUs": "overload_window_us",
        "lateShedding": "late_shedding",
    },
    "prices": {
        "crossZone": "cross_zone",
        "probe": "probe",
        "peer": "message",
        "waste": "waste",
        "handshake": "handshake",
        "connection": "connection",
    },
}
_VALUE_NAMES = {
    "idempotency": {"read_like": "idempotent"},
    "source": {"piggyback": "answers", "pull": "probes"},
}


def settings_from_wire(given: object) -> Settings:
    """Translate the operators' settings object; raises ConfigurationError, which names the key at fault."""
    if not isinstance(given, Mapping):
        raise ConfigurationError("settings: an object is needed")
    named = _renamed(given, _TOP_LEVEL_NAMES)
    for key, names in _SECTION_NAMES.items():
        section = named.get(key)
        if isinstance(section, list):
            named[key] = [_renamed(item, names) if isinstance(item, Mapping) else item for item in section]
        elif isinstance(section, Mapping):
            named[key] = _renamed(section, names)
    domain = given.get("domain")
    if isinstance(domain, Mapping):
        named["warm_keys"] = domain.get("warmKeys")
    return read_settings(named)


def _renamed(given: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    renamed: dict[str, Any] = {}
    for wire_name, name in names.items():
        if wire_name not in given:
            continue
        value = given[wire_name]
        if isinstance(value, str):
            value = _VALUE_NAMES.get(name, {}).get(value, value)
        renamed[name] = value
    return renamed
