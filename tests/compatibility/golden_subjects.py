"""The only module of these tests that imports the package: bytes and plain lists in and out.

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
from sidecar_balancer.persistence import tier_snapshot as tier
from sidecar_balancer.persistence.persister import StatePersister, resume_membership
from sidecar_balancer.persistence.state_records import EndpointListRecord
from sidecar_balancer.persistence.store import Store
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.types import ListKind

_MOST = 1 << 20


def plain(value: Any) -> Any:
    """Turn dataclasses into the list of their values in order, and enums into theirs."""
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
    """Write changes (None: a deletion) as one life of the program, each inner list with one flush."""
    store = Store(folder, _MOST)
    store.open()
    for changes in flushes:
        for key, value in changes:
            store.put(key, value)
        store.flush()


def read_store(folder: Path) -> tuple[dict[str, bytes], int]:
    """Read a state folder's records, and count the notes on files that were cut or refused."""
    found = Store(folder, _MOST).open()
    return found.records, len(found.warnings)


def write_shared_snapshot(folder: Path, token: int, records: dict[str, bytes]) -> bool:
    return tier.write(folder, token, records)


def read_shared_snapshot(folder: Path) -> tuple[int, dict[str, bytes], int]:
    """Read a tier's snapshot: its token, its records and the number of notes."""
    token, records, notes = tier.read(folder, _MOST)
    return token, records, len(notes)


def recalled(folder: Path, shared_folder: Path | None = None) -> list[Any]:
    """What a start takes from a state folder, as plain nested lists."""
    found: list[Any] = plain(StatePersister(Store(folder, _MOST), shared_folder).restore())
    return found


def keep_again(source: Path, target: Path, settings: dict[str, Any], listed: dict[str, Any]) -> None:
    """Start from the state in `source`, with a clock that stands still, and keep what is known in `target`.

    The started member is number 0 of four, with seed 7 and leases of duties.
    """
    kept = StatePersister(Store(source, _MOST)).restore()
    balancer = Balancer(settings_from_wire(settings), 7)
    told = parse_list(listed)
    servers = [each.server for each in told.entries]
    now = 1_000_000
    balancer.handle(now, EndpointListReceived(ListKind.CACHED, servers, told.version))
    balancer.handle(now, kept.learned)
    peers = [("127.0.0.1", 1 + number) for number in range(4)]
    plane = MembershipTransport(peers[0], peers, 0, 7, MembershipSettings(), LeaseTiming(), lambda: now)
    resume_membership(plane, kept)
    store = Store(target, _MOST)
    store.open()
    StatePersister(store).persist(
        balancer, now, plane, EndpointListRecord("192.0.2.1:8500", json.dumps(listed))
    )


# Orders


def write_orders(folder: Path, excluded: list[str], zones: dict[str, str], evacuated: bool) -> None:
    """Store the operators' orders in an empty folder."""
    orders = OperatorOverrides(folder)
    for server in excluded:
        orders.disable_server(server)
    for zone, order in zones.items():
        orders.set_zone_override(zone, order)
    if evacuated:
        orders.start_drain()


def read_orders(folder: Path) -> tuple[list[str], dict[str, str], bool]:
    """Read the operators' orders: excluded servers in order, orders by zone, and whether it is evacuated."""
    orders = OperatorOverrides(folder)
    excluded, evacuated = orders.load()
    return sorted(excluded), orders.zone_overrides(), evacuated


# Datagrams


def build_datagram(kind: int, incarnation: int, seq: int, target: int, updates: list[list[Any]]) -> bytes:
    """Encode a message from plain values, its updates as the lists that a datagram carries."""
    message = messages.Message(
        messages.DatagramKind(kind),
        incarnation,
        seq,
        target,
        tuple(codec.update_from_list(each) for each in updates),
    )
    return codec.encode(message).data


def read_datagram(data: bytes) -> tuple[list[Any], bytes]:
    """Decode a datagram: its values by position, and the bytes of encoding them again."""
    message = codec.decode(data)
    return plain(message), codec.encode(message).data
