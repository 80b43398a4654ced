"""Construction and wiring of a balancer's components."""

from __future__ import annotations

import random

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.admission import AdmissionControl
from sidecar_balancer.policy.attempts import AttemptTracker
from sidecar_balancer.policy.class_rejections import ClassRejections
from sidecar_balancer.policy.discovery_schedule import DiscoverySchedule
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.endpoint_table import EndpointTable
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
from sidecar_balancer.policy.request_table import RequestTable
from sidecar_balancer.policy.restored_state import StateRestorer
from sidecar_balancer.policy.retry_budget import RetryBudget
from sidecar_balancer.policy.selection import EndpointSelector
from sidecar_balancer.policy.send_gate import SendGate
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.policy.slow_start import SlowStart
from sidecar_balancer.policy.stalls import StallDetector
from sidecar_balancer.policy.timer_queue import TimerQueue
from sidecar_balancer.policy.verdicts import VerdictExchange
from sidecar_balancer.policy.window import ConcurrencyWindow
from sidecar_balancer.policy.zone_evacuation import ZoneEvacuation

RATE_WINDOWS = 2.0  # request and response rates are averaged over this many overload windows


class Components:
    """The components of one balancer, built in the order of their dependencies."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._secondary_rng = random.Random(seed + 1)  # separate: start times must not shift other draws
        objectives_us = [service_class.latency_objective_us for service_class in settings.classes]
        self._longest_objective_us = max(objectives_us)
        rate_span_us = RATE_WINDOWS * settings.rules.overload_window_us
        self._requests_received, self._served_by_warm = Rate(rate_span_us), Rate(rate_span_us)
        self.actions = ActionQueue()
        self.timers = TimerQueue(self.actions)
        self.stalls = StallDetector(min(objectives_us), settings.tick_us, self.timers)
        self.load = LoadTracker(self._longest_objective_us)
        self._build_server_state()
        self._build_endpoint_table()
        self._build_admission()
        self._build_placement()
        self._build_request_path()

    def _build_server_state(self) -> None:
        settings = self._settings
        ejected: list[Server] = []
        self.zones = Zones(
            settings.locality,
            own_zone=settings.zone,
            longest_objective_us=self._longest_objective_us,
            slow_start_us=settings.rules.slow_start_us,
            ejected=ejected,
        )
        self.verdicts = VerdictExchange(self.actions)
        self.outliers = OutlierDetector(
            ejected,
            self._longest_objective_us,
            zones=self.zones,
            load=self.load,
            verdicts=self.verdicts,
            rng=self._rng,
            actions=self.actions,
        )
        self.slow_start = SlowStart(
            settings.rules,
            self.zones.ready_servers,
            load=self.load,
            received=self._requests_received,
            served=self._served_by_warm,
            secondary_rng=self._secondary_rng,
        )

    def _build_endpoint_table(self) -> None:
        self.discovery = DiscoverySchedule(
            self._settings,
            rng=self._rng,
            secondary_rng=self._secondary_rng,
            timers=self.timers,
            actions=self.actions,
        )
        self.disabled = DisabledServers()
        self.endpoints = EndpointTable(
            self._settings.locality.server_zones,
            discovery=self.discovery,
            zones=self.zones,
            outliers=self.outliers,
            slow_start=self.slow_start,
            verdicts=self.verdicts,
            disabled=self.disabled,
            rng=self._rng,
            actions=self.actions,
        )

    def _build_admission(self) -> None:
        self.latency = LatencyTracker(self._settings.tick_us, load=self.load, verdicts=self.verdicts)
        self.window = ConcurrencyWindow(self.load, self._longest_objective_us)
        self.priorities = RequestPriorities(self._settings, self._longest_objective_us)
        self.admission = AdmissionControl(
            self._longest_objective_us,
            load=self.load,
            window=self.window,
            priorities=self.priorities,
            received=self._requests_received,
            stalls=self.stalls,
            rng=self._rng,
        )
        self.restorer = StateRestorer(
            self.zones,
            load=self.load,
            latency=self.latency,
            slow_start=self.slow_start,
            outliers=self.outliers,
        )

    def _build_placement(self) -> None:
        limits = self._settings.limits
        self.requests = RequestTable(limits.may_cancel, self.actions)
        self.retry_budget = RetryBudget()
        self.selector = EndpointSelector(
            self._settings.prices,
            zones=self.zones,
            load=self.load,
            window=self.window,
            slow_start=self.slow_start,
            outliers=self.outliers,
            verdicts=self.verdicts,
            disabled=self.disabled,
            rng=self._rng,
            secondary_rng=self._secondary_rng,
        )
        self.gate = SendGate(
            limits,
            slow_start=self.slow_start,
            load=self.load,
            outliers=self.outliers,
            latency=self.latency,
            stalls=self.stalls,
            timers=self.timers,
            actions=self.actions,
        )
        self.placement = Placement(
            limits,
            selector=self.selector,
            gate=self.gate,
            table=self.requests,
            budget=self.retry_budget,
            actions=self.actions,
        )

    def _build_request_path(self) -> None:
        self.intake = RequestIntake(
            self._settings.classes,
            self._settings.tenants,
            self._settings.tick_us,
            received=self._requests_received,
            latency=self.latency,
            load=self.load,
            admission=self.admission,
            placement=self.placement,
            table=self.requests,
            budget=self.retry_budget,
            outliers=self.outliers,
            stalls=self.stalls,
            timers=self.timers,
        )
        self.zone_evacuation = ZoneEvacuation(
            self._settings.limits.may_health_check,
            zones=self.zones,
            outliers=self.outliers,
            admission=self.admission,
            secondary_rng=self._secondary_rng,
            actions=self.actions,
        )
        self.attempts = AttemptTracker(
            self._settings.rules.late_shedding,
            self.zones.enabled,
            table=self.requests,
            placement=self.placement,
            load=self.load,
            outliers=self.outliers,
            slow_start=self.slow_start,
            outcomes=self._outcome_recorder(),
            overdue=self._overdue_monitor(),
            zone_evacuation=self.zone_evacuation,
        )

    def _outcome_recorder(self) -> OutcomeRecorder:
        rejections = ClassRejections(self._longest_objective_us, self.verdicts, self._rng)
        return OutcomeRecorder(
            self.admission,
            window=self.window,
            latency=self.latency,
            load=self.load,
            rejections=rejections,
            stalls=self.stalls,
        )

    def _overdue_monitor(self) -> OverdueMonitor:
        return OverdueMonitor(
            self.zones.enabled,
            self._settings.tick_us,
            latency=self.latency,
            admission=self.admission,
            outliers=self.outliers,
            stalls=self.stalls,
            timers=self.timers,
        )
