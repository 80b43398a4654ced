"""The configuration of a relay: a TOML file of the operators (docs/relay.md)."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sidecar_balancer.addresses import Address, parse_address
from sidecar_balancer.observability.logs import LogConfig
from sidecar_balancer.relay.service import Limits

UPSTREAMS_MOST = 64
CONNECTIONS_MOST = 60_000
SNAPSHOTS_MOST = 1_000
_KEYS = {"listen", "upstreams", "mgmt", "connections", "snapshots", "logging"}


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """All that a relay is told."""

    listen: Address
    upstreams: tuple[Address, ...]  # the registry, or other relays in order of preference
    mgmt: Address | None  # where the operators call; None: nowhere
    limits: Limits
    logging: LogConfig


def read_relay_config(path: str) -> RelayConfig:
    """Read the file; raise ValueError or OSError, saying in a line what is wrong."""
    with open(path, "rb") as file:
        given = tomllib.load(file)
    if unknown := sorted(set(given) - _KEYS):
        raise ValueError(f"{unknown[0]:.60}: no such key; known are {', '.join(sorted(_KEYS))}")
    return RelayConfig(
        listen=_address(given.get("listen"), "listen"),
        upstreams=_upstreams(given),
        mgmt=_address(given["mgmt"], "mgmt") if "mgmt" in given else None,
        limits=Limits(
            connections=_number(given, "connections", Limits().connections, CONNECTIONS_MOST),
            snapshots=_number(given, "snapshots", Limits().snapshots, SNAPSHOTS_MOST),
        ),
        logging=LogConfig.from_mapping(given.get("logging")),
    )


def _address(value: object, key: str) -> Address:
    if not isinstance(value, str):
        raise ValueError(f"{key}: an address is needed")
    try:
        return parse_address(value)
    except ValueError as bad:
        raise ValueError(f"{key}: {bad}") from None


def _upstreams(given: Mapping[str, Any]) -> tuple[Address, ...]:
    value = given.get("upstreams")
    if not isinstance(value, list) or not 1 <= len(value) <= UPSTREAMS_MOST:
        raise ValueError(f"upstreams: a list of 1 to {UPSTREAMS_MOST} addresses is needed")
    found = tuple(_address(each, "upstreams") for each in value)
    if len(set(found)) < len(found):
        raise ValueError("upstreams: an address is there twice")
    return found


def _number(given: Mapping[str, Any], key: str, default: int, most: int) -> int:
    value = given.get(key, default)
    if type(value) is not int or not 1 <= value <= most:
        raise ValueError(f"{key}: a whole number in 1..{most} is needed")
    return value
