"""Latency baselines by class and cost of request, and the latency of each server relative to them."""

from __future__ import annotations

from collections.abc import Mapping

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.request import Request
from sidecar_balancer.policy.settings import ServiceClass
from sidecar_balancer.policy.types import ServerVerdict
from sidecar_balancer.policy.verdicts import VerdictExchange

BASELINE_STEP_RATIO = 0.02  # a baseline averages about its last fifty responses
INITIAL_BASELINE_OBJECTIVE_RATIO = 0.3  # baseline before any response, as a part of the latency objective
RELATIVE_STEP_RATIO = 0.1  # a server's relative latency averages about its last ten responses
RELATIVE_LATENCY_MAX = 4.0  # maximum for one response: heavy requests say little about a server
SLOW_RELATIVE_LATENCY = 2.5  # above this, a server is published as slow
SLOW_CLEARED_RELATIVE_LATENCY = 1.5  # below this, that verdict is cleared
OVERDUE_BASELINE_RATIO = 2.5  # multiple of the expected latency after which an attempt is overdue
OVERDUE_MIN_OBJECTIVE_RATIO = 0.1  # minimum time until overdue, over the objective: shorter delays are jitter


class LatencyTracker:
    """Tracker of latency baselines and of the relative latency of each server.

    Attributes:
        baselines_us: expected latency by class and cost exponent, over all servers.
    """

    def __init__(self, clock_tick_us: int, load: LoadTracker, verdicts: VerdictExchange) -> None:
        self.baselines_us: dict[tuple[str, int], float] = {}
        self._mean_cost_us: dict[str, float] = {}
        self._clock_tick_us = clock_tick_us
        self._load = load
        self._verdicts = verdicts

    def restore(self, baselines_us: Mapping[tuple[str, int], float]) -> None:
        """Take over baselines where none is known yet."""
        self.baselines_us = dict(baselines_us) | self.baselines_us

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """Return the client's cost estimate relative to the mean of its class; 1.0 without an estimate."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost_us.get(service_class.name, float(cost_us))
        self._mean_cost_us[service_class.name] = mean + BASELINE_STEP_RATIO * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def expected_us(self, request: Request) -> float:
        """Return the baseline for the class and cost of a request."""
        service_class = request.service_class
        return self.baselines_us.get(
            (service_class.name, request.cost_exponent),
            INITIAL_BASELINE_OBJECTIVE_RATIO * service_class.latency_objective_us,
        )

    def overdue_after_us(self, request: Request, server: Server) -> int:
        """Return the time after which an attempt at this server is overdue."""
        expected_us = OVERDUE_BASELINE_RATIO * self.expected_us(request) * max(server.relative_latency, 1.0)
        minimum_us = OVERDUE_MIN_OBJECTIVE_RATIO * request.service_class.latency_objective_us
        return int(max(expected_us, minimum_us, self._clock_tick_us))

    def response_received(self, server: Server, request: Request, elapsed_us: int) -> None:
        """Update the averages by a response; the first of its class and cost sets the baseline."""
        key = (request.service_class.name, request.cost_exponent)
        baseline_us = self.baselines_us.setdefault(key, float(elapsed_us))
        self.update_relative_latency(server, request, elapsed_us)
        self.baselines_us[key] = baseline_us + BASELINE_STEP_RATIO * (elapsed_us - baseline_us)

    def error_received(self, server: Server, request: Request) -> None:
        """Count an error as a response of maximum latency, so that fast errors do not draw more traffic."""
        self.update_relative_latency(server, request, int(RELATIVE_LATENCY_MAX * self.expected_us(request)))

    def attempt_abandoned(self, server: Server, request: Request, elapsed_us: int) -> None:
        """Count an abandoned attempt if it had already taken longer than expected."""
        if elapsed_us > self.expected_us(request) * server.relative_latency:
            self.update_relative_latency(server, request, elapsed_us)

    def update_relative_latency(self, server: Server, request: Request, elapsed_us: int) -> None:
        """Update the server's relative latency; publish when it becomes slow or stops being slow."""
        ratio = min(elapsed_us / max(self.expected_us(request), 1.0), RELATIVE_LATENCY_MAX)
        step = RELATIVE_STEP_RATIO * self._load.averaging_factor()
        server.relative_latency += step * (ratio - server.relative_latency)
        published = server.published_verdicts
        if server.relative_latency > SLOW_RELATIVE_LATENCY and None not in published:
            self._verdicts.publish(server, None, ServerVerdict.SLOW)
        elif (
            server.relative_latency < SLOW_CLEARED_RELATIVE_LATENCY
            and published.get(None) is ServerVerdict.SLOW
        ):
            self._verdicts.publish(server, None, ServerVerdict.CLEARED)


def clamp_relative_latency(relative_latency: float) -> float:
    """Return a restored relative latency within the bounds of a measured one."""
    return min(max(relative_latency, 1.0 / RELATIVE_LATENCY_MAX), RELATIVE_LATENCY_MAX)
