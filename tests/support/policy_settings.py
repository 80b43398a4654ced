"""Settings and servers for tests of the balancer, and the units of its clock."""

from __future__ import annotations

from typing import Any

from sidecar_balancer.config.settings import read_settings
from sidecar_balancer.policy.settings import Settings

MS = 1_000  # one millisecond in µs, the unit of the balancer's clock
S = 1_000_000
START = 50 * S

IDEMPOTENT = {
    "name": "look",
    "deadline_us": 2 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 1,
    "idempotency": "idempotent",
}
NON_IDEMPOTENT = {
    "name": "pay",
    "deadline_us": 2 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 10,
    "idempotency": "non_idempotent",
}
IDEMPOTENCY_KEY = {
    "name": "amend",
    "deadline_us": 4 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 3,
    "idempotency": "idempotency_key",
    "deduplication_scope": "cell",
    "deduplication_window_us": 2 * S,
}


def settings(**changes: Any) -> Settings:
    """Return permissive settings; changes to `limits` and `rules` are merged, others replace the value."""
    values: dict[str, Any] = {
        "classes": [IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENCY_KEY],
        "zone": "east",
        "tick_us": 5 * MS,
        "limits": {"max_attempts": 5, "may_hedge": True, "may_cancel": True},
        "rules": {
            "slow_start_min_ratio": 0.2,
            "slow_start_us": 10 * S,
            "drain_grace_us": 500 * MS,
            "overload_multiple": 3,
            "overload_window_us": 2 * S,
            "poll_interval_us": 10 * S,
        },
    }
    for key, value in changes.items():
        values[key] = {**values[key], **value} if isinstance(values.get(key), dict) else value
    return read_settings(values)


def server_names(count: int) -> list[str]:
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]
