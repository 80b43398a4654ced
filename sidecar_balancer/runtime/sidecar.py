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
from sidecar_balancer.downstream.frontend import Frontend, Hooks
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
from sidecar_balancer.runtime.proxy import Proxy, by_status
from sidecar_balancer.runtime.queueing import running_poll_times
from sidecar_balancer.runtime.streams import Budget
from sidecar_balancer.runtime.timers import Timers
from sidecar_balancer.upstream import connection as upstream

if TYPE_CHECKING:  # loaded where the plane is on: a start without it costs no more CPU
    from sidecar_balancer.membership.bridge import MembershipBridge
    from sidecar_balancer.observability.latency import LatencyHistograms
    from sidecar_balancer.persistence.persister import StatePersister
    from sidecar_balancer.persistence.state_records import RestoredState

log = logging.getLogger(__name__)

_ACCEPT_S = 0.5  # after SIGTERM, how long connections are still taken: they come for 0.4 s
_LINGER_S = 0.65  # when those just opened are closed too, whose request did not come
_LAST_S = 0.62  # how much longer than the longest deadline all may last: the platform's kill comes after 0.7
_FLUSH_S = 0.05  # and what the last answers may take from there onto the wire
_DEADLINE_MOST_S = 3.0  # the platform waits for no longer deadline than this
_DRAIN_STEP_S = 0.02  # how often a drain looks at what is left
_LISTED_S = 2.0  # beside a process that serves, how long a start waits for the list; it is ready within 6 s
_ORDERS_EVERY_S = 0.1  # how often the orders are read that another process may have taken
_LAG_EVERY_S = 0.25  # how often the event loop's lag is looked at
_LAG_TOLD_S = 0.05  # and from when on it is logged
_STATE_EVERY_S = 1.0  # how often the log is told how things stand
_UNHEARD_SPANS = 2.5  # of the time without asking, after which a watch that ended is begun again by itself
_PUSHED_AGAIN_S = 0.5  # before a failed call to the agent that holds pushed lists is made again
_FDS_KEPT = 64  # descriptors left for discovery, logs and the runtime


class Sidecar:
    """One sidecar: a balancer and the sockets round it."""

    def __init__(self, config: SidecarConfig) -> None:
        self._settings = settings = config.settings
        self._longest_s = max(each.deadline_us for each in settings.classes) / 1e6
        self._timers = Timers()
        self._engine = Engine(settings, config.seed, self._timers)
        budget = Budget(config.memory_mb)
        connections_most = max((config.max_sockets - _FDS_KEPT) // 2, 1)  # on either side
        poll_times = running_poll_times()
        self._upstream = _upstream(settings, connections_most, budget)
        again_s = _UNHEARD_SPANS * settings.rules.poll_interval_us / 1e6
        self._discovery = DiscoveryClient(
            config.discovery_addresses(),
            config.initial_endpoints.version,
            self._on_watch_event,
            again_s,
            poll_times=poll_times,
        )
        latencies = _latencies(config)
        self.proxy = Proxy(settings, self._engine, self._upstream, latencies)
        hooks = Hooks(self.proxy.taken, self.proxy.gone, self._is_ready, self.proxy.body_ended)
        self.frontend = Frontend(
            config.listen, connections_most, hooks, settings, config.inherited_listener_fd, budget, poll_times
        )
        self._takes_over = config.inherited_listener_fd is not None
        self._known = config.initial_endpoints
        self._listed = asyncio.Event()  # discovery has answered
        self._answers_told: Counter[int] = Counter()  # of the answers, those that the log was told of
        self._cpu_told_s = 0.0
        self._link = self._linked(config)
        self._keeper = self._open_state(config)
        self._kept: RestoredState | None = None
        self._endpoint_list = EndpointList()  # as it is now, for the state
        self._keep_every_s = config.state.interval_ms / 1000 if config.state is not None else 0.0
        self._warm_s = config.state.warm_start_timeout_ms / 1000 if config.state is not None else 0.0
        self.operations = AdminHandlers(
            self._engine,
            self.proxy,
            self.frontend,
            self._upstream,
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
            CloseIdleConnections: lambda action: self._upstream.close_idle(action.server),
            WatchEndpoints: lambda action: self._discovery.set_watching(action.enabled),
            FetchEndpoints: lambda _: self._discovery.fetch(),
            PublishServerVerdict: self._publish_server_verdict,
            PublishZoneVerdict: self._publish_zone_verdict,
            LogEvent: self._log,
        }
        self._engine.executors |= executors

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, then answer all that is held and return, with nothing left behind."""
        lag = asyncio.get_running_loop().create_task(self._watch_lag())
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
            self._timers.every(_ORDERS_EVERY_S, self.operations.apply_stored_overrides)
            self.door.start()
        self._restore()
        if self._link is not None:
            await self._link.start(self._plane_bound)
        if not self._listed.is_set():  # else discovery has answered meanwhile, after a reload
            self._list(ListKind.CACHED, self._known)
        await self._learn(stop)
        if self._keeper is not None:
            self._timers.every(self._keep_every_s, self._keep_state)
        if self._settings.discovery is DiscoveryMode.PUSH:
            self._discovery.set_watching(True)
        if self._takes_over:
            await self._first_of(stop, self._listed, _LISTED_S)
        if not stop.is_set():
            self.frontend.start()
            self.operations.lifecycle.accepts_clients = True

    async def _end(self) -> None:
        """Close what is open and cancel what is planned, whether or not all was answered."""
        self.frontend.stop(take=False)
        await self.frontend.close(0.0)
        await self._discovery.close()
        await self._upstream.close()
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
        began = loop.time()
        log.info("draining: %d requests held", len(self.proxy.by_call))
        if self._takes_over:  # the next process has the queue: not one more is taken out of it here
            self.frontend.stop(take=False)
            self.frontend.drain(IDLE_CLOSE_DELAY_S)
        else:
            self.frontend.drain()
            await asyncio.sleep(_ACCEPT_S)
            self.frontend.stop()
        last = began + min(self._longest_s, _DEADLINE_MOST_S) + _LAST_S
        while not self.frontend.is_empty() and loop.time() < last:
            await asyncio.sleep(_DRAIN_STEP_S)
            if loop.time() >= began + _LINGER_S:
                self.frontend.close_idle(used=False)  # those just opened too: their request did not come
        self.proxy.fail_all()
        await self.frontend.close(_FLUSH_S)
        log.info("drained")

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        told_at = loop.time()
        while True:
            due = loop.time() + _LAG_EVERY_S
            await asyncio.sleep(_LAG_EVERY_S)
            late = loop.time() - due
            if late > _LAG_TOLD_S:
                log.warning("the event loop was %.0f ms late", late * 1000)
            if loop.time() >= told_at + _STATE_EVERY_S:
                told_at = loop.time()
                self._log_state()

    @staticmethod
    def _log(action: LogEvent) -> None:
        subject_key = "zone" if action.name.startswith("zone") else "server"
        log.info("%s", action.text, extra={"event": action.name, subject_key: action.subject})

    def _log_state(self) -> None:
        """Tell how things stand, where anything was answered since it was last told."""
        self.proxy.allow_trails()
        answered = by_status(self.proxy.answers - self._answers_told)
        if answered:
            self._answers_told = self.proxy.answers.copy()
            counts = ", ".join(f"{count} x {status}" for status, count in answered.items())
            clients = len(self.frontend.connections)
            held, state = len(self.proxy.by_call), state_summary(self._engine.balancer)
            cpu_s = time.process_time() - self._cpu_told_s
            self._cpu_told_s += cpu_s
            told = "answered %s; %d clients, %d held, %d connections to servers, %.2f s of CPU; %s"
            about = {"event": "state", "answered": answered}
            log.info(told, counts, clients, held, self._upstream.open_count, cpu_s, state, extra=about)

    def _is_ready(self) -> bool:
        return not self.frontend.draining

    # -- The peer plane ------------------------------------------------------------------------------------

    def _linked(self, config: SidecarConfig) -> MembershipBridge | None:
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
            self._asked,
            self._paces,
            settings.locality.health_check_interval_us,
        )

    def _paces(self) -> dict[str, float]:
        """What peers that start may take: of servers that answered and are held nothing against."""
        sound = (
            each
            for each in self._engine.balancer.ready_servers
            if each.last_response_at >= 0 and not each.published_verdicts
        )
        return {each.name: each.relative_latency for each in sound if each.ejected_until is None}

    def _asked(self) -> dict[str, float]:
        return self._engine.balancer.demand_per_s_by_tenant(self._engine.clock.now())

    def _plane_bound(self) -> None:
        assert self._link is not None
        if self._kept is not None:
            from sidecar_balancer.persistence.persister import resume_membership

            resume_membership(self._link.transport, self._kept)
        self._link.set_disabled_servers(self.operations.disabled_servers.by_own_overrides)
        self._timers.every(_ORDERS_EVERY_S, self.operations.disabled_servers.refresh)

    def _publish_server_verdict(self, action: PublishServerVerdict) -> None:
        if self._link is not None:
            self._link.publish_server_verdict(action)

    def _publish_zone_verdict(self, action: PublishZoneVerdict) -> None:
        if self._link is not None:
            self._link.publish_zone_verdict(action)

    # -- What outlasts a crash -----------------------------------------------------------------------------

    def _open_state(self, config: SidecarConfig) -> StatePersister | None:
        if config.state is None:
            return None
        from sidecar_balancer.persistence.persister import StatePersister
        from sidecar_balancer.persistence.store import Store

        return StatePersister(Store(config.state.folder, config.state.max_bytes), config.state.tier_folder)

    def _restore(self) -> None:
        """Begin with what an earlier life kept: the list where it is newer, then what was learned."""
        if self._keeper is None:
            return
        self._kept = kept = self._keeper.restore()
        if kept.endpoint_list is None or kept.endpoint_list.source != self._discovery.source_key():
            return
        try:
            told = parse_list(kept.endpoint_list.content)
        except ValueError as bad:
            log.warning("state: the list kept is not taken: %s", bad)
            return
        if told.version > self._known.version and told.entries:
            self._known = told
            self._discovery.resume_from(told.version)

    async def _learn(self, stop: asyncio.Event) -> None:
        """Take up what was kept; with nothing kept, ask the peers, for a bounded time."""
        if self._kept is not None and self._kept.learned.servers:
            self._engine.handle(self._kept.learned)
        elif self._link is not None and self._warm_s > 0.0:
            recalled = await self._link.fetch_initial_state(stop, self._warm_s)
            self._engine.handle(recalled)

    def _keep_state(self) -> None:
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
            self._listed.set()
            self._list(ListKind.SNAPSHOT if event.complete else ListKind.DELTA, event)
            return
        kind = ListKind.TIMED_OUT if event.timed_out else ListKind.FAILED
        self._engine.handle(EndpointListReceived(kind))
        if self._settings.discovery is DiscoveryMode.PUSH:
            wait_s = 0.0 if event.timed_out else _PUSHED_AGAIN_S  # silence took its time already
            self._timers.later(wait_s, self._discovery.set_watching, True)

    def _list(self, kind: ListKind, told: ListUpdate) -> None:
        """Note the addresses first: the balancer may send on hearing of a server.

        What that ends, a dial to a server that leaves, is heard after the list: else it would be sent again
        by a list that holds no more.
        """
        servers = [entry.server for entry in told.entries]
        with self._engine.event_first(EndpointListReceived(kind, servers, told.version)):
            if kind is not ListKind.DELTA:
                self._upstream.retain({server.server for server in servers})
            if self._keeper is not None:
                self._endpoint_list.apply(told)
            for entry in told.entries:
                server = entry.server
                self._upstream.update(server.server, entry.address, server.started_at, server.state)
        self._upstream.forget_gone()


def _upstream(settings: Settings, most: int, budget: Budget) -> upstream.Upstream:
    limits = settings.limits
    return upstream.Upstream(limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6, most, budget)


def _latencies(config: SidecarConfig) -> LatencyHistograms | None:
    """Histograms where there is a door to show them: without one nobody would see them."""
    if config.admin_address is None:
        return None
    from sidecar_balancer.observability.latency import LatencyHistograms

    return LatencyHistograms()
