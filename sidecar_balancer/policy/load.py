"""How many of this balancer's own attempts are in flight, now and on average."""

from __future__ import annotations

import heapq
import math

from sidecar_balancer.policy.endpoint import Server

SUBSET_MIN = 4.0  # servers that a balancer without traffic draws from
SUBSET_PER_LOAD = 1.0  # further ones for each request in flight: as many again may be idle
RELIABLE_LOAD = 8.0  # below this many in flight, chance is a good part of any figure
AVERAGING_MAX = 4.0


class LoadTracker:
    """Counts attempts in flight at servers that are not ejected, abandoned attempts included."""

    def __init__(self, longest_objective_us: int) -> None:
        self._longest_objective_us = longest_objective_us
        self.pending = 0  # attempts whose response has not started
        self.pending_at_ejected = 0  # of these, at ejected servers
        self.mean = 0.0
        self._abandoned_until: list[int] = []  # a heap
        self._averaged_at = 0

    def current(self, now: int) -> int:
        """The load at this moment."""
        abandoned = self._abandoned_until
        while abandoned and abandoned[0] <= now:
            heapq.heappop(abandoned)
        return self.pending - self.pending_at_ejected + len(abandoned)

    def update_mean(self, now: int, window: float) -> None:
        """Follow the load since the last event.  A mean far above the window would delay relief."""
        elapsed_us = now - self._averaged_at
        if elapsed_us > 0:
            self._averaged_at = now
            span_us = self.averaging_factor() * self._longest_objective_us
            load = self.current(now)
            self.mean = min(self.mean, max(load, window, 1.0))
            self.mean += (load - self.mean) * (1.0 - math.exp(-elapsed_us / span_us))

    def averaging_factor(self) -> float:
        """How much longer than in a busy balancer it takes here to tell a change from chance."""
        return max(1.0, min(RELIABLE_LOAD / max(self.mean, 1e-9), AVERAGING_MAX))

    def subset_size(self) -> int:
        """How many servers this balancer's traffic suffices to know."""
        return int(SUBSET_MIN + SUBSET_PER_LOAD * self.mean)

    def attempt_sent(self, server: Server) -> None:
        """Count an attempt."""
        server.in_flight += 1
        self.pending += 1
        if server.ejected_until is not None:
            self.pending_at_ejected += 1

    def attempt_released(self, server: Server) -> None:
        """Count an attempt no more: it ended, or its response started."""
        server.in_flight -= 1
        self.pending -= 1
        if server.ejected_until is not None:
            self.pending_at_ejected -= 1

    def attempt_abandoned(self, server: Server, until: int) -> None:
        """Count an abandoned attempt until that time, as it may still run on the server."""
        server.abandoned_until.append(until)
        if server.ejected_until is None:
            heapq.heappush(self._abandoned_until, until)
