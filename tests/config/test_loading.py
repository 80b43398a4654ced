"""A sidecar's configuration: its files and variables, their precedence, and the values it rejects."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from sidecar_balancer.config.loading import find_errors, read_config
from sidecar_balancer.config.sidecar import SidecarConfig, StateConfig
from sidecar_balancer.config.values import ConfigurationError
from sidecar_balancer.discovery.sources import RelayAddress
from sidecar_balancer.observability.logs import LogConfig

MINIMAL: dict[str, Any] = {
    "listen": "127.0.0.1:8001",
    "discovery": "127.0.0.1:8002",
    "settings": {"lanes": [{"name": "look", "giveUpUs": 2_000_000}]},
}
MEMBERSHIP = {"peer_plane": {"on": True}}
Read = Callable[..., SidecarConfig]


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "config.json"


@pytest.fixture
def read(path: Path) -> Read:
    """Return a function that reads the minimal configuration with the keys and variables passed to it."""

    def read_with(environ: dict[str, str] | None = None, **keys: Any) -> SidecarConfig:
        path.write_text(json.dumps(MINIMAL | keys), encoding="utf-8")
        return read_config({"RELAY_CONFIG": str(path), "TMPDIR": "/tmp/own"} | (environ or {}))

    return read_with


def test_the_minimal_configuration_has_every_subsystem_off(read: Read) -> None:
    config = read()
    assert config.listen == ("127.0.0.1", 8001)
    assert config.discovery == ("127.0.0.1", 8002)
    assert (config.seed, config.max_sockets, config.memory_mb) == (0, 1024, 64)
    assert config.initial_endpoints.entries == []
    assert config.overrides_folder == Path("/tmp/own")
    off = (config.admin_address, config.membership, config.leases, config.state, config.inherited_listener_fd)
    assert off == (None,) * 5
    assert config.relays == ()
    assert config.logging == LogConfig()


@pytest.mark.parametrize(
    ("variable", "field"),
    [
        ("RELAY_LISTEN", "listen"),
        ("RELAY_DISCOVERY", "discovery"),
        ("RELAY_MGMT", "admin_address"),
    ],
)
def test_an_address_in_the_environment_takes_precedence(read: Read, variable: str, field: str) -> None:
    config = read({variable: "10.0.0.1:9"}, mgmt="127.0.0.1:1")
    assert getattr(config, field) == ("10.0.0.1", 9)


def test_an_empty_variable_counts_as_absent(read: Read) -> None:
    assert read({"RELAY_LISTEN": ""}).listen == ("127.0.0.1", 8001)


def test_the_operators_file_takes_precedence_over_the_platforms(read: Read, tmp_path: Path) -> None:
    own = tmp_path / "own.toml"
    own.write_text('[logging]\nlevel = "debug"\n', encoding="utf-8")
    config = read({"WEIRLOCK_CONFIG": str(own)}, logging={"level": "error"})
    assert config.logging.level == "debug"


def test_a_platform_key_in_the_operators_file_is_rejected(read: Read, tmp_path: Path) -> None:
    own = tmp_path / "own.toml"
    own.write_text('listen = "127.0.0.1:1"\n', encoding="utf-8")
    with pytest.raises(ConfigurationError, match="listen: unknown key"):
        read({"WEIRLOCK_CONFIG": str(own)})


def test_state_goes_to_the_temporary_folder_and_takes_a_fraction_of_the_memory_limit(read: Read) -> None:
    config = read(state={"on": True}, limits={"memory_mb": 128})
    assert config.state == StateConfig(Path("/tmp/own"), 2 * 1024 * 1024)


def test_every_key_of_state_is_read(read: Read) -> None:
    raw = {"on": True, "folder": "/a", "tier_folder": "/b", "every_ms": 20, "warm_ms": 0}
    assert read(state=raw).state == StateConfig(Path("/a"), 1024 * 1024, Path("/b"), 20, 0)


@pytest.mark.parametrize("subsystem", ["state", "peer_plane", "duties"])
@pytest.mark.parametrize("on", [False, None, 1, "yes"])
def test_a_subsystem_is_off_unless_on_is_true(read: Read, subsystem: str, on: object) -> None:
    config = read(**{subsystem: {"on": on}})
    assert (config.state, config.membership, config.leases) == (None, None, None)


def test_leases_are_read_in_milliseconds(read: Read) -> None:
    leases = read(duties={"on": True, "term_ms": 2000, "renew_ms": 500}, **MEMBERSHIP).leases
    assert leases is not None
    assert (leases.term_us, leases.renew_us) == (2_000_000, 500_000)


def test_membership_accepts_numbers_with_a_fraction(read: Read) -> None:
    membership = read(peer_plane={"on": True, "period_ms": 150.9, "suspicion_mult": 3}).membership
    assert membership is not None
    assert membership.period_ms == 150


def test_relays_are_read_with_their_zones(read: Read) -> None:
    config = read(relays=[{"address": "10.0.0.1:1", "zone": "a"}, {"address": "10.0.0.2:2"}])
    assert config.relays == (RelayAddress(("10.0.0.1", 1), "a"), RelayAddress(("10.0.0.2", 2)))


REJECTED: list[tuple[dict[str, Any], str]] = [
    ({"listen": None}, "listen: expected an address host:port, got None"),
    ({"listen": "nowhere"}, "listen: expected an address host:port, got 'nowhere'"),
    ({"seed": 7}, "seed"),
    ({"seed": "xyz"}, "seed"),
    ({"mgmt": 7}, "mgmt"),
    ({"known": {"index": "x"}}, "known"),
    ({"settings": None}, "settings"),
    ({"limits": {"sockets": None}}, "limits.sockets"),
    ({"limits": {"memory_mb": True}}, "limits.memory_mb"),
    ({"limits": {"memory_mb": 0.5}}, "limits.memory_mb"),
    ({"peer_listen": None}, "peer_listen"),
    ({"peers": None}, "peers"),
    ({"peers": ["127.0.0.1:1", 5]}, "peers[1]"),
    ({"peer_plane": 5}, "peer_plane"),
    ({"peer_plane": {"period_ms": None}}, "peer_plane.period_ms"),
    ({"peer_plane": {"surprise": 1}}, "peer_plane.surprise"),
    ({"peer_plane": {"on": True, "period_ms": 10}}, "peer_plane"),
    ({"peer_plane": {"on": True, "ban_most": float("inf")}}, "peer_plane"),
    ({"duties": {"on": True}}, "duties: requires peer_plane"),
    ({"duties": {"term_ms": 5.0}}, "duties.term_ms"),
    ({"duties": {"term_ms": 600_001}}, "duties.term_ms"),
    ({"duties": {"term_ms": 10}}, "duties"),
    ({"state": {"folder": None}}, "state.folder"),
    ({"state": {"every_ms": 19}}, "state.every_ms"),
    ({"state": {"warm_ms": 60_001}}, "state.warm_ms"),
    ({"relays": []}, "relays"),
    ({"relays": [{"address": "10.0.0.1:1"}] * 2}, "relays: duplicate address"),
    ({"relays": [{"address": "10.0.0.1:1", "zone": None}]}, "relays[0].zone"),
    ({"logging": {"level": None}}, "logging.level"),
    ({"logging": {"format": ""}}, "logging.format"),
    ({"logging": {"lines_per_s": 0}}, "logging.lines_per_s"),
    ({"logging": {"repeats_per_s": 5.0}}, "logging.repeats_per_s"),
    ({"locality": {"panic": 7}}, "locality.panic"),
]


@pytest.mark.parametrize(
    ("keys", "message_start"), REJECTED, ids=[message_start for _, message_start in REJECTED]
)
def test_an_invalid_value_raises_a_configuration_error_that_names_the_key(
    read: Read, keys: dict[str, Any], message_start: str
) -> None:
    with pytest.raises(ConfigurationError) as raised:
        read(**keys)
    assert str(raised.value).startswith(message_start)


@pytest.mark.parametrize(
    "content", ["", "not json", "[]", "[" * 100_000], ids=["empty", "no JSON", "list", "deep"]
)
def test_a_file_that_holds_no_object_is_rejected(path: Path, content: str) -> None:
    path.write_text(content, encoding="utf-8")
    with pytest.raises(ConfigurationError):
        read_config({"RELAY_CONFIG": str(path)})


def test_a_missing_file_is_rejected(path: Path) -> None:
    with pytest.raises(ConfigurationError, match="No such file"):
        read_config({"RELAY_CONFIG": str(path)})


def test_an_environment_without_a_file_is_rejected() -> None:
    with pytest.raises(ConfigurationError, match="RELAY_CONFIG"):
        read_config({})


@pytest.mark.parametrize("value", ["four", "-1", "4.0"])
def test_a_listener_descriptor_that_is_not_a_number_is_rejected(read: Read, value: str) -> None:
    with pytest.raises(ConfigurationError, match="descriptor"):
        read({"RELAY_ACCEPT_FD": value})


def test_every_error_in_a_file_is_found_with_unknown_keys_last(path: Path) -> None:
    path.write_text(json.dumps(MINIMAL | {"listen": 7, "zzz": 1, "peers": {}, "aaa": 2}), encoding="utf-8")
    keys = [error.partition(":")[0] for error in find_errors(str(path))]
    assert keys == ["listen", "peers", "aaa", "zzz"]


def test_a_valid_file_has_no_errors(path: Path) -> None:
    path.write_text(json.dumps(MINIMAL), encoding="utf-8")
    assert find_errors(str(path)) == []
