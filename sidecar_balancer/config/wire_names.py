"""Translation of the operators' setting names into the field names that `config.settings` reads.

The configuration's `settings` object and the simulator's first message have the same form.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sidecar_balancer.config.settings import read_settings
from sidecar_balancer.config.values import ConfigurationError
from sidecar_balancer.policy.settings import Settings

# Operators' name -> field name in Settings; keys without an entry are ignored.
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


def settings_from_wire(raw_settings: object) -> Settings:
    """Return the operators' settings; raises a ConfigurationError that names the invalid key."""
    if not isinstance(raw_settings, Mapping):
        raise ConfigurationError(f"settings: expected an object, got {type(raw_settings).__name__}")
    translated = _rename_keys(raw_settings, _TOP_LEVEL_NAMES)
    for key, names in _SECTION_NAMES.items():
        section = translated.get(key)
        if isinstance(section, list):
            translated[key] = [
                _rename_keys(item, names) if isinstance(item, Mapping) else item for item in section
            ]
        elif isinstance(section, Mapping):
            translated[key] = _rename_keys(section, names)
    domain = raw_settings.get("domain")
    if isinstance(domain, Mapping):
        translated["warm_keys"] = domain.get("warmKeys")
    return read_settings(translated)


def _rename_keys(raw: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    renamed: dict[str, Any] = {}
    for wire_name, name in names.items():
        if wire_name not in raw:
            continue
        value = raw[wire_name]
        if isinstance(value, str):
            value = _VALUE_NAMES.get(name, {}).get(value, value)
        renamed[name] = value
    return renamed
