"""The configuration of a relay, a TOML file (docs/relay.md)."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

from sidecar_balancer.addresses import Address
from sidecar_balancer.config.logs import read_logging
from sidecar_balancer.config.values import ConfigurationError, ValueReader, read_address
from sidecar_balancer.observability.logs import LogConfig

MAX_UPSTREAMS = 64
MAX_CONNECTIONS = 60_000
MAX_SNAPSHOTS = 1_000
_KEYS = ("connections", "listen", "logging", "mgmt", "snapshots", "upstreams")


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """Limits on the load of a relay."""

    connections: int = 2048
    snapshots: int = 8  # full lists being sent at a time


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """All settings of a relay."""

    listen: Address
    upstreams: tuple[Address, ...]  # the registry, or other relays in order of preference
    admin_address: Address | None  # None: no admin server
    limits: RelayLimits
    logging: LogConfig


def read_relay_config(path: str) -> RelayConfig:
    """Read the file.

    Raises:
        ConfigurationError: A key is unknown or missing, or its value is invalid.
        ValueError: The file is not valid TOML.
        OSError: The file can't be read.
    """
    with Path(path).open("rb") as file:
        values = tomllib.load(file)
    reader = ValueReader(values, "configuration", prefix="")
    reader.reject_unknown(_KEYS)
    return RelayConfig(
        listen=reader.address("listen"),
        upstreams=_read_upstreams(values.get("upstreams")),
        admin_address=reader.address("mgmt") if "mgmt" in reader else None,
        limits=_read_limits(reader),
        logging=read_logging(values.get("logging")),
    )


def _read_upstreams(value: object) -> tuple[Address, ...]:
    if not isinstance(value, list) or not 1 <= len(value) <= MAX_UPSTREAMS:
        raise ConfigurationError(f"upstreams: expected a list of 1 to {MAX_UPSTREAMS} addresses")
    addresses = tuple(read_address(text, "upstreams") for text in value)
    if len(set(addresses)) < len(addresses):
        raise ConfigurationError("upstreams: duplicate address")
    return addresses


def _read_limits(reader: ValueReader) -> RelayLimits:
    defaults = RelayLimits()
    return RelayLimits(
        connections=reader.exact_integer("connections", defaults.connections, 1, MAX_CONNECTIONS),
        snapshots=reader.exact_integer("snapshots", defaults.snapshots, 1, MAX_SNAPSHOTS),
    )
