"""Persister of a sidecar's state: periodic writes, and the restore at the next start (docs/recovery.md)."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from pathlib import Path

from sidecar_balancer.lease.fencing import CommandVerb
from sidecar_balancer.lease.manager import TierLease
from sidecar_balancer.membership.transport import MembershipTransport
from sidecar_balancer.membership.verdict_table import LiveVerdict
from sidecar_balancer.persistence import state_records, tier_snapshot
from sidecar_balancer.persistence.state_records import EndpointListRecord, RestoredState
from sidecar_balancer.persistence.store import Store
from sidecar_balancer.policy.balancer import Balancer

log = logging.getLogger(__name__)

_MAX_TIER_SNAPSHOT_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class CollectedState:
    """The state of one moment.

    Attributes:
        records: The records by key.
        snapshot_token: The fencing token to write the tier snapshot under; 0: it is not written.
    """

    records: dict[str, bytes]
    snapshot_token: int


class StatePersister:
    """Persists state in `store` and, while this sidecar holds the snapshot lease, in the tier's folder.

    Disk errors never stop the sidecar; each kind is logged once until a write succeeds again.
    """

    def __init__(self, store: Store, tier_folder: Path | None = None) -> None:
        self.store = store
        self._tier_folder = tier_folder
        self._store_write_failed = False
        self._tier_write_failed = False

    def restore(self) -> RestoredState:
        """Read the state of an earlier incarnation; log errors and omit what is unreadable."""
        try:
            loaded = self.store.open()
        except OSError as error:
            log.warning(
                "state cannot be read, starting without it: %s", error, extra={"event": "state_read_failed"}
            )
            return RestoredState()
        _log_rejected_files(loaded.warnings)
        state = state_records.decode(loaded.records)
        self._restore_tier_snapshot(state)
        log.info(
            "state: incarnation %d, %d records, %d servers and %d verdicts restored",
            self.store.incarnation,
            len(loaded.records),
            len(state.learned.servers),
            len(state.verdicts),
            extra={"event": "state_restored"},
        )
        return state

    def _restore_tier_snapshot(self, state: RestoredState) -> None:
        """Take the tier snapshot's fencing token, and its state if this sidecar restored no servers."""
        if self._tier_folder is None:
            return
        try:
            snapshot = tier_snapshot.read(self._tier_folder, _MAX_TIER_SNAPSHOT_BYTES)
        except OSError as error:
            log.warning(
                "tier snapshot cannot be read: %s", error, extra={"event": "tier_snapshot_read_failed"}
            )
            return
        _log_rejected_files(snapshot.warnings)
        known_epoch = state.lease_epochs.get(TierLease.SNAPSHOT, 0)
        state.lease_epochs[TierLease.SNAPSHOT] = max(known_epoch, snapshot.token)
        if not state.learned.servers:
            shared = state_records.decode(snapshot.records)
            state.learned = shared.learned
            state.verdicts = state.verdicts or shared.verdicts
            log.info(
                "tier snapshot restored: token %d, %d servers",
                snapshot.token,
                len(shared.learned.servers),
                extra={"event": "tier_snapshot_restored"},
            )

    def persist(
        self,
        balancer: Balancer,
        now_us: int,
        transport: MembershipTransport | None,
        endpoint_list: EndpointListRecord | None,
    ) -> None:
        """Collect and write the changes since the last call; `now_us` is the time of the balancer's clock."""
        self.write(self.collect(balancer, now_us, transport, endpoint_list))

    def collect(
        self,
        balancer: Balancer,
        now_us: int,
        transport: MembershipTransport | None,
        endpoint_list: EndpointListRecord | None,
    ) -> CollectedState:
        """Return the state of this moment, encoded; `now_us` is the time of the balancer's clock."""
        records = state_records.encode(balancer, now_us, transport, endpoint_list)
        return CollectedState(records, 0 if transport is None else self._snapshot_token(transport))

    def _snapshot_token(self, transport: MembershipTransport) -> int:
        """Return the fencing token if this sidecar holds the snapshot lease, else 0."""
        token = transport.lease_token(TierLease.SNAPSHOT)
        if self._tier_folder is None or not token:
            return 0
        is_issued = transport.issue_command(TierLease.SNAPSHOT, "", CommandVerb.SNAPSHOT_WRITTEN)
        return token if is_issued else 0

    def write(self, state: CollectedState) -> None:
        """Write the changes since the last call; this waits for the disk."""
        for prefix in state_records.DELETED_WHEN_ABSENT:
            for key in self.store.keys(prefix):
                if key not in state.records:
                    self.store.put(key, None)
        for key, value in state.records.items():
            self.store.put(key, value)
        self._flush()
        if state.snapshot_token:
            self._write_tier_snapshot(state.snapshot_token)

    def _flush(self) -> None:
        try:
            self.store.flush()
        except OSError as error:
            self._report_write_failure(error)
        else:
            self._store_write_failed = False

    def _report_write_failure(self, error: OSError) -> None:
        if not self._store_write_failed:
            log.error(
                "state cannot be written, requests are still served: %s",
                error,
                extra={"event": "state_write_failed"},
            )
        self._store_write_failed = True

    def _write_tier_snapshot(self, token: int) -> None:
        """Write the tier snapshot under a fencing token."""
        assert self._tier_folder is not None
        records = state_records.select_shared(self.store.records())
        try:
            written = tier_snapshot.write(self._tier_folder, token, records)
        except OSError as error:
            self._report_tier_write_failure(error)
            return
        self._tier_write_failed = False
        if not written:
            log.warning(
                "tier snapshot not written: the folder has a newer token than %d",
                token,
                extra={"event": "tier_snapshot_superseded"},
            )

    def _report_tier_write_failure(self, error: OSError) -> None:
        if not self._tier_write_failed:
            log.error(
                "tier snapshot cannot be written: %s",
                error,
                extra={"event": "tier_snapshot_write_failed"},
            )
        self._tier_write_failed = True


def resume_membership(transport: MembershipTransport, state: RestoredState) -> None:
    """Restore the membership of an earlier incarnation: version, members, verdicts and lease epochs."""
    if state.membership is not None:
        verdicts = [LiveVerdict(verdict, verdict.ttl_ms) for verdict in state.verdicts]
        incarnation, counter = state.membership
        transport.swim.restore(transport.now_us(), incarnation, counter, verdicts)
        members = {number: (member.status, member.incarnation) for number, member in state.members.items()}
        transport.swim.members.restore_others(transport.now_us(), members)
    if transport.leases is not None:
        for number, epoch in state.lease_epochs.items():
            transport.leases.restore_epoch(number, epoch)


def _log_rejected_files(warnings: list[str] | tuple[str, ...]) -> None:
    for warning in warnings:
        log.warning("state: %s", warning, extra={"event": "state_file_rejected"})
