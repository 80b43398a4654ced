"""Selection of the server for an attempt: best of k random candidates, with a larger k after rejections.

Of k distinct servers, sampled by their odds, the one with the lowest load is selected.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.latency import RELATIVE_LATENCY_MAX
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.locality import Zones
from sidecar_balancer.policy.outliers import OutlierDetector
from sidecar_balancer.policy.overrides import DisabledServers
from sidecar_balancer.policy.request import Request
from sidecar_balancer.policy.settings import Idempotency, Prices
from sidecar_balancer.policy.slow_start import SlowStart
from sidecar_balancer.policy.verdicts import VerdictExchange, peer_verdict_count
from sidecar_balancer.policy.window import LATE_MAX_RATIO, UNRESTRICTED_RATIO, ConcurrencyWindow

CANDIDATES = 4  # k: loads are mostly small here, where two candidates are too few
COST_POWER_MAX = 3.0  # exponent of relative latency in the odds, from four times the mean cost
PEER_VERDICT_FACTOR = 0.5  # factor on a server's odds for each peer with a verdict against it
REMOTE_MIN_ODDS = 0.25  # factor on the odds of other zones while the own zone is as fast
REMOTE_EVEN_RATIO = 0.3  # with the own zone slower by this ratio, all zones have even odds


class EndpointSelector:
    """Selects a server for each attempt."""

    def __init__(
        self,
        prices: Prices,
        zones: Zones,
        load: LoadTracker,
        window: ConcurrencyWindow,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        verdicts: VerdictExchange,
        disabled: DisabledServers,
        rng: random.Random,
        secondary_rng: random.Random,
    ) -> None:
        self._weighs_zones = zones.enabled or prices.cross_zone > 0.0
        self._zones = zones
        self._load = load
        self._window = window
        self._slow_start = slow_start
        self._outliers = outliers
        self._verdicts = verdicts
        self._disabled = disabled
        self._rng = rng
        self._secondary_rng = secondary_rng
        self._remote_odds = 1.0  # factor for servers in other zones
        self._remote_odds_at = -1  # clock time of the computation

    def select(self, now: int, request: Request) -> Server | None:
        """Return the server for the next attempt, None if there is none."""
        trial = self._trial_due(now, request)
        if trial is not None:
            return trial
        pool = self._pool(now, request)
        if not pool:
            return None
        odds = self._odds(now, pool, request)
        sampled = self.sample(pool, odds, CANDIDATES << request.rejections)
        if self._zones.enabled:  # the lower its recovery weight, the more loaded a server counts
            weight = self._zones.weight
            return min(
                sampled,
                key=lambda server: ((server.load(now) + 1) / weight(now, server), server.relative_latency),
            )
        return min(sampled, key=lambda server: (server.load(now), server.relative_latency))

    def sample(self, pool: list[Server], odds: list[float], count: int) -> list[Server]:
        """Sample distinct servers by their odds, in random order, so that ties are broken at random."""
        sampled, remaining, total = list[Server](), list(range(len(pool))), sum(odds)
        for _ in range(min(count, len(pool))):
            point, index = self._rng.random() * total, 0
            while index < len(remaining) - 1 and point >= odds[remaining[index]]:
                point, index = point - odds[remaining[index]], index + 1
            total -= odds[remaining[index]]
            sampled.append(pool[remaining.pop(index)])
        return sampled

    def _trial_due(self, now: int, request: Request) -> Server | None:
        """Return a server due for a trial: just enabled again, in an evacuated zone, or ejected."""
        for server in self._disabled.unused:
            if server.is_ready() and self._is_eligible(now, server, request):
                self._disabled.server_used(server)
                return server
        if request.attempts or request.service_class.idempotency is not Idempotency.IDEMPOTENT:
            return None
        if self._zones.enabled:
            server_in_zone = self._zone_trial_due(now, request)
            if server_in_zone is not None:
                return server_in_zone
        if not self._outliers.ejected:
            return None
        for server in self._outliers.trials_due(now):
            is_selectable = not self._zones.enabled or self._zones.is_selectable(server.zone)
            if is_selectable and self._slow_start.has_capacity(now, server, request.cost):
                return server
        return None

    def _zone_trial_due(self, now: int, request: Request) -> Server | None:
        zone = self._zones.claim_due_trial(now)
        if zone is None:
            return None
        eligible = [
            server
            for server in self._zones.ready_servers
            if server.zone == zone.name
            and not server.trial_pending
            and self._slow_start.has_capacity(now, server, request.cost)
        ]
        return self._secondary_rng.choice(eligible) if eligible else None

    def _pool(self, now: int, request: Request) -> list[Server]:
        """Return the servers to sample from: near ones if zones are enabled and enough are eligible."""
        if self._remote_odds_at != now:
            self._remote_odds_at, self._remote_odds = now, self._compute_remote_odds(now)
        zones = self._zones
        if zones.enabled:
            strength = (1.0 - self._remote_odds) / (1.0 - REMOTE_MIN_ODDS)  # headroom of the own zone
            near = self._subset(now, zones.candidates(self._secondary_rng.random(), strength), request)
            if len(near) >= 2:
                return near
        return self._subset(now, zones.ready_servers, request)

    def _subset(self, now: int, servers: Sequence[Server], request: Request) -> list[Server]:
        """Return the first eligible servers in this balancer's own order, up to its subset size.

        Servers that reject the request's class and tenant are left out while enough others remain.
        """
        size = self._load.subset_size()
        pool, rejecting = list[Server](), list[Server]()
        for server in servers:
            if self._is_eligible(now, server, request):
                backoff = server.rejections.get(request.flow)
                (pool if backoff is None or backoff.until <= now else rejecting).append(server)
                if len(pool) >= size:
                    break
        return pool if len(pool) >= min(CANDIDATES, size) else pool + rejecting[: size - len(pool)]

    def _is_eligible(self, now: int, server: Server, request: Request) -> bool:
        if server.ejected_until is not None:
            return False
        if self._zones.enabled and not self._zones.is_selectable(server.zone):
            return False
        if request.attempts and not _is_untried(server, request):
            return False
        return server.warming_since is None or self._slow_start.has_capacity(now, server, request.cost)

    def _odds(self, now: int, pool: list[Server], request: Request) -> list[float]:
        """Return the odds: lower for slow servers, more so for costly requests, and scaled in slow start."""
        power = min(max(1.0, float(request.cost_exponent)), COST_POWER_MAX)
        own_zone, remote_odds = self._zones.own_zone, self._remote_odds
        odds = [
            self._server_odds(now, server, power) * (1.0 if server.zone == own_zone else remote_odds)
            for server in pool
        ]
        if self._verdicts.has_peer_verdicts:
            name = request.service_class.name
            odds = [
                odd * PEER_VERDICT_FACTOR ** peer_verdict_count(server, name)
                for odd, server in zip(odds, pool, strict=True)
            ]
        return odds

    def _server_odds(self, now: int, server: Server, power: float) -> float:
        latency = math.pow(max(server.relative_latency, 1.0 / RELATIVE_LATENCY_MAX), power)
        if server.warming_since is None:
            return 1.0 / latency
        return self._slow_start.weight(now, server) / latency

    def _compute_remote_odds(self, now: int) -> float:
        """Return the odds factor of other zones: lower while the own zone is as fast and little is late."""
        if not self._weighs_zones:
            return 1.0
        if self._window.late_ratio >= LATE_MAX_RATIO or self._window.fill(now) > UNRESTRICTED_RATIO:
            return 1.0  # under load, spare capacity in any zone outweighs local traffic
        own_zone = self._zones.own_zone
        servers = self._zones.ready_servers
        if self._outliers.ejected:
            servers = [server for server in servers if server.ejected_until is None]
        near = [server.relative_latency for server in servers if server.zone == own_zone]
        far = [server.relative_latency for server in servers if server.zone != own_zone]
        if not near or not far or sum(far) <= 0.0:
            return 1.0
        excess = (sum(near) / len(near)) / (sum(far) / len(far)) - 1.0
        return max(REMOTE_MIN_ODDS, min(excess / REMOTE_EVEN_RATIO, 1.0))


def _is_untried(server: Server, request: Request) -> bool:
    """Return whether no attempt has failed there, is pending there or has found its zone unresponsive."""
    if server in request.failed_servers:
        return False
    for attempt in request.attempts:
        is_same_target = attempt.server is server or (
            attempt.unresponsive and attempt.server.zone == server.zone
        )
        if attempt.pending and is_same_target:
            return False
    return True
