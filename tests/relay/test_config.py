"""The relay's configuration: its defaults, and the values that it rejects."""

from __future__ import annotations

from pathlib import Path

import pytest

from sidecar_balancer.config.values import ConfigurationError
from sidecar_balancer.observability.logs import LogConfig
from sidecar_balancer.relay.config import RelayConfig, RelayLimits, read_relay_config

REQUIRED = 'listen = "127.0.0.1:9"\nupstreams = ["127.0.0.1:1"]\n'


def read(folder: Path, text: str) -> RelayConfig:
    path = folder / "relay.toml"
    path.write_text(text)
    return read_relay_config(str(path))


def test_all_keys_but_the_addresses_have_defaults(tmp_path: Path) -> None:
    assert read(tmp_path, REQUIRED) == RelayConfig(
        ("127.0.0.1", 9), (("127.0.0.1", 1),), None, RelayLimits(2048, 8), LogConfig()
    )


def test_every_key_is_read(tmp_path: Path) -> None:
    others = 'mgmt = "127.0.0.1:8"\nconnections = 60000\nsnapshots = 1000\n[logging]\nlevel = "error"\n'
    config = read(tmp_path, REQUIRED + others)
    assert config.admin_address == ("127.0.0.1", 8)
    assert config.limits == RelayLimits(60_000, 1_000)
    assert config.logging == LogConfig(level="error")


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("connections = 0", "connections"),
        ("connections = 60001", "connections"),
        ("connections = 20.0", "connections"),
        ("connections = true", "connections"),
        ("snapshots = 0", "snapshots"),
        ("snapshots = 1001", "snapshots"),
        ('snapshots = "many"', "snapshots"),
        ("mgmt = 7", "mgmt"),
        ('mgmt = "nowhere"', "mgmt"),
        ("speed = 9", "speed"),
    ],
)
def test_an_error_names_the_key_of_the_rejected_value(line: str, key: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigurationError, match=rf"^{key}: "):
        read(tmp_path, REQUIRED + line)


@pytest.mark.parametrize("count", [0, 65])
def test_the_number_of_upstreams_is_bounded(count: int, tmp_path: Path) -> None:
    upstreams = ", ".join(f'"127.0.0.1:{number}"' for number in range(1, 1 + count))
    with pytest.raises(ConfigurationError, match=r"^upstreams: "):
        read(tmp_path, f'listen = "127.0.0.1:9"\nupstreams = [{upstreams}]')
