"""What a sidecar knows, in a `Store`: gathered each second, given back at the start (docs/recovery.md).

Records, values in msgpack:

    list                 [discovery's address, the list in discovery's form]
    server/NAME          [pace, us left of its ejection, start of its process or nil]
    usual                [[class, size, us], ...]
    bearable             requests of mean cost a us that a warm server served
    plane                [incarnation, version counter]
    member/N             [status, incarnation]
    verdict/ORIGIN/SLOT/SUBJECT   a verdict as a datagram carries it, with the ms it has left
    lease/DUTY           the highest epoch known

Whatever of a record does not read as it should is passed over.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgpack  # type: ignore[import-untyped]

from sidecar_balancer.lease.duties import SNAPSHOT, WROTE
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.codec import Malformed, Status, VerdictUpdate
from sidecar_balancer.membership.transport import PeerPlane
from sidecar_balancer.persistence import tier_snapshot as tier
from sidecar_balancer.persistence.store import Store
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import LearnedServer, StateRestored

log = logging.getLogger(__name__)

SERVERS_MOST = 1024
_TIER_MOST = 4 << 20  # bytes of the tier's snapshot
_SHARED = ("server", "usual", "bearable", "verdict")  # kinds of records that the tier's snapshot holds
_FINE = 0.05  # a pace is kept in steps of this: what hardly moves is not written each second


@dataclass(slots=True)
class RestoredState:
    """What was on disk."""

    learned: StateRestored = field(default_factory=StateRestored)
    endpoint_list: tuple[str, dict[str, Any]] | None = None  # discovery's address, and its list
    membership: tuple[int, int] | None = None
    members: dict[int, tuple[Status, int]] = field(default_factory=dict)
    verdicts: list[VerdictUpdate] = field(default_factory=list)
    lease_epochs: dict[int, int] = field(default_factory=dict)


class StatePersister:
    """Gathers into `store` and reads back; a disk that fails is logged once, and serving goes on."""

    def __init__(self, store: Store, tier_folder: Path | None = None) -> None:
        self.store, self._tier = store, tier_folder
        self._fault = self._tier_fault = False

    def restore(self) -> RestoredState:
        """Read what an earlier life left; whatever is wrong with it is one log line, never an error."""
        try:
            found = self.store.open()
        except OSError as fault:
            log.warning("the state can't be read, it starts cold: %s", fault)
            return RestoredState()
        for note in found.notes:
            log.warning("state: %s", note)
        kept = _read(found.records)
        self._read_tier(kept)
        log.info(
            "state: life %d, %d records, %d servers and %d verdicts recalled",
            self.store.life,
            len(found.records),
            len(kept.learned.servers),
            len(kept.verdicts),
        )
        return kept

    def _read_tier(self, kept: RestoredState) -> None:
        """The tier's snapshot: its token always, what it knows where this sidecar kept nothing."""
        if self._tier is None:
            return
        try:
            token, records, notes = tier.read(self._tier, _TIER_MOST)
        except OSError as fault:
            log.warning("the tier's snapshot can't be read: %s", fault)
            return
        for note in notes:
            log.warning("state: %s", note)
        kept.lease_epochs[SNAPSHOT] = max(kept.lease_epochs.get(SNAPSHOT, 0), token)
        if not kept.learned.servers:
            shared = _read(records)
            kept.learned, kept.verdicts = shared.learned, kept.verdicts or shared.verdicts
            log.info("the tier's snapshot: token %d, %d servers", token, len(shared.learned.servers))

    def persist_tier_snapshot(self, plane: PeerPlane) -> None:
        """Write the tier's snapshot where this sidecar holds that duty."""
        token = plane.holds(SNAPSHOT)
        if self._tier is None or not token or not plane.act(SNAPSHOT, "", WROTE):
            return
        shared = {k: v for k, v in self.store.records().items() if k.partition("/")[0] in _SHARED}
        try:
            if not tier.write(self._tier, token, shared):
                log.warning("the tier's snapshot has a newer token than %d: not written", token)
            self._tier_fault = False
        except OSError as fault:
            if not self._tier_fault:
                log.error("the tier's snapshot can't be written: %s", fault)
            self._tier_fault = True

    def persist(
        self, balancer: Balancer, now: int, plane: PeerPlane | None, listed: tuple[str, str] | None
    ) -> None:
        """Gather all that is to be kept and write what changed.

        `now` is the balancer's clock in us; `listed` where discovery is and the list as JSON.
        """
        fresh = dict(_records(balancer, now, plane))
        if listed is not None:
            fresh["list"] = msgpack.packb(listed)
        for prefix in ("server/", "member/", "verdict/"):
            for key in self.store.keys(prefix):
                if key not in fresh:
                    self.store.put(key, None)
        for key, value in fresh.items():
            self.store.put(key, value)
        try:
            self.store.flush()
            self._fault = False
        except OSError as fault:
            if not self._fault:
                log.error("the state can't be written, it serves on: %s", fault)
            self._fault = True
        if plane is not None:
            self.persist_tier_snapshot(plane)


def _records(balancer: Balancer, now: int, plane: PeerPlane | None) -> Iterator[tuple[str, bytes]]:
    pack = msgpack.packb
    for server in balancer.ready_servers[:SERVERS_MOST]:
        if server.last_response_at >= 0 or server.ejected_until is not None:
            pace, until = round(server.relative_latency / _FINE) * _FINE, server.ejected_until
            # In whole seconds, so that it is no change each time; one at least, while it waits for its trial.
            left = 0 if until is None else max((until - now) // 1_000_000, 1) * 1_000_000
            yield f"server/{server.name}", pack([round(pace, 2), left, server.started_at])
    yield (
        "usual",
        pack(
            [
                [name, size, int(us // 1000) * 1000]
                for (name, size), us in balancer.latency_baselines_us.items()
            ]
        ),
    )
    yield "bearable", pack(float(f"{balancer.capacity_per_us:.2g}"))
    if plane is not None:
        yield from plane.with_core(lambda swim, at: list(_plane_records(swim, at)))
        if plane.duties is not None:
            for number, duty in enumerate(plane.duties.leases.table):
                yield f"lease/{number}", pack(duty.highest)


def _plane_records(swim: Any, now: int) -> Iterator[tuple[str, bytes]]:
    yield "plane", msgpack.packb([swim.incarnation, swim.counter])
    for number, (status, incarnation) in swim.view().items():
        yield f"member/{number}", msgpack.packb([int(status), incarnation])
    for update, left_ms in swim.verdicts.live(now):
        if update.slot != codec.ASKED:
            left = max(left_ms // 1000 * 1000, 1)
            key = f"verdict/{update.origin}/{update.slot}/{update.server}"
            yield key, msgpack.packb(codec.flat(replace(update, ttl_ms=left)))


def _read(records: dict[str, bytes]) -> RestoredState:
    kept, servers = RestoredState(), dict[str, LearnedServer]()
    usual: dict[tuple[str, int], float] = {}
    bearable = 0.0
    for key, value in records.items():
        kind, _, rest = key.partition("/")
        try:
            given = msgpack.unpackb(value)
            if kind == "server":
                servers[rest] = _server(given)
            elif kind == "usual":
                usual = {(str(name), int(size)): float(us) for name, size, us in given if us > 0}
            elif kind == "bearable":
                bearable = max(float(given), 0.0)
            elif kind == "list":
                kept.endpoint_list = (str(given[0]), json.loads(given[1]))
            elif kind == "plane":
                kept.membership = _pair(given)
            elif kind == "member":
                status, incarnation = _pair(given)
                kept.members[int(rest)] = (Status(status), incarnation)
            elif kind == "verdict":
                update = codec.update_from(given)
                kept.verdicts += [update] if isinstance(update, VerdictUpdate) else []
            elif kind == "lease":
                kept.lease_epochs[int(rest)] = int(given)
        except (ValueError, TypeError, IndexError, Malformed, msgpack.UnpackException):
            log.warning("state: record %.80s is not taken", key)
    kept.learned = StateRestored(servers, usual, bearable)
    return kept


def _server(given: Any) -> LearnedServer:
    pace, left, started_at = given
    if not 0.0 < float(pace) < 1e6 or type(left) is not int or left < 0:
        raise ValueError("a server's record")
    return LearnedServer(float(pace), left, None if started_at is None else int(started_at))


def _pair(given: Any) -> tuple[int, int]:
    first, second = given
    if type(first) is not int or type(second) is not int or first < 0 or second < 0:
        raise ValueError("two whole numbers are needed")
    return first, second


def resume_membership(plane: PeerPlane, kept: RestoredState) -> None:
    """Let the plane go on from what an earlier life kept: a life after it, its members and verdicts."""
    if kept.membership is not None:
        held = [(each, each.ttl_ms) for each in kept.verdicts]
        incarnation, counter = kept.membership
        plane.with_core(lambda swim, now: swim.resume(now, incarnation, counter, held))
        plane.with_core(lambda swim, now: swim.recall_members(now, kept.members))
    if plane.duties is not None:
        for number, epoch in kept.lease_epochs.items():
            if 0 <= number < len(plane.duties.leases.table):
                table = plane.duties.leases.table
                table[number].highest = max(table[number].highest, epoch)
