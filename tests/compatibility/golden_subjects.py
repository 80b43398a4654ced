"""The only module of these tests that imports the package: it takes and returns bytes and plain lists.

When modules or classes are renamed, the imports and names here follow; the signatures, the tests and the
golden files stay as they are.
"""

from __future__ import annotations

import dataclasses
import enum
import json
from pathlib import Path
from typing import Any

from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.config.wire_names import settings_from_wire
from sidecar_balancer.discovery.endpoint_list import parse_list
from sidecar_balancer.lease.protocol import LeaseTiming
from sidecar_balancer.membership import codec, messages
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.transport import MembershipTransport
from sidecar_balancer.persistence import tier_snapshot
from sidecar_balancer.persistence.persister import StatePersister, resume_membership
from sidecar_balancer.persistence.state_records import EndpointListRecord
from sidecar_balancer.persistence.store import Store
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.types import ListKind

_MAX_BYTES = 1 << 20


def plain(value: Any) -> Any:
    """Convert dataclasses to the list of their values in order, and enums to their values."""
    if isinstance(value, enum.Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, each.name)) for each in dataclasses.fields(value)]
    if isinstance(value, dict):
        return [[plain(key), plain(each)] for key, each in value.items()]
    if isinstance(value, (list, tuple)):
        return [plain(each) for each in value]
    return value


# State


def write_store(folder: Path, flushes: list[list[tuple[str, bytes | None]]]) -> None:
    """Write changes (None: a deletion) as one process does, with one flush for each inner list."""
    store = Store(folder, _MAX_BYTES)
    store.open()
    for changes in flushes:
        for key, value in changes:
            store.put(key, value)
        store.flush()


def read_store(folder: Path) -> tuple[dict[str, bytes], int]:
    """Return a state folder's records, and the number of warnings about truncated or rejected files."""
    loaded = Store(folder, _MAX_BYTES).open()
    return loaded.records, len(loaded.warnings)


def write_tier_snapshot(folder: Path, token: int, records: dict[str, bytes]) -> bool:
    return tier_snapshot.write(folder, token, records)


def read_tier_snapshot(folder: Path) -> tuple[int, dict[str, bytes], int]:
    """Read a tier snapshot: its token, its records and the number of warnings."""
    token, records, warnings = tier_snapshot.read(folder, _MAX_BYTES)
    return token, records, len(warnings)


def restore(folder: Path, tier_folder: Path | None = None) -> list[Any]:
    """Return the state that a start restores from a state folder, as plain nested lists."""
    state: list[Any] = plain(StatePersister(Store(folder, _MAX_BYTES), tier_folder).restore())
    return state


def restore_and_persist(source: Path, target: Path, settings: dict[str, Any], listed: dict[str, Any]) -> None:
    """Start from the state in `source`, with a clock that stands still, and persist the state in `target`.

    The started member is number 0 of four, with seed 7 and leases.
    """
    restored = StatePersister(Store(source, _MAX_BYTES)).restore()
    balancer = Balancer(settings_from_wire(settings), 7)
    endpoint_list = parse_list(listed)
    servers = [each.server for each in endpoint_list.entries]
    now = 1_000_000
    balancer.handle(now, EndpointListReceived(ListKind.CACHED, servers, endpoint_list.version))
    balancer.handle(now, restored.learned)
    peers = [("127.0.0.1", 1 + number) for number in range(4)]
    transport = MembershipTransport(peers[0], peers, 0, 7, MembershipSettings(), LeaseTiming(), lambda: now)
    resume_membership(transport, restored)
    store = Store(target, _MAX_BYTES)
    store.open()
    StatePersister(store).persist(
        balancer, now, transport, EndpointListRecord("192.0.2.1:8500", json.dumps(listed))
    )


# Operator overrides


def write_overrides(folder: Path, excluded: list[str], zones: dict[str, str], evacuated: bool) -> None:
    """Store operator overrides in an empty folder."""
    overrides = OperatorOverrides(folder)
    for server in excluded:
        overrides.disable_server(server)
    for zone, override in zones.items():
        overrides.set_zone_override(zone, override)
    if evacuated:
        overrides.start_drain()


def read_overrides(folder: Path) -> tuple[list[str], dict[str, str], bool]:
    """Read operator overrides: disabled servers, sorted; zone overrides; whether the sidecar is draining."""
    overrides = OperatorOverrides(folder)
    excluded, evacuated = overrides.load()
    return sorted(excluded), overrides.zone_overrides(), evacuated


# Datagrams


def build_datagram(kind: int, incarnation: int, seq: int, target: int, updates: list[list[Any]]) -> bytes:
    """Encode a message from plain values, with its updates as the lists of their wire form."""
    message = messages.Message(
        messages.DatagramKind(kind),
        incarnation,
        seq,
        target,
        tuple(codec.update_from_list(each) for each in updates),
    )
    return codec.encode(message).data


def read_datagram(data: bytes) -> tuple[list[Any], bytes]:
    """Decode a datagram; return its values by position, and the bytes of encoding them again."""
    message = codec.decode(data)
    return plain(message), codec.encode(message).data
