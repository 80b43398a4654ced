"""Starts one sidecar: reads its configuration, serves, reads it again on SIGHUP and drains on SIGTERM.

Run as `python -m sidecar_balancer`, with RELAY_CONFIG naming the configuration.  A bad one ends the start
with one line on standard error and exit code 2.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
import tempfile
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sidecar_balancer.addresses import parse_address
from sidecar_balancer.config.settings import read_locality
from sidecar_balancer.config.sidecar import SidecarConfig, StateConfig
from sidecar_balancer.config.wire_names import settings_from_wire
from sidecar_balancer.discovery.endpoint_list import ListUpdate, parse_list
from sidecar_balancer.discovery.sources import RelayAddress
from sidecar_balancer.downstream import frontend
from sidecar_balancer.observability.logs import LogConfig, LogRateLimiter, configure_logging
from sidecar_balancer.runtime.queueing import TimedLoop
from sidecar_balancer.runtime.sidecar import Sidecar

if TYPE_CHECKING:
    from sidecar_balancer.lease.protocol import LeaseTiming
    from sidecar_balancer.membership.settings import MembershipSettings

log = logging.getLogger(__name__)

_SOCKETS = 1024  # unless the configuration tells
_STATE_PART = 64  # of memory_mb, what the state may take on disk, which counts as memory
_MEMORY_MB = 64  # likewise
_RELAYS_MOST = 64
_REJECTED_LINES = 10  # a second, for what is not a proper request


def read_config(environ: Mapping[str, str]) -> SidecarConfig:
    """Read what the sidecar is told; raise ValueError or OSError, saying what is wrong."""
    given = _given(environ)
    parts = {name: read() for name, read in _readers(given, environ).items()}
    return _config(parts)


def config_faults(path: str) -> list[str]:
    """Every fault of a configuration file, each in a line of words; none where a start would take it."""
    environ = {"RELAY_CONFIG": path}
    faults = []
    try:
        given = _given(environ)
    except (OSError, ValueError, RecursionError) as bad:
        return [str(bad)]
    for name, read in _readers(given, environ).items():
        try:
            read()
        except (ValueError, TypeError, RecursionError) as bad:
            faults.append(str(bad) if name in str(bad) else f"{name}: {bad}")
    unknown = sorted(set(given) - _PLATFORM_KEYS - set(_OPERATORS_KEYS))
    return faults + [f"{key:.60}: no such key" for key in unknown]


def _given(environ: Mapping[str, str]) -> dict[str, Any]:
    """The platform's file, and over it the operators' own, where WEIRLOCK_CONFIG names one (TOML)."""
    path, own = environ.get("RELAY_CONFIG"), environ.get("WEIRLOCK_CONFIG")
    if not path:
        raise ValueError("RELAY_CONFIG names no file")
    with open(path, encoding="utf-8") as file:
        given = json.load(file)
    if not isinstance(given, dict):
        raise ValueError("an object is needed")
    if own:
        import tomllib  # where it is asked for: starts cost CPU

        with open(own, "rb") as toml:
            ours = tomllib.load(toml)
        if unknown := sorted(set(ours) - set(_OPERATORS_KEYS)):
            raise ValueError(f"{own}: {unknown[0]:.60}: no such key; known are {', '.join(_OPERATORS_KEYS)}")
        given |= ours
    return given


def _readers(given: dict[str, Any], environ: Mapping[str, str]) -> dict[str, Callable[[], Any]]:
    """How each part of the configuration is read."""
    known = given.get("known")
    mgmt = environ.get("RELAY_MGMT") or given.get("mgmt")
    return {
        "listen": lambda: _address(environ.get("RELAY_LISTEN") or given.get("listen"), "listen"),
        "discovery": lambda: _address(environ.get("RELAY_DISCOVERY") or given.get("discovery"), "discovery"),
        "seed": lambda: _seed(given.get("seed", "0")),
        "sockets": lambda: _limit(given.get("limits"), "sockets", _SOCKETS),
        "memory_mb": lambda: _limit(given.get("limits"), "memory_mb", _MEMORY_MB),
        "settings": lambda: settings_from_wire(given.get("settings")),
        "locality": lambda: read_locality(given.get("locality")),
        "known": lambda: ListUpdate(0, True, []) if known is None else parse_list(known),
        "orders": lambda: Path(environ.get("TMPDIR") or tempfile.gettempdir()),
        "mgmt": lambda: _address(mgmt, "mgmt") if mgmt is not None else None,
        "accept_fd": lambda: _descriptor(environ.get("RELAY_ACCEPT_FD")),
        "peer_listen": lambda: (
            _address(given["peer_listen"], "peer_listen") if "peer_listen" in given else None
        ),
        "peers": lambda: tuple(
            _address(each, "peers[]") for each in _listed(given.get("peers", []), "peers")
        ),
        "peer_plane": lambda: _tuning(given.get("peer_plane")),
        "identity": lambda: str(environ.get("RELAY_NAME") or given.get("name") or "")[:200],
        "relays": lambda: _relays(given.get("relays")),
        "duties": lambda: _terms(given.get("duties"), given.get("peer_plane")),
        "state": lambda: _state(given, environ),
        "logging": lambda: LogConfig.from_mapping(given.get("logging")),
    }


def _config(parts: dict[str, Any]) -> SidecarConfig:
    settings = replace(parts.pop("settings"), locality=parts.pop("locality"))
    fields = {_FIELDS.get(key, key): value for key, value in parts.items()}
    return SidecarConfig(settings=settings, **fields)


_FIELDS = {
    "sockets": "max_sockets",
    "known": "initial_endpoints",
    "orders": "overrides_folder",
    "mgmt": "admin_address",
    "accept_fd": "inherited_listener_fd",
    "peer_listen": "membership_address",
    "peers": "member_addresses",
    "peer_plane": "membership",
    "duties": "leases",
}


_PLATFORM_KEYS = set(
    "name listen discovery seed limits peer_listen peers peers_all known settings mgmt".split()
)
_OPERATORS_KEYS = ("peer_plane", "duties", "state", "locality", "logging", "relays")


def _listed(value: Any, name: str) -> list[Any]:
    if not isinstance(value, list) or len(value) > 1024:
        raise ValueError(f"{name}: a list of at most 1024 is needed")
    return value


def _tuning(value: Any) -> MembershipSettings | None:
    """The operators' `peer_plane` object: `on` (false unless told) and the fields of `MembershipSettings`."""
    if value is None:
        return None
    from sidecar_balancer.membership.settings import (
        MembershipSettings,  # loaded where it is asked for: starts cost CPU
    )

    if not isinstance(value, dict):
        raise ValueError("peer_plane: an object is needed")
    knobs = {name: each for name, each in value.items() if name != "on"}
    unknown = set(knobs) - set(MembershipSettings.__dataclass_fields__)
    if unknown:
        raise ValueError(f"peer_plane: unknown keys {sorted(unknown)!r:.100}")
    if any(type(each) not in (int, float) for each in knobs.values()):
        raise ValueError("peer_plane: numbers are needed")
    if value.get("on", False) is not True:
        return None
    return MembershipSettings(
        **{name: type(getattr(MembershipSettings(), name))(each) for name, each in knobs.items()}
    )


def _terms(value: Any, plane: Any) -> LeaseTiming | None:
    """The operators' `duties` object: `on` (false unless told), and the leases' times in ms."""
    if value is None:
        return None
    from sidecar_balancer.lease.protocol import LeaseTiming

    knobs = ("term_ms", "renew_ms", "skew_ms", "retry_ms")
    if not isinstance(value, dict) or set(value) - {"on", *knobs}:
        raise ValueError(f"duties: an object of on, {', '.join(knobs)} is needed")
    for name in knobs:
        if name in value and (type(value[name]) is not int or not 0 <= value[name] <= 600_000):
            raise ValueError(f"duties.{name}: whole milliseconds up to 600000 are needed")
    times = {name.replace("_ms", "_us"): 1000 * value[name] for name in knobs if name in value}
    terms = LeaseTiming(**times)
    if value.get("on", False) is not True:
        return None
    if not (isinstance(plane, dict) and plane.get("on") is True):
        raise ValueError("duties: they need the peer plane, and that is off")
    return terms


def _state(given: Mapping[str, Any], environ: Mapping[str, str]) -> StateConfig | None:
    """The operators' `state` object (docs/recovery.md): `folder` is $TMPDIR unless told."""
    value = given.get("state")
    if value is None:
        return None
    if not isinstance(value, dict) or set(value) - {"on", "folder", "tier_folder", "every_ms", "warm_ms"}:
        raise ValueError("state: an object of on, folder, tier_folder, every_ms, warm_ms is needed")
    times = {name: value[name] for name in ("every_ms", "warm_ms") if name in value}
    if any(type(each) is not int or not 0 <= each <= 60_000 for each in times.values()):
        raise ValueError("state: every_ms and warm_ms are whole milliseconds up to 60000")
    folder = value.get("folder", environ.get("TMPDIR") or tempfile.gettempdir())
    tier = value.get("tier_folder")
    texts = isinstance(folder, str) and (tier is None or isinstance(tier, str))
    if not texts or times.get("every_ms", 1000) < 20:
        raise ValueError("state: folder and tier_folder are paths, every_ms at least 20")
    memory_mb = _limit(given.get("limits"), "memory_mb", _MEMORY_MB)
    most = memory_mb * 1024 * 1024 // _STATE_PART
    shared = Path(tier) if tier is not None else None
    return (
        StateConfig(Path(folder), most, shared, times.get("every_ms", 1000), times.get("warm_ms", 500))
        if value.get("on", False) is True
        else None
    )


def _relays(value: Any) -> tuple[RelayAddress, ...]:
    """The operators' `relays`: a list of objects of `address` and, if told, `zone` (docs/relay.md)."""
    if value is None:
        return ()
    if not isinstance(value, list) or not 1 <= len(value) <= _RELAYS_MOST:
        raise ValueError(f"relays: a list of 1 to {_RELAYS_MOST} is needed")
    relays = []
    for each in value:
        if not isinstance(each, dict) or set(each) - {"address", "zone"}:
            raise ValueError("relays[]: an object of address and zone is needed")
        zone = each.get("zone", "")
        if not isinstance(zone, str):
            raise ValueError("relays[].zone: a text is needed")
        relays.append(RelayAddress(_address(each.get("address"), "relays[].address"), zone))
    if len({each.address for each in relays}) < len(relays):
        raise ValueError("relays: an address is there twice")
    return tuple(relays)


def _address(value: Any, name: str) -> tuple[str, int]:
    if not isinstance(value, str):
        raise ValueError(f"{name}: an address is needed")
    return parse_address(value)


def _descriptor(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdecimal():
        raise ValueError(f"RELAY_ACCEPT_FD: the number of a descriptor is needed, not {value!r:.60}")
    return int(value)


def _seed(value: Any) -> int:
    if isinstance(value, str):
        return int(value, 16)
    raise ValueError("seed: hex digits are needed")


def _limit(limits: Any, name: str, default: int) -> int:
    value = limits.get(name, default) if isinstance(limits, dict) else default
    if type(value) not in (int, float) or not 1 <= value <= 1e9:
        raise ValueError(f"limits.{name}: a whole number is needed")
    return int(value)


async def serve(config: SidecarConfig, limiter: LogRateLimiter) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, stop.set)  # before clients can connect: none is left without an answer
    sidecar = Sidecar(config)
    sidecar.operations.log_rate_limiter = limiter
    loop.add_signal_handler(signal.SIGHUP, reload, sidecar)
    await sidecar.run(stop)


def reload(sidecar: Sidecar) -> None:
    """Read the configuration again; a bad one changes nothing.

    The environment tells where discovery was at the start, so here the file is right.
    """
    environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
    try:
        sidecar.reload(read_config(environ))
    except (OSError, ValueError, RecursionError) as bad:
        log.error("bad configuration, the old one stays: %s", " ".join(str(bad).split()))


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    try:
        config = read_config(os.environ)
    except (OSError, ValueError, RecursionError) as bad:
        print(f"bad configuration: {bad}".replace("\n", " "), file=sys.stderr)
        return 2
    limiter = configure_logging(config.logging)
    frontend.log.addFilter(LogRateLimiter(_REJECTED_LINES, _REJECTED_LINES))
    gc.freeze()  # what is loaded by now stays; collections look at requests alone
    try:
        with asyncio.Runner(loop_factory=TimedLoop) as runner:
            runner.run(serve(config, limiter))
    except OSError as fault:
        print(f"can't serve: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
