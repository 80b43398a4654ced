"""The state that an earlier process of this sidecar persisted, and the persistence of the current state."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import EndpointList, ListUpdate, parse_list
from sidecar_balancer.runtime.background import Completion, FileWorker
from sidecar_balancer.runtime.engine import Engine

if TYPE_CHECKING:
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.persistence.persister import StatePersister
    from sidecar_balancer.persistence.state_records import RestoredState

log = logging.getLogger(__name__)


class StatePersistence:
    """The state that survives a crash of this sidecar.

    Attributes:
        interval_s: The interval between writes of the state.
        warm_start_timeout_s: How long to wait for the state of peers if there is no persisted state.
        restored: The state that an earlier process persisted.
    """

    def __init__(
        self,
        persister: StatePersister,
        file_worker: FileWorker,
        interval_s: float,
        warm_start_timeout_s: float,
    ) -> None:
        """Persist through `persister`, which must not be open yet and is used by `file_worker` alone."""
        self.interval_s = interval_s
        self.warm_start_timeout_s = warm_start_timeout_s
        self.restored: RestoredState | None = None
        self._persister = persister
        self._file_worker = file_worker
        self._is_writing = False

    async def restore(self, discovery: DiscoveryClient, initial: ListUpdate) -> ListUpdate:
        """Read the persisted state; return the newer of its endpoint list and the initial one."""
        self.restored = restored = await self._file_worker.run(self._persister.restore)
        record = restored.endpoint_list
        if record is None or record.source != discovery.source_key():
            return initial
        try:
            update = parse_list(record.content)
        except ValueError as error:
            extra = {"event": "persisted_endpoint_list_invalid"}
            log.warning("ignoring the invalid persisted endpoint list: %s", error, extra=extra)
            return initial
        if update.version <= initial.version or not update.entries:
            return initial
        discovery.resume_from(update.version)
        return update

    def resume_membership(self, membership: MembershipBridge) -> None:
        """Continue as the same member as the earlier process."""
        if self.restored is not None:
            from sidecar_balancer.persistence.persister import resume_membership

            resume_membership(membership.transport, self.restored)

    def persist(
        self,
        engine: Engine,
        membership: MembershipBridge | None,
        discovery: DiscoveryClient,
        endpoint_list: EndpointList,
    ) -> None:
        """Collect and write the state, unless the last write still waits for the disk.

        A full or failing disk does not stop the sidecar.
        """
        if self._is_writing:
            return
        from sidecar_balancer.persistence.state_records import EndpointListRecord

        transport = membership.transport if membership is not None else None
        record = None
        if endpoint_list.version:
            record = EndpointListRecord(discovery.source_key(), endpoint_list.to_json())
        state = self._persister.collect(engine.balancer, engine.clock.now(), transport, record)
        self._is_writing = True
        self._file_worker.start(partial(self._persister.write, state), self._written)

    def _written(self, completion: Completion[None]) -> None:
        self._is_writing = False
        completion.get()


def create_state_persistence(config: SidecarConfig, file_worker: FileWorker) -> StatePersistence | None:
    """Create the persistence if it is configured; its modules are loaded only then."""
    state = config.state
    if state is None:
        return None
    from sidecar_balancer.persistence.persister import StatePersister
    from sidecar_balancer.persistence.store import Store

    persister = StatePersister(Store(state.folder, state.max_bytes), state.tier_folder)
    interval_s, warm_start_timeout_s = state.interval_ms / 1000, state.warm_start_timeout_ms / 1000
    return StatePersistence(persister, file_worker, interval_s, warm_start_timeout_s)
