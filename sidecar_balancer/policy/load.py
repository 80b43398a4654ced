"""Load of this balancer: its own attempts in flight, now and on average."""

from __future__ import annotations

import heapq
import math

from sidecar_balancer.policy.endpoint import Server

SUBSET_MIN = 4.0  # size of the server subset of a balancer without traffic
SUBSET_PER_LOAD = 1.0  # further servers for each request in flight, so that as many again may be idle
RELIABLE_LOAD = 8.0  # requests in flight; with fewer, noise is a large part of any measurement
AVERAGING_FACTOR_MAX = 4.0


class LoadTracker:
    """Counts attempts in flight, including abandoned ones, at servers that are not ejected.

    An attempt whose client still sends the body is no load: its server can't have begun, and clients that
    stop within their bodies must not fill the concurrency window.
    """

    def __init__(self, longest_objective_us: int) -> None:
        self._longest_objective_us = longest_objective_us
        self.pending = 0  # attempts whose response has not started
        self.awaiting_body = 0  # the part of `pending` whose clients still send the body
        self.pending_at_ejected = 0  # the part of `pending` at ejected servers, without those
        self.mean = 0.0
        self._abandoned_until: list[int] = []  # heap of the clock times until which abandoned attempts count
        self._averaged_at = 0

    def current(self, now: int) -> int:
        """Return the current load."""
        abandoned = self._abandoned_until
        while abandoned and abandoned[0] <= now:
            heapq.heappop(abandoned)
        return self.pending - self.awaiting_body - self.pending_at_ejected + len(abandoned)

    def update_mean(self, now: int, window: float) -> None:
        """Update the mean load, bounded by the window, as a mean far above it would delay recovery."""
        elapsed_us = now - self._averaged_at
        if elapsed_us > 0:
            self._averaged_at = now
            span_us = self.averaging_factor() * self._longest_objective_us
            load = self.current(now)
            self.mean = min(self.mean, max(load, window, 1.0))
            self.mean += (load - self.mean) * (1.0 - math.exp(-elapsed_us / span_us))

    def averaging_factor(self) -> float:
        """Return the factor by which to average longer than a busy balancer, to tell a change from noise."""
        return max(1.0, min(RELIABLE_LOAD / max(self.mean, 1e-9), AVERAGING_FACTOR_MAX))

    def subset_size(self) -> int:
        """Return how many servers this balancer has enough traffic to measure."""
        return int(SUBSET_MIN + SUBSET_PER_LOAD * self.mean)

    def attempt_sent(self, server: Server, awaits_body: bool) -> None:
        """Count an attempt that is sent; `awaits_body` says that its client still sends the body."""
        server.in_flight += 1
        self.pending += 1
        if awaits_body:
            server.awaiting_body += 1
            self.awaiting_body += 1
        elif server.ejected_until is not None:
            self.pending_at_ejected += 1

    def body_completed(self, server: Server) -> None:
        """Count an attempt as load from now on, as its client has sent the whole body."""
        server.awaiting_body -= 1
        self.awaiting_body -= 1
        if server.ejected_until is not None:
            self.pending_at_ejected += 1

    def attempt_released(self, server: Server, awaits_body: bool) -> None:
        """Stop counting an attempt, which has ended or whose response has started."""
        server.in_flight -= 1
        self.pending -= 1
        if awaits_body:
            server.awaiting_body -= 1
            self.awaiting_body -= 1
        elif server.ejected_until is not None:
            self.pending_at_ejected -= 1

    def server_ejected(self, server: Server) -> None:
        """Exclude the load at a server."""
        self.pending_at_ejected += server.in_flight - server.awaiting_body

    def server_readmitted(self, server: Server) -> None:
        """Include the load at a server again."""
        self.pending_at_ejected -= server.in_flight - server.awaiting_body

    def attempt_abandoned(self, server: Server, until: int) -> None:
        """Count an abandoned attempt until clock time `until`, as it may still run on the server."""
        server.abandoned_until.append(until)
        if server.ejected_until is None:
            heapq.heappush(self._abandoned_until, until)
