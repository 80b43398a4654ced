"""A sidecar: the assembly of balancer, sockets and subsystems, and their run from start to shutdown."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sidecar_balancer.admin.handlers import AdminHandlers, LoadedOverrides
from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.admin.server import AdminServer
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.policy.actions import (
    CloseIdleConnections,
    FetchEndpoints,
    LogEvent,
    PublishServerVerdict,
    PublishZoneVerdict,
    WatchEndpoints,
)
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.settings import DiscoveryMode
from sidecar_balancer.policy.types import ListKind
from sidecar_balancer.proxy.proxy import Proxy
from sidecar_balancer.runtime.background import Completion, FileWorker
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.runtime.memory_budget import MemoryBudget
from sidecar_balancer.runtime.process_usage import RENEWAL_INTERVAL_S, UsageExchange
from sidecar_balancer.runtime.queueing import PollTimes, running_poll_times
from sidecar_balancer.runtime.request_ids import RequestIds
from sidecar_balancer.runtime.resident_memory import ResidentMemory
from sidecar_balancer.runtime.timers import Timers
from sidecar_balancer.sidecar.endpoint_updates import EndpointUpdates
from sidecar_balancer.sidecar.limit_sharing import RESERVED_DESCRIPTORS, LimitSharing
from sidecar_balancer.sidecar.membership_setup import create_membership
from sidecar_balancer.sidecar.shutdown import drain_clients
from sidecar_balancer.sidecar.state_persistence import create_state_persistence
from sidecar_balancer.sidecar.status_log import StatusLog
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:  # optional subsystems are loaded only if they are configured
    from sidecar_balancer.observability.latency import LatencyHistograms

log = logging.getLogger(__name__)

_TAKEOVER_LIST_TIMEOUT_S = 2.0  # wait while the old process still serves; a start must be ready within 6 s
_OVERRIDES_POLL_INTERVAL_S = 0.1  # interval between checks for overrides that another process has stored
_WATCH_RESTART_RATIO = 2.5  # multiple of the poll interval after which an ended watch restarts by itself
_PUSH_RETRY_DELAY_S = 0.5  # delay after a failed call to the agent that pushes endpoint lists


class Sidecar:
    """A sidecar: a balancer with its connections and subsystems.

    Attributes:
        file_worker: Runs the operations on files, for which the event loop must not wait.
        engine: Runs the balancer and executes its actions.
        discovery: The client that watches the endpoint list.
        endpoint_pool: The connections to servers.
        endpoint_updates: Applies endpoint lists to the balancer and the pool.
        proxy: The requests in flight.
        frontend: The client connections.
        admin_handlers: The handlers of the admin API.
        admin_server: The admin server; None if it is not configured.
    """

    def __init__(self, config: SidecarConfig) -> None:
        """Assemble a sidecar; it listens, but serves nothing until `run`.

        Raises:
            OSError: If a listening socket can't be opened.
        """
        self._settings = settings = config.settings
        self._timers = Timers()
        self.file_worker = FileWorker()
        self.engine = Engine(settings, config.seed, self._timers)
        memory_budget = MemoryBudget(config.memory_mb)
        # The limit applies to client connections and to server connections separately.
        max_connections = memory_budget.connection_limit(config.max_sockets, RESERVED_DESCRIPTORS)
        poll_times = running_poll_times()
        limits = settings.limits
        self.endpoint_pool = EndpointPool(
            limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6, max_connections, memory_budget
        )
        self.discovery = self._create_discovery(config, poll_times)
        self._request_ids = RequestIds(config.shared_folder, _file_suffix(config))
        latencies = _create_latency_histograms(config)
        self.proxy = Proxy(settings, self.engine, self.endpoint_pool, latencies, self._request_ids)
        self.frontend = Frontend(
            config.listen,
            max_connections,
            self.proxy,
            settings,
            config.inherited_listener_fd,
            memory_budget,
            poll_times,
        )
        self._resident_memory = ResidentMemory()
        self._limit_sharing = LimitSharing(
            UsageExchange(config.shared_folder, _file_suffix(config)),
            self._resident_memory,
            memory_budget,
            config.max_sockets,
            self.frontend,
            self.endpoint_pool,
        )
        self._is_takeover = config.inherited_listener_fd is not None
        self._membership = create_membership(config, self.engine)
        self._state_persistence = create_state_persistence(config, self.file_worker)
        self._initial_endpoints = config.initial_endpoints
        self._endpoints_received = asyncio.Event()  # set when discovery has sent an endpoint list
        self.endpoint_updates = EndpointUpdates(
            self.engine, self.endpoint_pool, tracks_list=self._state_persistence is not None
        )
        self.admin_handlers = AdminHandlers(
            self.engine,
            self.proxy,
            self.frontend,
            self.endpoint_pool,
            self.discovery,
            OperatorOverrides(config.overrides_folder),
            self.file_worker,
            self._membership,
            latencies,
        )
        self.admin_server = self._create_admin_server(config)
        self._status_log = StatusLog(
            self.engine.balancer, self.proxy, self.frontend, self.endpoint_pool, self._resident_memory
        )
        self.engine.executors |= self._executors()

    def _create_discovery(self, config: SidecarConfig, poll_times: PollTimes) -> DiscoveryClient:
        return DiscoveryClient(
            config.discovery_addresses(),
            config.initial_endpoints.version,
            self._on_watch_event,
            _WATCH_RESTART_RATIO * config.settings.rules.poll_interval_us / 1e6,
            poll_times=poll_times,
        )

    def _create_admin_server(self, config: SidecarConfig) -> AdminServer | None:
        if config.admin_address is None:
            return None
        return AdminServer(config.admin_address, self.admin_handlers.routes(), self.file_worker)

    # -- From start to shutdown

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then respond to all requests in flight and close everything."""
        status_log = asyncio.get_running_loop().create_task(self._status_log.run())
        try:
            await self._start(stop)
            await stop.wait()
            self.admin_handlers.lifecycle.accepts_clients = False
            self.admin_handlers.lifecycle.is_shutting_down = True
            longest_deadline_us = max(service_class.deadline_us for service_class in self._settings.classes)
            await drain_clients(self.frontend, self.proxy, longest_deadline_us / 1e6, self._is_takeover)
        finally:
            status_log.cancel()
            await self._close()

    def reload(self, config: SidecarConfig) -> None:
        """Apply the settings that may change while the sidecar runs: the addresses of discovery."""
        sources = config.discovery_addresses()
        addresses = ", ".join(f"{host}:{port}" for host, port in sources)
        log.info(
            "configuration reloaded: discovery at %s",
            addresses[:200],
            extra={"event": "configuration_reloaded"},
        )
        if self.discovery.replace_sources(sources):
            self.engine.handle(EndpointListReceived(ListKind.SOURCE_CHANGED))

    async def _start(self, stop: asyncio.Event) -> None:
        self._timers.call_every(RENEWAL_INTERVAL_S, self._limit_sharing.refresh)
        if self.admin_server is not None:
            # Applied before the first request, because overrides outlast the process that accepted them.
            await self._apply_stored_overrides()
            self._timers.call_every(_OVERRIDES_POLL_INTERVAL_S, self.admin_handlers.poll_overrides)
            self.admin_server.start()
        if self._state_persistence is not None:
            self._initial_endpoints = await self._state_persistence.restore(
                self.discovery, self._initial_endpoints
            )
        if self._membership is not None:
            await self._membership.start(self._on_membership_bound)
        if not self._endpoints_received.is_set():  # a reload may have fetched a list already
            self.endpoint_updates.apply(ListKind.CACHED, self._initial_endpoints)
        await self._apply_restored_state(stop)
        if self._state_persistence is not None:
            self._timers.call_every(self._state_persistence.interval_s, self._persist_state)
        if self._settings.discovery is DiscoveryMode.PUSH:
            self.discovery.set_watching(True)
        if self._is_takeover:
            await _wait_for_either(stop, self._endpoints_received, _TAKEOVER_LIST_TIMEOUT_S)
        if not stop.is_set():
            self.frontend.start()
            self.admin_handlers.lifecycle.accepts_clients = True

    async def _apply_stored_overrides(self) -> None:
        applied = asyncio.Event()

        def apply(completion: Completion[LoadedOverrides]) -> None:
            applied.set()
            self.admin_handlers.apply_overrides(completion)

        self.file_worker.start(self.admin_handlers.load_overrides, apply)
        await applied.wait()

    async def _close(self) -> None:
        """Close all sockets and cancel all timers, even if requests are still in flight."""
        self.frontend.stop_listening(accept_pending=False)
        await self.frontend.close(0.0)
        await self.discovery.close()
        await self.endpoint_pool.close()
        self._timers.close()
        self.file_worker.close()
        self._request_ids.close()
        self._limit_sharing.close()
        self._resident_memory.close()
        if self.admin_server is not None:
            self.admin_server.stop()
        if self._membership is not None:
            self._membership.stop()

    # -- Membership and persisted state

    def _on_membership_bound(self) -> None:
        assert self._membership is not None
        if self._state_persistence is not None:
            self._state_persistence.resume_membership(self._membership)
        self._membership.set_disabled_servers(self.admin_handlers.disabled_servers.locally_disabled)
        self._timers.call_every(_OVERRIDES_POLL_INTERVAL_S, self.admin_handlers.disabled_servers.refresh)

    async def _apply_restored_state(self, stop: asyncio.Event) -> None:
        """Pass the persisted state to the balancer or, if there is none, that of peers, in bounded time."""
        persistence = self._state_persistence
        if persistence is None:
            return
        restored = persistence.restored
        if restored is not None and restored.learned.servers:
            self.engine.handle(restored.learned)
        elif self._membership is not None and persistence.warm_start_timeout_s > 0.0:
            learned = await self._membership.fetch_initial_state(stop, persistence.warm_start_timeout_s)
            self.engine.handle(learned)

    def _persist_state(self) -> None:
        assert self._state_persistence is not None
        self._state_persistence.persist(
            self.engine, self._membership, self.discovery, self.endpoint_updates.current
        )

    # -- Discovery

    def _on_watch_event(self, event: WatchEvent) -> None:
        if isinstance(event, ListUpdate):
            self._endpoints_received.set()
            self.endpoint_updates.apply(ListKind.SNAPSHOT if event.complete else ListKind.DELTA, event)
            return
        kind = ListKind.TIMED_OUT if event.timed_out else ListKind.FAILED
        self.engine.handle(EndpointListReceived(kind))
        if self._settings.discovery is DiscoveryMode.PUSH:
            delay_s = 0.0 if event.timed_out else _PUSH_RETRY_DELAY_S
            self._timers.call_later(delay_s, self.discovery.set_watching, True)

    # -- The balancer's actions

    def _executors(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            CloseIdleConnections: self._close_idle_connections,
            WatchEndpoints: self._watch_endpoints,
            FetchEndpoints: self._fetch_endpoints,
            PublishServerVerdict: self._publish_server_verdict,
            PublishZoneVerdict: self._publish_zone_verdict,
            LogEvent: self._log_event,
        }

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        self.endpoint_pool.close_idle(action.server)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        self.discovery.set_watching(action.enabled)

    def _fetch_endpoints(self, _: FetchEndpoints) -> None:
        self.discovery.fetch()

    def _publish_server_verdict(self, action: PublishServerVerdict) -> None:
        if self._membership is not None:
            self._membership.publish_server_verdict(action)

    def _publish_zone_verdict(self, action: PublishZoneVerdict) -> None:
        if self._membership is not None:
            self._membership.publish_zone_verdict(action)

    @staticmethod
    def _log_event(action: LogEvent) -> None:
        subject_key = "zone" if action.name.startswith("zone") else "server"
        log.info("%s", action.text, extra={"event": action.name, subject_key: action.subject})


def _file_suffix(config: SidecarConfig) -> str:
    """Return a suffix for files that both processes of an upgrade share, but no other sidecar."""
    return "-{}-{}".format(*config.listen).replace("/", "_").replace(":", "_")


async def _wait_for_either(first: asyncio.Event, second: asyncio.Event, timeout_s: float) -> None:
    tasks = [asyncio.ensure_future(event.wait()) for event in (first, second)]
    await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def _create_latency_histograms(config: SidecarConfig) -> LatencyHistograms | None:
    """Create histograms if there is an admin server to show them."""
    if config.admin_address is None:
        return None
    from sidecar_balancer.observability.latency import LatencyHistograms

    return LatencyHistograms()
