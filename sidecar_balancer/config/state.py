"""Reader of the operators' `state` object: where and how often state is persisted (docs/recovery.md)."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from sidecar_balancer.config.limits import read_memory_mb
from sidecar_balancer.config.sidecar import StateConfig
from sidecar_balancer.config.values import ValueReader

_KEYS = ("on", "folder", "tier_folder", "every_ms", "warm_ms")
_BYTES_PER_MB = 1024 * 1024
_STATE_DIVISOR = 64  # state files may take the memory limit divided by this, because a tmpfs counts as memory
_DEFAULT_INTERVAL_MS = 1_000
_MIN_INTERVAL_MS = 20
_DEFAULT_WARM_START_TIMEOUT_MS = 500
_MAX_MS = 60_000


def read_state(raw_config: Mapping[str, Any], temporary_folder: Path) -> StateConfig | None:
    """Return the persistence settings, or None if persistence is off; raises ConfigurationError.

    State is written to `temporary_folder` unless the configuration names another folder.
    """
    if raw_config.get("state") is None:
        return None
    reader = ValueReader(raw_config["state"], "state")
    reader.reject_unknown(_KEYS)
    tier_folder = reader.optional_string("tier_folder")
    config = StateConfig(
        folder=Path(reader.string("folder")) if "folder" in reader else temporary_folder,
        max_bytes=read_memory_mb(raw_config) * _BYTES_PER_MB // _STATE_DIVISOR,
        tier_folder=None if tier_folder is None else Path(tier_folder),
        interval_ms=reader.exact_integer("every_ms", _DEFAULT_INTERVAL_MS, _MIN_INTERVAL_MS, _MAX_MS),
        warm_start_timeout_ms=reader.exact_integer("warm_ms", _DEFAULT_WARM_START_TIMEOUT_MS, 0, _MAX_MS),
    )
    return config if reader.is_true("on") else None
