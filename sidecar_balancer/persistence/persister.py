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

from sidecar_balancer.lease.fencing import CommandVerb
from sidecar_balancer.lease.manager import TierLease
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.errors import MalformedDatagramError
from sidecar_balancer.membership.messages import MemberStatus, VerdictScope, VerdictUpdate
from sidecar_balancer.membership.swim import Swim
from sidecar_balancer.membership.transport import MembershipTransport
from sidecar_balancer.membership.verdict_table import LiveVerdict
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
class Kept:
    """What was on disk."""

    recalled: StateRestored = field(default_factory=StateRestored)
    listed: tuple[str, dict[str, Any]] | None = None  # discovery's address, and its list
    plane: tuple[int, int] | None = None
    members: dict[int, tuple[MemberStatus, int]] = field(default_factory=dict)
    verdicts: list[VerdictUpdate] = field(default_factory=list)
    epochs: dict[int, int] = field(default_factory=dict)


class Keeper:
    """Gathers into `store` and reads back; a disk that fails is logged once, and serving goes on."""

    def __init__(self, store: Store, tier_folder: Path | None = None) -> None:
        self.store, self._tier = store, tier_folder
        self._fault = self._tier_fault = False

    def open(self) -> Kept:
        """Read what an earlier life left; whatever is wrong with it is one log line, never an error."""
        try:
            found = self.store.open()
        except OSError as fault:
            log.warning("the state can't be read, it starts cold: %s", fault)
            return Kept()
        for note in found.notes:
            log.warning("state: %s", note)
        kept = _read(found.records)
        self._read_tier(kept)
        log.info(
            "state: life %d, %d records, %d servers and %d verdicts recalled",
            self.store.life,
            len(found.records),
            len(kept.recalled.servers),
            len(kept.verdicts),
        )
        return kept

    def _read_tier(self, kept: Kept) -> None:
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
        kept.epochs[TierLease.SNAPSHOT] = max(kept.epochs.get(TierLease.SNAPSHOT, 0), token)
        if not kept.recalled.servers:
            shared = _read(records)
            kept.recalled, kept.verdicts = shared.recalled, kept.verdicts or shared.verdicts
            log.info("the tier's snapshot: token %d, %d servers", token, len(shared.recalled.servers))

    def keep_for_tier(self, plane: MembershipTransport) -> None:
        """Write the tier's snapshot where this sidecar holds that duty."""
        token = plane.lease_token(TierLease.SNAPSHOT)
        if (
            self._tier is None
            or not token
            or not plane.issue_command(TierLease.SNAPSHOT, "", CommandVerb.SNAPSHOT_WRITTEN)
        ):
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

    def keep(
        self, balancer: Balancer, now: int, plane: MembershipTransport | None, listed: tuple[str, str] | None
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
            self.keep_for_tier(plane)


def _records(balancer: Balancer, now: int, plane: MembershipTransport | None) -> Iterator[tuple[str, bytes]]:
    pack = msgpack.packb
    for server in balancer.ready[:SERVERS_MOST]:
        if server.last_answer_at >= 0 or server.ejected_until is not None:
            pace, until = round(server.pace / _FINE) * _FINE, server.ejected_until
            # In whole seconds, so that it is no change each time; one at least, while it waits for its trial.
            left = 0 if until is None else max((until - now) // 1_000_000, 1) * 1_000_000
            yield f"server/{server.name}", pack([round(pace, 2), left, server.started_at])
    yield "usual", pack([[name, size, int(us // 1000) * 1000] for (name, size), us in balancer.norms.items()])
    yield "bearable", pack(float(f"{balancer.bearable:.2g}"))
    if plane is not None:
        yield from _plane_records(plane.swim, plane.now_us())
        if plane.leases is not None:
            for number, epoch in plane.leases.highest_epochs().items():
                yield f"lease/{number}", pack(epoch)


def _plane_records(swim: Swim, now: int) -> Iterator[tuple[str, bytes]]:
    yield "plane", msgpack.packb([swim.members.incarnation, swim.verdict_counter])
    for number, (status, incarnation) in swim.members.view().items():
        yield f"member/{number}", msgpack.packb([int(status), incarnation])
    for update, left_ms in swim.verdicts.live(now):
        if update.scope != VerdictScope.TENANT_DEMAND:
            left = max(left_ms // 1000 * 1000, 1)
            key = f"verdict/{update.origin}/{update.scope}/{update.subject}"
            yield key, msgpack.packb(codec.update_to_list(replace(update, ttl_ms=left)))


def _read(records: dict[str, bytes]) -> Kept:
    kept, servers = Kept(), dict[str, LearnedServer]()
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
                kept.listed = (str(given[0]), json.loads(given[1]))
            elif kind == "plane":
                kept.plane = _pair(given)
            elif kind == "member":
                status, incarnation = _pair(given)
                kept.members[int(rest)] = (MemberStatus(status), incarnation)
            elif kind == "verdict":
                update = codec.update_from_list(given)
                kept.verdicts += [update] if isinstance(update, VerdictUpdate) else []
            elif kind == "lease":
                kept.epochs[int(rest)] = int(given)
        except (ValueError, TypeError, IndexError, MalformedDatagramError, msgpack.UnpackException):
            log.warning("state: record %.80s is not taken", key)
    kept.recalled = StateRestored(servers, usual, bearable)
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


def resume_plane(plane: MembershipTransport, kept: Kept) -> None:
    """Let the plane go on from what an earlier life kept: a life after it, its members and verdicts."""
    if kept.plane is not None:
        held = [LiveVerdict(each, each.ttl_ms) for each in kept.verdicts]
        incarnation, counter = kept.plane
        plane.swim.restore(plane.now_us(), incarnation, counter, held)
        plane.swim.members.restore_others(plane.now_us(), kept.members)
    if plane.leases is not None:
        for number, epoch in kept.epochs.items():
            plane.leases.restore_epoch(number, epoch)
