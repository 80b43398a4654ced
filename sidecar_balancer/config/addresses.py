"""Reads network addresses of a configuration."""

from __future__ import annotations

from sidecar_balancer.addresses import Address, parse_address
from sidecar_balancer.config.values import ConfigurationError


def read_address(value: object, key: str) -> Address:
    """Read an address of a configuration; raises ConfigurationError, which names `key`."""
    if not isinstance(value, str):
        raise ConfigurationError(f"{key}: an address is needed")
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigurationError(f"{key}: {error}") from None
