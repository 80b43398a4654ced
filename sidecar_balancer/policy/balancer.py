"""Decision logic of one sidecar balancer: a sans-IO state machine that turns events into actions.

`Balancer` wires the components together and dispatches events to them.  docs/decisions.md gives the reasons
for their safeguards.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from sidecar_balancer.policy.actions import Action
from sidecar_balancer.policy.components import Components
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    DisabledServersChanged,
    EndpointListReceived,
    Event,
    HealthCheckEnded,
    PeerVerdictsReceived,
    RequestBodyEnded,
    RequestBodyOverdue,
    RequestReceived,
    ResponseStarted,
    ServerOverrideRequested,
    StateRestored,
    TierDemandReceived,
    TimerFired,
    ZoneHealthCheckerChanged,
    ZoneOverridesChanged,
    ZoneRecovered,
)
from sidecar_balancer.policy.locality import Zones
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.request import Request
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.policy.timer_queue import TimerEntry, TimerKind
from sidecar_balancer.policy.types import Flow, Outcome


class Balancer:
    """State machine of one balancer: takes events in order and returns the actions to carry out in order.

    Other packages read its properties; `components` is exposed for tests.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.components = components = Components(settings, seed)
        self._now = 0
        self._is_started = False
        self._action_queue = components.actions
        self._timers = components.timers
        self._stalls = components.stalls
        self._discovery = components.discovery
        self._load = components.load
        self._window = components.window
        self._zones = components.zones
        self._slow_start = components.slow_start
        self._open_requests = components.requests.requests
        self._handlers = self._event_handlers()

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event at clock time `now` in microseconds; return the resulting actions in order."""
        self._now = now
        actions = self._action_queue.begin_event()
        self._load.update_mean(now, self._window.size)
        self._stalls.observe(now)
        if not self._is_started:
            self._start(now)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        if self._load.pending and not self._stalls.next_tick_at:
            self._stalls.schedule_tick(now)
        self._timers.arm(now, self._is_obsolete)
        return actions

    # -- State for views, the state persister and the engine ------------------------------------------

    @property
    def actions(self) -> list[Action]:
        """The actions of the latest event, including those produced before its processing failed."""
        return self._action_queue.actions

    @property
    def is_started(self) -> bool:
        """Whether the balancer has received an event."""
        return self._is_started

    @property
    def zones(self) -> Zones:
        """The zones, for views only."""
        return self._zones

    @property
    def servers(self) -> Mapping[str, Server]:
        """The servers by name; removed ones stay until their last attempt has ended."""
        return self.components.endpoints.servers

    @property
    def ready_servers(self) -> Sequence[Server]:
        """The servers that attempts may be sent to, in this balancer's own order."""
        return self._zones.ready_servers

    @property
    def ejected_servers(self) -> Sequence[Server]:
        """Servers ejected as outliers."""
        return self.components.outliers.ejected

    @property
    def disabled_servers(self) -> frozenset[str]:
        """Names of the servers that operators have disabled, listed or not."""
        return self.components.disabled.names

    @property
    def open_requests(self) -> Mapping[int, Request]:
        """Requests without a final answer or with a pending attempt, by request number."""
        return self._open_requests

    @property
    def pending_attempts(self) -> int:
        """Attempts in flight whose response has not started."""
        return self._load.pending

    @property
    def load(self) -> int:
        """Own requests in flight and abandoned attempts that may still run, excluding ejected servers."""
        return self._load.current(self._now)

    @property
    def window(self) -> float:
        """Own requests in flight that the servers can answer in time; infinite until first sized."""
        return self._window.size

    @property
    def median_latency_ratio(self) -> float:
        """Running median of latency over latency objective."""
        return self._window.median_ratio

    @property
    def late_ratio(self) -> float:
        """Fraction of the recent responses that missed their latency objective."""
        return self._window.late_ratio

    @property
    def latency_baselines_us(self) -> Mapping[tuple[str, int], float]:
        """Expected latency by class and cost exponent, over all servers."""
        return self.components.latency.baselines_us

    @property
    def capacity_per_us(self) -> float:
        """Latest estimate of a warm server's capacity for this balancer, in requests of mean cost."""
        return self._slow_start.capacity_per_us

    @property
    def demand_by_flow(self) -> Mapping[Flow, Rate]:
        """Recent request rates by class and tenant."""
        return self.components.priorities.demand_by_flow

    def demand_per_s_by_tenant(self, now: int) -> dict[str, float]:
        """Return recent requests per second by tenant ("" for none) at clock time `now` in microseconds."""
        return self.components.priorities.demand_per_s_by_tenant(now)

    def is_warming_up(self, server: Server) -> bool:
        """Return whether the server is in slow start."""
        return self._slow_start.is_warming_up(self._now, server)

    def slow_start_weight(self, server: Server) -> float:
        """Return the least fraction of its full capacity that a server has; 1.0 after its slow start."""
        return self._slow_start.weight(self._now, server)

    # -- Events ---------------------------------------------------------------------------------------

    def _event_handlers(self) -> dict[type[Any], Callable[[int, Any], None]]:
        attempts, intake = self.components.attempts, self.components.intake
        endpoints, zone_evacuation = self.components.endpoints, self.components.zone_evacuation
        return {
            AttemptEnded: attempts.attempt_ended,
            RequestReceived: intake.request_received,
            TimerFired: self._timer_fired,
            EndpointListReceived: endpoints.list_received,
            ClientDisconnected: intake.client_disconnected,
            ResponseStarted: attempts.response_started,
            RequestBodyEnded: intake.body_ended,
            RequestBodyOverdue: intake.body_overdue,
            ServerOverrideRequested: endpoints.override_requested,
            DisabledServersChanged: endpoints.disabled_servers_changed,
            PeerVerdictsReceived: self._peer_verdicts_received,
            TierDemandReceived: self._tier_demand_received,
            ZoneOverridesChanged: self._zone_overrides_changed,
            ZoneHealthCheckerChanged: zone_evacuation.health_checker_changed,
            ZoneRecovered: zone_evacuation.zone_recovered,
            HealthCheckEnded: self._health_check_ended,
            StateRestored: self.components.restorer.restore,
        }

    def _start(self, now: int) -> None:
        self._is_started = True
        self._window.start(now)
        self._discovery.start(now)

    def _peer_verdicts_received(self, _now: int, event: PeerVerdictsReceived) -> None:
        self.components.verdicts.receive(event.servers, self.servers)
        self._zones.set_peer_evacuations(event.evacuated_zones)

    def _tier_demand_received(self, _now: int, event: TierDemandReceived) -> None:
        self.components.priorities.set_tier_demand(event.per_s)

    def _zone_overrides_changed(self, now: int, event: ZoneOverridesChanged) -> None:
        self._zones.set_overrides(now, dict(event.overrides))

    def _health_check_ended(self, now: int, event: HealthCheckEnded) -> None:
        server = self.components.endpoints.servers.get(event.server)
        if server is not None:
            self.components.zone_evacuation.health_check_ended(
                now, server, event.outcome is Outcome.DELIVERED
            )

    # -- Timers ---------------------------------------------------------------------------------------

    def _timer_fired(self, now: int, _event: TimerFired) -> None:
        for entry in self._timers.pop_due(now):
            if entry.kind is TimerKind.DISCOVERY_POLL:
                self._discovery.timer_fired(now)
            elif entry.kind is not TimerKind.STALL_TICK:  # handle() has already processed the tick
                self._request_timer_fired(now, entry)

    def _request_timer_fired(self, now: int, entry: TimerEntry) -> None:
        request = None if entry.request_id is None else self._open_requests.get(entry.request_id)
        if request is None or request.answered or request.has_response():
            return
        if entry.attempt_index is None:
            self.components.requests.reject_or_fail(request)
            return
        attempt = request.attempts[entry.attempt_index]
        if attempt.pending:
            self.components.attempts.attempt_overdue(now, request, attempt)

    def _is_obsolete(self, entry: TimerEntry) -> bool:
        """Return whether the entry would have no effect when it is due."""
        due_at, _, kind, request_id, attempt_index = entry
        if request_id is None:
            is_poll = kind is TimerKind.DISCOVERY_POLL
            return due_at != (self._discovery.next_call_at if is_poll else self._stalls.next_tick_at)
        request = self._open_requests.get(request_id)
        if request is None or request.answered:
            return True
        return attempt_index is not None and not request.attempts[attempt_index].pending
