"""Encoding of a sidecar's state as keyed records.

Keys and their msgpack values:

    list                          [address of the discovery service, the endpoint list as JSON]
    server/NAME                   [relative latency, remaining us of its ejection, process start time or nil]
    usual                         [[class, size, us], ...]: the latency baselines
    bearable                      capacity of a warmed-up server, in requests of mean cost per us
    plane                         [incarnation, version counter] of this member
    member/N                      [status, incarnation]
    verdict/ORIGIN/SCOPE/SUBJECT  a verdict in its datagram encoding, with its remaining ms
    lease/N                       the highest known epoch of the lease

A record that can't be decoded is skipped.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.errors import MalformedDatagramError
from sidecar_balancer.membership.messages import MemberStatus, VerdictScope, VerdictUpdate
from sidecar_balancer.membership.swim import Swim
from sidecar_balancer.membership.transport import MembershipTransport
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import RestoredServer, StateRestored

log = logging.getLogger(__name__)

MAX_SERVERS = 1024
DELETED_WHEN_ABSENT = ("server/", "member/", "verdict/")  # key prefixes; absent records are deleted
_SHARED_KINDS = ("server", "usual", "bearable", "verdict")
_RELATIVE_LATENCY_STEP = 0.05  # coarse, so that small changes are not written each time
_MAX_RELATIVE_LATENCY = 1e6
_US_PER_MS = 1_000
_US_PER_S = 1_000_000
_MS_PER_S = 1_000


class EndpointListRecord(NamedTuple):
    """An endpoint list and the address of the discovery service that it came from."""

    source: str
    json_text: str


class RestoredEndpointList(NamedTuple):
    """A decoded EndpointListRecord; the list is parsed from JSON but not validated."""

    source: str
    content: dict[str, Any]


class MemberVersion(NamedTuple):
    """The version of this member's own updates."""

    incarnation: int
    counter: int


class RestoredMember(NamedTuple):
    """A member of the tier as it was last known."""

    status: MemberStatus
    incarnation: int


@dataclass(slots=True)
class RestoredState:
    """The state decoded from persisted records."""

    learned: StateRestored = field(default_factory=StateRestored)
    endpoint_list: RestoredEndpointList | None = None
    membership: MemberVersion | None = None
    members: dict[int, RestoredMember] = field(default_factory=dict)
    verdicts: list[VerdictUpdate] = field(default_factory=list)
    lease_epochs: dict[int, int] = field(default_factory=dict)


def encode(
    balancer: Balancer,
    now_us: int,
    transport: MembershipTransport | None,
    endpoint_list: EndpointListRecord | None,
) -> dict[str, bytes]:
    """Return the records of the current state; `now_us` is the time of the balancer's clock."""
    records = dict(_balancer_records(balancer, now_us))
    if transport is not None:
        records.update(_member_records(transport.swim, transport.now_us()))
        records.update(_lease_records(transport))
    if endpoint_list is not None:
        records["list"] = msgpack.packb(endpoint_list)
    return records


def select_shared(records: Mapping[str, bytes]) -> dict[str, bytes]:
    """Return the records that apply to every sidecar of the tier."""
    return {key: value for key, value in records.items() if key.partition("/")[0] in _SHARED_KINDS}


def _balancer_records(balancer: Balancer, now_us: int) -> Iterator[tuple[str, bytes]]:
    for server in balancer.ready_servers[:MAX_SERVERS]:
        if server.last_response_at >= 0 or server.ejected_until is not None:
            yield f"server/{server.name}", _encode_server(server, now_us)
    baselines = [
        [class_name, size, int(us // _US_PER_MS) * _US_PER_MS]
        for (class_name, size), us in balancer.latency_baselines_us.items()
    ]
    yield "usual", msgpack.packb(baselines)
    yield "bearable", msgpack.packb(float(f"{balancer.capacity_per_us:.2g}"))


def _encode_server(server: Server, now_us: int) -> bytes:
    steps = round(server.relative_latency / _RELATIVE_LATENCY_STEP)
    ejected_us = 0
    if server.ejected_until is not None:
        # Whole seconds, so that the record does not change at every write; at least one second while the
        # server waits for its trial.
        ejected_us = max((server.ejected_until - now_us) // _US_PER_S, 1) * _US_PER_S
    value = [round(steps * _RELATIVE_LATENCY_STEP, 2), ejected_us, server.started_at]
    payload: bytes = msgpack.packb(value)
    return payload


def _member_records(swim: Swim, now_us: int) -> Iterator[tuple[str, bytes]]:
    yield "plane", msgpack.packb([swim.members.incarnation, swim.verdict_counter])
    for number, (status, incarnation) in swim.members.view().items():
        yield f"member/{number}", msgpack.packb([int(status), incarnation])
    for update, ttl_ms in swim.verdicts.live(now_us):
        if update.scope != VerdictScope.TENANT_DEMAND:
            rounded_ttl_ms = max(ttl_ms // _MS_PER_S * _MS_PER_S, 1)
            key = f"verdict/{update.origin}/{update.scope}/{update.subject}"
            yield key, msgpack.packb(codec.update_to_list(replace(update, ttl_ms=rounded_ttl_ms)))


def _lease_records(transport: MembershipTransport) -> Iterator[tuple[str, bytes]]:
    if transport.leases is not None:
        for number, epoch in transport.leases.highest_epochs().items():
            yield f"lease/{number}", msgpack.packb(epoch)


def decode(records: Mapping[str, bytes]) -> RestoredState:
    """Return the state that the records hold; log and skip records that cannot be decoded."""
    decoder = _Decoder()
    for key, value in records.items():
        kind, _, name = key.partition("/")
        try:
            decoder.add(kind, name, msgpack.unpackb(value))
        except (ValueError, TypeError, IndexError, MalformedDatagramError, msgpack.UnpackException):
            log.warning("state: record %.80s is malformed", key, extra={"event": "state_record_rejected"})
    return decoder.result()


class _Decoder:
    """Builds a RestoredState from records, one at a time."""

    def __init__(self) -> None:
        self._state = RestoredState()
        self._servers: dict[str, RestoredServer] = {}
        self._baselines_us: dict[tuple[str, int], float] = {}
        self._capacity_per_us = 0.0

    def add(self, kind: str, name: str, value: Any) -> None:
        """Decode one record; raise ValueError, TypeError or IndexError if its value is malformed."""
        state = self._state
        match kind:
            case "server":
                self._servers[name] = _decode_server(value)
            case "usual":
                self._baselines_us = {
                    (str(class_name), int(size)): float(us) for class_name, size, us in value if us > 0
                }
            case "bearable":
                self._capacity_per_us = max(float(value), 0.0)
            case "list":
                state.endpoint_list = RestoredEndpointList(str(value[0]), json.loads(value[1]))
            case "plane":
                state.membership = MemberVersion(*_decode_pair(value))
            case "member":
                status, incarnation = _decode_pair(value)
                state.members[int(name)] = RestoredMember(MemberStatus(status), incarnation)
            case "verdict":
                update = codec.update_from_list(value)
                if isinstance(update, VerdictUpdate):
                    state.verdicts.append(update)
            case "lease":
                state.lease_epochs[int(name)] = int(value)

    def result(self) -> RestoredState:
        self._state.learned = StateRestored(self._servers, self._baselines_us, self._capacity_per_us)
        return self._state


def _decode_server(value: Any) -> RestoredServer:
    relative_latency, ejected_us, started_at = value
    if not 0.0 < float(relative_latency) < _MAX_RELATIVE_LATENCY:
        raise ValueError(f"relative latency out of range: {relative_latency!r:.60}")
    if type(ejected_us) is not int or ejected_us < 0:
        raise ValueError(f"expected a non-negative integer of microseconds, got {ejected_us!r:.60}")
    return RestoredServer(
        float(relative_latency), ejected_us, None if started_at is None else int(started_at)
    )


def _decode_pair(value: Any) -> tuple[int, int]:
    first, second = value
    if type(first) is not int or type(second) is not int or first < 0 or second < 0:
        raise ValueError(f"expected two non-negative integers, got {value!r:.60}")
    return first, second
