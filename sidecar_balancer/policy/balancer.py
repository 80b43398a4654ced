"""The decisions of one sidecar balancer: a sans-IO state machine of events and actions.

`Balancer` wires the components together and dispatches events to them.  Why their guards are there:
docs/decisions.md.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import Action
from sidecar_balancer.policy.admission import AdmissionControl
from sidecar_balancer.policy.attempts import AttemptTracker
from sidecar_balancer.policy.class_rejections import ClassRejections
from sidecar_balancer.policy.discovery_schedule import DiscoverySchedule
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.endpoint_table import EndpointTable
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    DisabledServersChanged,
    EndpointListReceived,
    Event,
    HealthCheckEnded,
    PeerVerdictsReceived,
    RequestBodyEnded,
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
from sidecar_balancer.policy.intake import RequestIntake
from sidecar_balancer.policy.latency import LatencyTracker
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.locality import Zones
from sidecar_balancer.policy.outcomes import OutcomeRecorder
from sidecar_balancer.policy.outliers import OutlierDetector
from sidecar_balancer.policy.overdue import OverdueMonitor
from sidecar_balancer.policy.overrides import DisabledServers
from sidecar_balancer.policy.placement import Placement
from sidecar_balancer.policy.priorities import RequestPriorities
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.request import Request
from sidecar_balancer.policy.request_table import RequestTable
from sidecar_balancer.policy.restored_state import StateRestorer
from sidecar_balancer.policy.retry_budget import RetryBudget
from sidecar_balancer.policy.selection import EndpointSelector
from sidecar_balancer.policy.send_gate import SendGate
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.policy.slow_start import SlowStart
from sidecar_balancer.policy.stalls import StallDetector
from sidecar_balancer.policy.timer_queue import TimerEntry, TimerKind, TimerQueue
from sidecar_balancer.policy.types import Flow, Outcome
from sidecar_balancer.policy.verdicts import VerdictExchange
from sidecar_balancer.policy.window import ConcurrencyWindow
from sidecar_balancer.policy.zone_evacuation import ZoneEvacuation

RATE_WINDOWS = 2.0  # rates of requests and responses are averaged over this many overload windows


class Balancer:
    """The decisions of one instance.  Feed it events in order; carry out the actions it returns in order.

    The components are public for tests; what others read are the properties.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._now = 0
        self._is_started = False
        self._random = random.Random(seed)
        self._side_random = random.Random(seed + 1)  # its own stream: start times must not move the draws
        objectives_us = [each.latency_objective_us for each in settings.classes]
        self._longest_objective_us = max(objectives_us)
        self._action_queue = ActionQueue()
        self.timers = TimerQueue(self._action_queue)
        self.stalls = StallDetector(min(objectives_us), settings.tick_us, self.timers)
        self._build_server_state()
        self._build_admission()
        self._build_request_path()
        self._handlers = self._event_handlers()

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now` in microseconds; return what to do, in order."""
        self._now = now
        actions = self._action_queue.restart()
        self.load_tracker.update_mean(now, self.concurrency_window.size)
        self.stalls.observe(now)
        if not self._is_started:
            self._start(now)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        if self.load_tracker.pending and not self.stalls.next_tick_at:
            self.stalls.schedule_tick(now)
        self.timers.arm(now, self._is_obsolete)
        return actions

    # -- What views, the state persister and the engine read ------------------------------------------

    @property
    def actions(self) -> list[Action]:
        """The actions of the latest event, those included that it produced before it failed."""
        return self._action_queue.actions

    @property
    def is_started(self) -> bool:
        """Whether it has received an event."""
        return self._is_started

    @property
    def servers(self) -> Mapping[str, Server]:
        """The servers by name, removed ones included until their last attempt has ended."""
        return self.endpoints.servers

    @property
    def ready_servers(self) -> Sequence[Server]:
        """The servers that attempts may be sent to, by this balancer's own order."""
        return self.zones.ready_servers

    @property
    def ejected_servers(self) -> Sequence[Server]:
        """Servers ejected as outliers."""
        return self.outliers.ejected

    @property
    def disabled_servers(self) -> frozenset[str]:
        """Names of the servers that the operators have disabled, listed or not."""
        return self.disabled.names

    @property
    def open_requests(self) -> Mapping[int, Request]:
        """Requests without a final answer or with a pending attempt, by their number."""
        return self.requests.requests

    @property
    def pending_attempts(self) -> int:
        """Attempts in flight whose response has not started."""
        return self.load_tracker.pending

    @property
    def load(self) -> int:
        """Own requests in flight and abandoned attempts that may still run, ejected servers left out."""
        return self.load_tracker.current(self._now)

    @property
    def window(self) -> float:
        """How many own requests in flight the servers answer in time; infinite until it is first sized."""
        return self.concurrency_window.size

    @property
    def typical_latency_ratio(self) -> float:
        """Running median of latency over latency objective."""
        return self.concurrency_window.typical_ratio

    @property
    def late_ratio(self) -> float:
        """Part of the recent responses that missed their latency objective."""
        return self.concurrency_window.late_ratio

    @property
    def latency_baselines_us(self) -> Mapping[tuple[str, int], float]:
        """Expected latency by class and cost exponent, over all servers."""
        return self.latency.baselines_us

    @property
    def capacity_per_us(self) -> float:
        """What a warm server serves for this balancer, in requests of mean cost, as last estimated."""
        return self.slow_start.capacity_per_us

    @property
    def demand_by_flow(self) -> Mapping[Flow, Rate]:
        """Recent requests by class and tenant."""
        return self.priorities.demand_by_flow

    def demand_per_s_by_tenant(self, now: int) -> dict[str, float]:
        """Recent requests a second by tenant, "" for none, at clock time `now` in microseconds."""
        return self.priorities.demand_per_s_by_tenant(now)

    def is_warming_up(self, server: Server) -> bool:
        """Whether the server is in slow start."""
        return self.slow_start.is_warming_up(self._now, server)

    def slow_start_weight(self, server: Server) -> float:
        """The part of its full capacity that a server has at least, 1.0 after its slow start."""
        return self.slow_start.weight(self._now, server)

    # -- Wiring ---------------------------------------------------------------------------------------

    def _build_server_state(self) -> None:
        settings, actions = self._settings, self._action_queue
        longest_us, rate_span_us = (
            self._longest_objective_us,
            RATE_WINDOWS * settings.rules.overload_window_us,
        )
        ejected: list[Server] = []
        self.load_tracker = LoadTracker(longest_us)
        self.zones = Zones(
            settings.locality, settings.zone, longest_us, settings.rules.slow_start_us, ejected
        )
        self.verdicts = VerdictExchange(actions)
        self.outliers = OutlierDetector(
            ejected, longest_us, self.zones, self.load_tracker, self.verdicts, self._random, actions
        )
        self._received, served = Rate(rate_span_us), Rate(rate_span_us)
        self.slow_start = SlowStart(
            settings.rules,
            self.zones.ready_servers,
            self.load_tracker,
            self._received,
            served,
            self._side_random,
        )
        self.disabled = DisabledServers()
        self.discovery = DiscoverySchedule(settings, self._random, self._side_random, self.timers, actions)
        self.endpoints = EndpointTable(
            settings.locality.server_zones,
            self.discovery,
            self.zones,
            self.outliers,
            self.slow_start,
            self.verdicts,
            self.disabled,
            self._random,
            actions,
        )

    def _build_admission(self) -> None:
        settings, longest_us = self._settings, self._longest_objective_us
        self.latency = LatencyTracker(settings.tick_us, self.load_tracker, self.verdicts)
        self.concurrency_window = ConcurrencyWindow(self.load_tracker, longest_us)
        self.priorities = RequestPriorities(settings, longest_us)
        self.admission = AdmissionControl(
            longest_us,
            self.load_tracker,
            self.concurrency_window,
            self.priorities,
            self._received,
            self.stalls,
            self._random,
        )

    def _build_request_path(self) -> None:
        settings, limits, actions = self._settings, self._settings.limits, self._action_queue
        budget = RetryBudget()
        self.requests = RequestTable(limits.may_cancel, actions)
        self.selector = EndpointSelector(
            settings.prices,
            self.zones,
            self.load_tracker,
            self.concurrency_window,
            self.slow_start,
            self.outliers,
            self.verdicts,
            self.disabled,
            self._random,
            self._side_random,
        )
        self.gate = SendGate(
            limits,
            self.slow_start,
            self.load_tracker,
            self.outliers,
            self.latency,
            self.stalls,
            self.timers,
            actions,
        )
        self.placement = Placement(limits, self.selector, self.gate, self.requests, budget, actions)
        self.intake = RequestIntake(
            settings.classes,
            settings.tick_us,
            self._received,
            self.latency,
            self.admission,
            self.placement,
            self.requests,
            budget,
            self.outliers,
            self.stalls,
            self.timers,
        )
        self.zone_evacuation = ZoneEvacuation(
            limits.may_health_check,
            self.zones,
            self.outliers,
            self.admission,
            self._side_random,
            actions,
        )
        self.attempts = self._build_attempt_tracker()
        self._restorer = StateRestorer(
            self.zones, self.load_tracker, self.latency, self.slow_start, self.outliers
        )

    def _build_attempt_tracker(self) -> AttemptTracker:
        rejections = ClassRejections(self._longest_objective_us, self.verdicts, self._random)
        outcomes = OutcomeRecorder(
            self.admission,
            self.concurrency_window,
            self.latency,
            self.load_tracker,
            rejections,
            self.stalls,
        )
        overdue = OverdueMonitor(
            self.zones.enabled,
            self._settings.tick_us,
            self.latency,
            self.admission,
            self.outliers,
            self.stalls,
            self.timers,
        )
        return AttemptTracker(
            self._settings.rules.late_shedding,
            self.zones.enabled,
            self.requests,
            self.placement,
            self.load_tracker,
            self.outliers,
            self.slow_start,
            outcomes,
            overdue,
            self.zone_evacuation,
        )

    # -- Events ---------------------------------------------------------------------------------------

    def _event_handlers(self) -> dict[type[Any], Callable[[int, Any], None]]:
        return {
            AttemptEnded: self.attempts.attempt_ended,
            RequestReceived: self.intake.request_received,
            TimerFired: self._timer_fired,
            EndpointListReceived: self.endpoints.list_received,
            ClientDisconnected: self.intake.client_disconnected,
            ResponseStarted: self.attempts.response_started,
            RequestBodyEnded: self.intake.body_ended,
            ServerOverrideRequested: self.endpoints.override_requested,
            DisabledServersChanged: self.endpoints.disabled_servers_changed,
            PeerVerdictsReceived: self._peer_verdicts_received,
            TierDemandReceived: self._tier_demand_received,
            ZoneOverridesChanged: self._zone_overrides_changed,
            ZoneHealthCheckerChanged: self.zone_evacuation.health_checker_changed,
            ZoneRecovered: self.zone_evacuation.zone_recovered,
            HealthCheckEnded: self._health_check_ended,
            StateRestored: self._restorer.restore,
        }

    def _start(self, now: int) -> None:
        self._is_started = True
        self.concurrency_window.start(now)
        self.discovery.start(now)

    def _peer_verdicts_received(self, _now: int, event: PeerVerdictsReceived) -> None:
        self.verdicts.receive(event.servers, self.servers)
        self.zones.set_peer_evacuations(event.evacuated_zones)

    def _tier_demand_received(self, _now: int, event: TierDemandReceived) -> None:
        self.priorities.set_tier_demand(event.per_s)

    def _zone_overrides_changed(self, now: int, event: ZoneOverridesChanged) -> None:
        self.zones.set_overrides(now, dict(event.overrides))

    def _health_check_ended(self, now: int, event: HealthCheckEnded) -> None:
        server = self.endpoints.servers.get(event.server)
        if server is not None:
            self.zone_evacuation.health_check_ended(now, server, event.outcome is Outcome.DELIVERED)

    # -- Timers ---------------------------------------------------------------------------------------

    def _timer_fired(self, now: int, _event: TimerFired) -> None:
        for entry in self.timers.pop_due(now):
            if entry.kind is TimerKind.DISCOVERY_POLL:
                self.discovery.timer_fired(now)
            elif entry.kind is not TimerKind.STALL_TICK:  # a tick has been observed already
                self._request_timer_fired(now, entry)

    def _request_timer_fired(self, now: int, entry: TimerEntry) -> None:
        request = self.requests.requests.get(entry.request_id)
        if request is None or request.answered or request.has_response():
            return
        if entry.kind is TimerKind.REQUEST_DEADLINE:
            self.requests.finish(request)
            return
        attempt = request.attempts[entry.attempt_index]
        if attempt.pending:
            self.attempts.attempt_overdue(now, request, attempt)

    def _is_obsolete(self, entry: TimerEntry) -> bool:
        """Whether nothing would be done when this entry falls due."""
        due_at, _, kind, request_id, attempt_index = entry
        if kind is TimerKind.DISCOVERY_POLL:
            return due_at != self.discovery.next_call_at
        if kind is TimerKind.STALL_TICK:
            return due_at != self.stalls.next_tick_at
        request = self.requests.requests.get(request_id)
        if request is None or request.answered:
            return True
        return kind is TimerKind.ATTEMPT_OVERDUE and not request.attempts[attempt_index].pending
