"""Reader of a sidecar's configuration, from files and the environment (docs/configuration.md).

RELAY_CONFIG names the platform's JSON file.  The operators' TOML file, if WEIRLOCK_CONFIG names one, takes
precedence over it; RELAY_LISTEN, RELAY_DISCOVERY, RELAY_MGMT and RELAY_NAME take precedence over both.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple

from sidecar_balancer.addresses import Address
from sidecar_balancer.config.leases import read_leases
from sidecar_balancer.config.limits import read_max_sockets, read_memory_mb
from sidecar_balancer.config.logs import read_logging
from sidecar_balancer.config.membership import read_membership
from sidecar_balancer.config.relays import read_relays
from sidecar_balancer.config.settings import read_locality
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.config.state import read_state
from sidecar_balancer.config.values import ConfigurationError, read_address
from sidecar_balancer.config.wire_names import settings_from_wire
from sidecar_balancer.discovery.endpoint_list import ListUpdate, parse_list

_PLATFORM_KEYS = (
    "name",
    "listen",
    "discovery",
    "seed",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "known",
    "settings",
    "mgmt",
)
_OPERATOR_KEYS = ("peer_plane", "duties", "state", "locality", "logging", "relays")
_MAX_PEERS = 1024
_MAX_NAME_LENGTH = 200


def read_config(environ: Mapping[str, str]) -> SidecarConfig:
    """Return the configuration that the environment names; raises ConfigurationError for its first error."""
    source = _Source(_read_files(environ), environ)
    values = {part.key: _read_part(part, source) for part in _PARTS}
    settings = replace(values.pop("settings"), locality=values.pop("locality"))
    fields = {part.field: values[part.key] for part in _PARTS if part.key in values}
    return SidecarConfig(settings=settings, **fields)


def find_errors(path: str) -> list[str]:
    """Return a line for each error in a configuration file; empty if a sidecar would start with it.

    Unknown top-level keys are listed too, although a sidecar ignores them at startup.
    """
    environ = {"RELAY_CONFIG": path}
    try:
        raw_config = _read_files(environ)
    except ConfigurationError as error:
        return [str(error)]
    errors = []
    source = _Source(raw_config, environ)
    for part in _PARTS:
        try:
            _read_part(part, source)
        except ConfigurationError as error:
            errors.append(str(error))
    unknown = sorted(set(raw_config) - {*_PLATFORM_KEYS, *_OPERATOR_KEYS})
    return errors + [f"{key:.60}: unknown key" for key in unknown]


class _Source(NamedTuple):
    """The merged configuration files and the environment."""

    raw_config: dict[str, Any]
    environ: Mapping[str, str]

    def first_of(self, variable: str, key: str) -> object:
        """Return the value of the variable or, if it is unset or empty, that of the key."""
        return self.environ.get(variable) or self.raw_config.get(key)

    def address(self, variable: str, key: str) -> Address:
        return read_address(self.first_of(variable, key), key)

    def temporary_folder(self) -> Path:
        folder = self.environ.get("TMPDIR")
        if folder:
            return Path(folder)
        import tempfile  # imported only here: it is slow to load, and the platform sets TMPDIR

        return Path(tempfile.gettempdir())

    def private_folder(self) -> Path | None:
        """Return the folder that the platform gives this sidecar alone; None outside the platform."""
        folder = self.environ.get("TMPDIR")
        return Path(folder) if folder else None


class _Part(NamedTuple):
    """A part of the configuration: its name in error messages, its SidecarConfig field and its reader."""

    key: str
    field: str
    read: Callable[[_Source], object]


def _read_part(part: _Part, source: _Source) -> Any:
    try:
        return part.read(source)
    except (ValueError, TypeError, RecursionError) as error:
        message = str(error)
        raise ConfigurationError(message if part.key in message else f"{part.key}: {message}") from None


def _read_files(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG is unset or empty")
    try:
        raw_config = json.loads(Path(path).read_text(encoding="utf-8"))
        if not isinstance(raw_config, dict):
            raise ConfigurationError(f"{path}: expected a JSON object, got {type(raw_config).__name__}")
        operators_path = environ.get("WEIRLOCK_CONFIG")
        return raw_config | _read_operators_file(operators_path) if operators_path else raw_config
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError(str(error)) from None


def _read_operators_file(path: str) -> dict[str, Any]:
    import tomllib  # imported only if there is a TOML file, to save CPU at startup

    with Path(path).open("rb") as file:
        raw_config = tomllib.load(file)
    if unknown := sorted(set(raw_config) - set(_OPERATOR_KEYS)):
        valid_keys = ", ".join(_OPERATOR_KEYS)
        raise ConfigurationError(f"{path}: {unknown[0]:.60}: unknown key; valid keys are {valid_keys}")
    return raw_config


def _read_seed(source: _Source) -> int:
    value = source.raw_config.get("seed", "0")
    if not isinstance(value, str):
        raise ConfigurationError(f"seed: expected a string of hexadecimal digits, got {value!r:.60}")
    return int(value, 16)


def _read_initial_endpoints(source: _Source) -> ListUpdate:
    known = source.raw_config.get("known")
    return ListUpdate(0, True, []) if known is None else parse_list(known)


def _read_admin_address(source: _Source) -> Address | None:
    value = source.first_of("RELAY_MGMT", "mgmt")
    return None if value is None else read_address(value, "mgmt")


def _read_listener_fd(source: _Source) -> int | None:
    value = source.environ.get("RELAY_ACCEPT_FD")
    if not value:
        return None
    if not value.isdecimal():
        raise ConfigurationError(f"RELAY_ACCEPT_FD: expected a file descriptor number, got {value!r:.60}")
    return int(value)


def _read_membership_address(source: _Source) -> Address | None:
    raw_config = source.raw_config
    return read_address(raw_config["peer_listen"], "peer_listen") if "peer_listen" in raw_config else None


def _read_member_addresses(source: _Source) -> tuple[Address, ...]:
    peers = source.raw_config.get("peers", [])
    if not isinstance(peers, list) or len(peers) > _MAX_PEERS:
        raise ConfigurationError(f"peers: expected a list of at most {_MAX_PEERS} addresses")
    return tuple(read_address(peer, f"peers[{index}]") for index, peer in enumerate(peers))


_PARTS = (
    _Part("listen", "listen", lambda source: source.address("RELAY_LISTEN", "listen")),
    _Part("discovery", "discovery", lambda source: source.address("RELAY_DISCOVERY", "discovery")),
    _Part("seed", "seed", _read_seed),
    _Part("sockets", "max_sockets", lambda source: read_max_sockets(source.raw_config)),
    _Part("memory_mb", "memory_mb", lambda source: read_memory_mb(source.raw_config)),
    _Part("settings", "settings", lambda source: settings_from_wire(source.raw_config.get("settings"))),
    _Part("locality", "locality", lambda source: read_locality(source.raw_config.get("locality"))),
    _Part("known", "initial_endpoints", _read_initial_endpoints),
    _Part("orders", "overrides_folder", _Source.temporary_folder),
    _Part("shared", "shared_folder", _Source.private_folder),
    _Part("mgmt", "admin_address", _read_admin_address),
    _Part("accept_fd", "inherited_listener_fd", _read_listener_fd),
    _Part("peer_listen", "membership_address", _read_membership_address),
    _Part("peers", "member_addresses", _read_member_addresses),
    _Part("peer_plane", "membership", lambda source: read_membership(source.raw_config)),
    _Part(
        "name", "identity", lambda source: str(source.first_of("RELAY_NAME", "name") or "")[:_MAX_NAME_LENGTH]
    ),
    _Part("relays", "relays", lambda source: read_relays(source.raw_config)),
    _Part("duties", "leases", lambda source: read_leases(source.raw_config)),
    _Part("state", "state", lambda source: read_state(source.raw_config, source.temporary_folder())),
    _Part("logging", "logging", lambda source: read_logging(source.raw_config.get("logging"))),
)
