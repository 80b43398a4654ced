"""Reads the platform's `limits` object: the sockets and the memory that the sidecar may use."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sidecar_balancer.config.values import ConfigurationError, ValueReader

_DEFAULT_MAX_SOCKETS = 1024
_DEFAULT_MEMORY_MB = 64
_MAX_LIMIT = 1e9


def read_max_sockets(given: Mapping[str, Any]) -> int:
    """Read how many sockets may be open; raises ConfigurationError."""
    return _read_limit(given, "sockets", _DEFAULT_MAX_SOCKETS)


def read_memory_mb(given: Mapping[str, Any]) -> int:
    """Read how many MiB of memory may be used; raises ConfigurationError."""
    return _read_limit(given, "memory_mb", _DEFAULT_MEMORY_MB)


def _read_limit(given: Mapping[str, Any], key: str, default: int) -> int:
    limits = given.get("limits")
    if not isinstance(limits, Mapping) or key not in limits:
        return default
    value = ValueReader(limits, "limits").any_number(key)
    if not 1 <= value <= _MAX_LIMIT:
        raise ConfigurationError(f"limits.{key}: a number in 1..{_MAX_LIMIT:g} is needed, not {value!r:.60}")
    return int(value)
