"""Reader of the platform's `limits` object: the sockets and the memory that the sidecar may use."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sidecar_balancer.config.values import ConfigurationError, ValueReader

_DEFAULT_MAX_SOCKETS = 1024
_DEFAULT_MEMORY_MB = 64
_MAX_LIMIT = 1e9


def read_max_sockets(raw_config: Mapping[str, Any]) -> int:
    """Return the maximum number of open sockets; raises ConfigurationError."""
    return _read_limit(raw_config, "sockets", _DEFAULT_MAX_SOCKETS)


def read_memory_mb(raw_config: Mapping[str, Any]) -> int:
    """Return the memory limit in MiB; raises ConfigurationError."""
    return _read_limit(raw_config, "memory_mb", _DEFAULT_MEMORY_MB)


def _read_limit(raw_config: Mapping[str, Any], key: str, default: int) -> int:
    limits = raw_config.get("limits")
    if not isinstance(limits, Mapping) or key not in limits:
        return default
    value = ValueReader(limits, "limits").any_number(key)
    if not 1 <= value <= _MAX_LIMIT:
        raise ConfigurationError(f"limits.{key}: expected a number in 1..{_MAX_LIMIT:g}, got {value!r:.60}")
    return int(value)
