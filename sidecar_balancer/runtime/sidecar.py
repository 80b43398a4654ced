"""One sidecar: puts module, sockets and subsystems together, and runs them from start to drain."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sidecar_balancer.admin.drain import IDLE_CLOSE_DELAY_S
from sidecar_balancer.admin.handlers import AdminHandlers
from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.admin.server import AdminServer
from sidecar_balancer.admin.views import state_summary
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import EndpointList, ListUpdate, parse_list
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
from sidecar_balancer.policy.settings import DiscoveryMode, Settings
from sidecar_balancer.policy.types import ListKind
from sidecar_balancer.runtime.engine import Engine
from sidecar_balancer.runtime.proxy import Proxy, count_by_status
from sidecar_balancer.runtime.queueing import running_poll_times
from sidecar_balancer.runtime.streams import BodyMemory
from sidecar_balancer.runtime.timers import Timers
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

if TYPE_CHECKING:  # loaded where the plane is on: a start without it costs no more CPU
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.observability.latency import LatencyHistograms
    from sidecar_balancer.persistence.persister import StatePersister
    from sidecar_balancer.persistence.state_records import RestoredState

log = logging.getLogger(__name__)

_ACCEPT_WHILE_DRAINING_S = 0.5  # after SIGTERM, how long connections are still taken: they come for 0.4 s
_UNUSED_CONNECTION_GRACE_S = 0.65  # when those just opened are closed too, whose request did not come
_DRAIN_MARGIN_S = (
    0.62  # how much longer than the longest deadline all may last: the platform's kill comes after 0.7
)
_FLUSH_TIMEOUT_S = 0.05  # and what the last answers may take from there onto the wire
_MAX_DRAIN_DEADLINE_S = 3.0  # the platform waits for no longer deadline than this
_DRAIN_POLL_S = 0.02  # how often a drain looks at what is left
_TAKEOVER_LIST_TIMEOUT_S = (
    2.0  # beside a process that serves, how long a start waits for the list; it is ready within 6 s
)
_OVERRIDES_POLL_INTERVAL_S = 0.1  # how often the orders are read that another process may have taken
_LAG_CHECK_INTERVAL_S = 0.25  # how often the event loop's lag is looked at
_LAG_WARNING_S = 0.05  # and from when on it is logged
_STATE_LOG_INTERVAL_S = 1.0  # how often the log is told how things stand
_WATCH_RESTART_RATIO = (
    2.5  # of the time without asking, after which a watch that ended is begun again by itself
)
_PUSH_RETRY_DELAY_S = 0.5  # before a failed call to the agent that holds pushed lists is made again
_RESERVED_DESCRIPTORS = 64  # descriptors left for discovery, logs and the runtime


class Sidecar:
    """One sidecar: a balancer and the sockets round it."""

    def __init__(self, config: SidecarConfig) -> None:
        self._settings = settings = config.settings
        self._longest_s = max(each.deadline_us for each in settings.classes) / 1e6
        self._timers = Timers()
        self._engine = Engine(settings, config.seed, self._timers)
        body_memory = BodyMemory(config.memory_mb)
        max_connections = max((config.max_sockets - _RESERVED_DESCRIPTORS) // 2, 1)  # on either side
        poll_times = running_poll_times()
        self._endpoint_pool = _create_endpoint_pool(settings, max_connections, body_memory)
        watch_restart_s = _WATCH_RESTART_RATIO * settings.rules.poll_interval_us / 1e6
        self._discovery = DiscoveryClient(
            config.discovery_addresses(),
            config.initial_endpoints.version,
            self._on_watch_event,
            watch_restart_s,
            poll_times=poll_times,
        )
        latencies = _latencies(config)
        self.proxy = Proxy(settings, self._engine, self._endpoint_pool, latencies)
        self.frontend = Frontend(
            config.listen,
            max_connections,
            self.proxy,
            settings,
            config.inherited_listener_fd,
            body_memory,
            poll_times,
        )
        self._is_takeover = config.inherited_listener_fd is not None
        self._known_endpoints = config.initial_endpoints
        self._endpoints_known = asyncio.Event()  # discovery has answered
        self._logged_response_counts: Counter[int] = (
            Counter()
        )  # of the answers, those that the log was told of
        self._logged_cpu_s = 0.0
        self._link = self._create_membership(config)
        self._keeper = self._create_persister(config)
        self._restored: RestoredState | None = None
        self._endpoint_list = EndpointList()  # as it is now, for the state
        self._persist_interval_s = config.state.interval_ms / 1000 if config.state is not None else 0.0
        self._peer_warm_up_s = config.state.warm_start_timeout_ms / 1000 if config.state is not None else 0.0
        self.operations = AdminHandlers(
            self._engine,
            self.proxy,
            self.frontend,
            self._endpoint_pool,
            self._discovery,
            OperatorOverrides(config.overrides_folder),
            self._link,
            latencies,
        )
        self.door = (
            AdminServer(config.admin_address, self.operations.routes())
            if config.admin_address is not None
            else None
        )
        executors: dict[type[Any], Callable[[Any], None]] = {
            CloseIdleConnections: lambda action: self._endpoint_pool.close_idle(action.server),
            WatchEndpoints: lambda action: self._discovery.set_watching(action.enabled),
            FetchEndpoints: lambda _: self._discovery.fetch(),
            PublishServerVerdict: self._publish_server_verdict,
            PublishZoneVerdict: self._publish_zone_verdict,
            LogEvent: self._log_event,
        }
        self._engine.executors |= executors

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, then answer all that is held and return, with nothing left behind."""
        lag = asyncio.get_running_loop().create_task(self._monitor_lag())
        try:
            await self._start(stop)
            await stop.wait()
            self.operations.lifecycle.accepts_clients = False
            self.operations.lifecycle.is_shutting_down = True
            await self._drain()
        finally:
            lag.cancel()
            await self._end()

    async def _start(self, stop: asyncio.Event) -> None:
        if self.door is not None:
            # Before the first request: a ban outlasts the process that took it.
            self._timers.every(_OVERRIDES_POLL_INTERVAL_S, self.operations.apply_stored_overrides)
            self.door.start()
        self._restore_state()
        if self._link is not None:
            await self._link.start(self._membership_bound)
        if not self._endpoints_known.is_set():  # else discovery has answered meanwhile, after a reload
            self._apply_endpoint_list(ListKind.CACHED, self._known_endpoints)
        await self._recall_servers(stop)
        if self._keeper is not None:
            self._timers.every(self._persist_interval_s, self._persist_state)
        if self._settings.discovery is DiscoveryMode.PUSH:
            self._discovery.set_watching(True)
        if self._is_takeover:
            await self._first_of(stop, self._endpoints_known, _TAKEOVER_LIST_TIMEOUT_S)
        if not stop.is_set():
            self.frontend.start()
            self.operations.lifecycle.accepts_clients = True

    async def _end(self) -> None:
        """Close what is open and cancel what is planned, whether or not all was answered."""
        self.frontend.stop_listening(accept_pending=False)
        await self.frontend.close(0.0)
        await self._discovery.close()
        await self._endpoint_pool.close()
        self._timers.close()
        if self.door is not None:
            self.door.stop()
        if self._link is not None:
            self._link.stop()

    @staticmethod
    async def _first_of(one: asyncio.Event, other: asyncio.Event, limit_s: float) -> None:
        tasks = [asyncio.ensure_future(each.wait()) for each in (one, other)]
        await asyncio.wait(tasks, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    def reload(self, config: SidecarConfig) -> None:
        """Take over what may change while this runs: where discovery is."""
        sources = config.discovery_addresses()
        log.info("reloaded: discovery at %s", ", ".join("{}:{}".format(*each) for each in sources)[:200])
        if self._discovery.replace_sources(sources):
            self._engine.handle(EndpointListReceived(ListKind.SOURCE_CHANGED))

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        drain_started_at = loop.time()
        log.info("draining: %d requests held", len(self.proxy.by_client_request))
        if self._is_takeover:  # the next process has the queue: not one more is taken out of it here
            self.frontend.stop_listening(accept_pending=False)
            self.frontend.drain(IDLE_CLOSE_DELAY_S)
        else:
            self.frontend.drain()
            await asyncio.sleep(_ACCEPT_WHILE_DRAINING_S)
            self.frontend.stop_listening()
        drain_deadline = drain_started_at + min(self._longest_s, _MAX_DRAIN_DEADLINE_S) + _DRAIN_MARGIN_S
        while not self.frontend.is_empty() and loop.time() < drain_deadline:
            await asyncio.sleep(_DRAIN_POLL_S)
            if loop.time() >= drain_started_at + _UNUSED_CONNECTION_GRACE_S:
                self.frontend.close_idle(only_used=False)  # those just opened too: their request did not come
        self.proxy.fail_all()
        await self.frontend.close(_FLUSH_TIMEOUT_S)
        log.info("drained")

    async def _monitor_lag(self) -> None:
        loop = asyncio.get_running_loop()
        logged_at = loop.time()
        while True:
            due_at = loop.time() + _LAG_CHECK_INTERVAL_S
            await asyncio.sleep(_LAG_CHECK_INTERVAL_S)
            lag_s = loop.time() - due_at
            if lag_s > _LAG_WARNING_S:
                log.warning("the event loop was %.0f ms late", lag_s * 1000)
            if loop.time() >= logged_at + _STATE_LOG_INTERVAL_S:
                logged_at = loop.time()
                self._log_state()

    @staticmethod
    def _log_event(action: LogEvent) -> None:
        subject_key = "zone" if action.name.startswith("zone") else "server"
        log.info("%s", action.text, extra={"event": action.name, subject_key: action.subject})

    def _log_state(self) -> None:
        """Tell how things stand, where anything was answered since it was last told."""
        self.proxy.request_log.reset_quota()
        answered = count_by_status(self.proxy.response_counts - self._logged_response_counts)
        if answered:
            self._logged_response_counts = self.proxy.response_counts.copy()
            counts = ", ".join(f"{count} x {status}" for status, count in answered.items())
            clients = len(self.frontend.connections)
            held, state = len(self.proxy.by_client_request), state_summary(self._engine.balancer)
            cpu_s = time.process_time() - self._logged_cpu_s
            self._logged_cpu_s += cpu_s
            told = "answered %s; %d clients, %d held, %d connections to servers, %.2f s of CPU; %s"
            about = {"event": "state", "answered": answered}
            log.info(told, counts, clients, held, self._endpoint_pool.open_count, cpu_s, state, extra=about)

    # -- The peer plane ------------------------------------------------------------------------------------

    def _create_membership(self, config: SidecarConfig) -> MembershipBridge | None:
        if config.membership is None or config.membership_address is None:
            return None
        from sidecar_balancer.membership.bridge import MembershipBridge
        from sidecar_balancer.membership.transport import MembershipTransport

        me, settings = config.settings.member_index, config.settings
        plane = MembershipTransport(
            config.membership_address,
            list(config.member_addresses),
            me,
            config.seed,
            config.membership,
            config.leases,
        )
        classes = [each.name for each in settings.classes]
        return MembershipBridge(
            plane,
            classes,
            self._engine.handle,
            self._request_rates,
            self._server_paces,
            settings.locality.health_check_interval_us,
        )

    def _server_paces(self) -> dict[str, float]:
        """What peers that start may take: of servers that answered and are held nothing against."""
        sound = (
            each
            for each in self._engine.balancer.ready_servers
            if each.last_response_at >= 0 and not each.published_verdicts
        )
        return {each.name: each.relative_latency for each in sound if each.ejected_until is None}

    def _request_rates(self) -> dict[str, float]:
        return self._engine.balancer.demand_per_s_by_tenant(self._engine.clock.now())

    def _membership_bound(self) -> None:
        assert self._link is not None
        if self._restored is not None:
            from sidecar_balancer.persistence.persister import resume_membership

            resume_membership(self._link.transport, self._restored)
        self._link.set_disabled_servers(self.operations.disabled_servers.by_own_overrides)
        self._timers.every(_OVERRIDES_POLL_INTERVAL_S, self.operations.disabled_servers.refresh)

    def _publish_server_verdict(self, action: PublishServerVerdict) -> None:
        if self._link is not None:
            self._link.publish_server_verdict(action)

    def _publish_zone_verdict(self, action: PublishZoneVerdict) -> None:
        if self._link is not None:
            self._link.publish_zone_verdict(action)

    # -- What outlasts a crash -----------------------------------------------------------------------------

    def _create_persister(self, config: SidecarConfig) -> StatePersister | None:
        if config.state is None:
            return None
        from sidecar_balancer.persistence.persister import StatePersister
        from sidecar_balancer.persistence.store import Store

        return StatePersister(Store(config.state.folder, config.state.max_bytes), config.state.tier_folder)

    def _restore_state(self) -> None:
        """Begin with what an earlier life kept: the list where it is newer, then what was learned."""
        if self._keeper is None:
            return
        self._restored = kept = self._keeper.restore()
        if kept.endpoint_list is None or kept.endpoint_list.source != self._discovery.source_key():
            return
        try:
            told = parse_list(kept.endpoint_list.content)
        except ValueError as bad:
            log.warning("state: the list kept is not taken: %s", bad)
            return
        if told.version > self._known_endpoints.version and told.entries:
            self._known_endpoints = told
            self._discovery.resume_from(told.version)

    async def _recall_servers(self, stop: asyncio.Event) -> None:
        """Take up what was kept; with nothing kept, ask the peers, for a bounded time."""
        if self._restored is not None and self._restored.learned.servers:
            self._engine.handle(self._restored.learned)
        elif self._link is not None and self._peer_warm_up_s > 0.0:
            recalled = await self._link.fetch_initial_state(stop, self._peer_warm_up_s)
            self._engine.handle(recalled)

    def _persist_state(self) -> None:
        """Gather and write what is known, each second; it serves on where the disk says no."""
        assert self._keeper is not None
        from sidecar_balancer.persistence.state_records import EndpointListRecord

        plane = self._link.transport if self._link is not None else None
        listed = None
        if self._endpoint_list.version:
            listed = EndpointListRecord(self._discovery.source_key(), self._endpoint_list.to_json())
        self._keeper.persist(self._engine.balancer, self._engine.clock.now(), plane, listed)

    # -- The list of servers -------------------------------------------------------------------------------

    def _on_watch_event(self, event: WatchEvent) -> None:
        if isinstance(event, ListUpdate):
            self._endpoints_known.set()
            self._apply_endpoint_list(ListKind.SNAPSHOT if event.complete else ListKind.DELTA, event)
            return
        kind = ListKind.TIMED_OUT if event.timed_out else ListKind.FAILED
        self._engine.handle(EndpointListReceived(kind))
        if self._settings.discovery is DiscoveryMode.PUSH:
            wait_s = 0.0 if event.timed_out else _PUSH_RETRY_DELAY_S  # silence took its time already
            self._timers.later(wait_s, self._discovery.set_watching, True)

    def _apply_endpoint_list(self, kind: ListKind, told: ListUpdate) -> None:
        """Note the addresses first: the balancer may send on hearing of a server.

        What that ends, a dial to a server that leaves, is heard after the list: else it would be sent again
        by a list that holds no more.
        """
        servers = [entry.server for entry in told.entries]
        with self._engine.handle_first(EndpointListReceived(kind, servers, told.version)):
            if kind is not ListKind.DELTA:
                self._endpoint_pool.retain({server.server for server in servers})
            if self._keeper is not None:
                self._endpoint_list.apply(told)
            for entry in told.entries:
                server = entry.server
                self._endpoint_pool.update(server.server, entry.address, server.started_at, server.state)
        self._endpoint_pool.forget_removed()


def _create_endpoint_pool(settings: Settings, max_connections: int, body_memory: BodyMemory) -> EndpointPool:
    limits = settings.limits
    return EndpointPool(
        limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6, max_connections, body_memory
    )


def _latencies(config: SidecarConfig) -> LatencyHistograms | None:
    """Histograms where there is a door to show them: without one nobody would see them."""
    if config.admin_address is None:
        return None
    from sidecar_balancer.observability.latency import LatencyHistograms

    return LatencyHistograms()
