"""Reader of the operators' `relays` list (docs/relay.md)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sidecar_balancer.config.values import ConfigurationError, ValueReader
from sidecar_balancer.discovery.sources import RelayAddress

_MAX_RELAYS = 64
_KEYS = ("address", "zone")


def read_relays(raw_config: Mapping[str, Any]) -> tuple[RelayAddress, ...]:
    """Return the configured relays, empty if there is no such list; raises ConfigurationError."""
    if raw_config.get("relays") is None:
        return ()
    readers = ValueReader(raw_config, "configuration", prefix="").sections("relays")
    if not 1 <= len(readers) <= _MAX_RELAYS:
        raise ConfigurationError(f"relays: expected a list of 1 to {_MAX_RELAYS} relays, got {len(readers)}")
    relays = tuple(_read_relay(reader) for reader in readers)
    if len({relay.address for relay in relays}) < len(relays):
        raise ConfigurationError("relays: duplicate address")
    return relays


def _read_relay(reader: ValueReader) -> RelayAddress:
    reader.reject_unknown(_KEYS)
    zone = reader.string("zone") if "zone" in reader else ""
    return RelayAddress(reader.address("address"), zone)
