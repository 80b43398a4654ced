"""Reader of the operators' `duties` object: the timing of the tier's leases (docs/leases.md)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from sidecar_balancer.config.values import ConfigurationError, ValueReader

if TYPE_CHECKING:
    from sidecar_balancer.lease.protocol import LeaseTiming

_FIELD_BY_KEY = {"term_ms": "term_us", "renew_ms": "renew_us", "skew_ms": "skew_us", "retry_ms": "retry_us"}
_MAX_MS = 600_000
_US_PER_MS = 1_000


def read_leases(raw_config: Mapping[str, Any]) -> LeaseTiming | None:
    """Return the lease timing, or None if leases are off; raises ConfigurationError."""
    if raw_config.get("duties") is None:
        return None
    from sidecar_balancer.lease.protocol import LeaseTiming  # imported only if needed, to save startup CPU

    reader = ValueReader(raw_config["duties"], "duties")
    reader.reject_unknown(("on", *_FIELD_BY_KEY))
    times_us = {
        field: _US_PER_MS * reader.exact_integer(key, 0, 0, _MAX_MS)
        for key, field in _FIELD_BY_KEY.items()
        if key in reader
    }
    try:
        timing = LeaseTiming(**times_us)
    except ValueError as error:
        raise ConfigurationError(f"duties: {error}") from None
    if not reader.is_true("on"):
        return None
    membership = raw_config.get("peer_plane")
    if not isinstance(membership, Mapping) or not ValueReader(membership, "peer_plane").is_true("on"):
        raise ConfigurationError("duties: requires peer_plane, which is off")
    return timing
