"""Slow start: servers whose process has just started get a growing part of the traffic."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.settings import Rules

REFILL_RATIO = 0.5  # refill, as a part of the overload limit: the server's true capacity is unknown
BURST_RATIO = 0.18  # part of the overload limit that may be sent at once


class SlowStart:
    """Token buckets of warming servers, sized by what warm servers serve for this balancer."""

    def __init__(
        self,
        rules: Rules,
        ready_servers: Sequence[Server],
        load: LoadTracker,
        received: Rate,
        served: Rate,
        secondary_rng: random.Random,
    ) -> None:
        self._rules = rules
        self._duration_us = rules.slow_start_us
        self._ready_servers = ready_servers
        self._load = load
        self._received = received  # rate of requests, regardless of their server
        self._served_by_warm = served  # rate of the costs of warm servers' responses
        self._secondary_rng = secondary_rng
        self.capacity_per_us = 0.0  # capacity of a warm server for this balancer, in requests of mean cost
        self._capacity_at = -1  # time of that estimate

    def start(self, now: int, server: Server, since: int) -> None:
        """Begin the slow start of a server whose process started at `since`.

        The bucket starts with a random part of a request, so that balancers with little traffic do not all
        send at once.
        """
        server.warming_since = since
        server.slow_start_tokens, server.slow_start_tokens_at = self._secondary_rng.random(), now

    def is_warming_up(self, now: int, server: Server) -> bool:
        """Return whether the server is in slow start."""
        return server.warming_since is not None and now < server.warming_since + self._duration_us

    def weight(self, now: int, server: Server) -> float:
        """Return the least fraction of its full capacity that a server has; 1.0 after its slow start."""
        if server.warming_since is None or not self.is_warming_up(now, server):
            return 1.0
        minimum = self._rules.slow_start_min_ratio
        age_us = max(now - server.warming_since, 0)
        return minimum + (1.0 - minimum) * age_us / self._duration_us

    def has_capacity(self, now: int, server: Server, cost: float) -> bool:
        """Refill the server's bucket; return whether it has the tokens for a request of this cost."""
        if server.warming_since is None or not self.is_warming_up(now, server):
            return True
        limit = self._rules.overload_multiple * self.weight(now, server) * self.estimate_capacity(now)
        maximum = max(1.0, BURST_RATIO * limit * self._rules.overload_window_us)
        refill = REFILL_RATIO * limit * max(now - server.slow_start_tokens_at, 0)
        server.slow_start_tokens = min(server.slow_start_tokens + refill, maximum)
        server.slow_start_tokens_at = now
        return server.slow_start_tokens >= min(cost, maximum)

    def attempt_sent(self, now: int, server: Server, cost: float) -> None:
        """Take the tokens for an attempt from the server's bucket."""
        if server.warming_since is not None and self.is_warming_up(now, server):
            server.slow_start_tokens -= cost

    def response_received(self, now: int, server: Server, cost: float) -> None:
        """Count the cost of a response if its server is warm, as warming ones get light requests first."""
        if server.warming_since is None or not self.is_warming_up(now, server):
            self._served_by_warm.add(now, cost)

    def estimate_capacity(self, now: int) -> float:
        """Return the cost per microsecond that a warm server serves for this balancer, or recently served."""
        if self._capacity_at != now:
            decay = math.exp((self._capacity_at - now) / self._duration_us)
            self._capacity_at = now
            warm = [server for server in self._ready_servers if not self.is_warming_up(now, server)]
            counted = warm or self._ready_servers  # ejected ones too: they served a part of what is counted
            served = self._served_by_warm if warm else self._received
            rate = served.per_us(now) / max(min(len(counted), self._load.subset_size()), 1)
            self.capacity_per_us = max(rate, self.capacity_per_us * decay)
        return self.capacity_per_us

    def restore_capacity(self, now: int, capacity_per_us: float) -> None:
        """Take over the estimate of an earlier process or of peers if it is higher."""
        self.capacity_per_us, self._capacity_at = max(self.capacity_per_us, capacity_per_us), now
