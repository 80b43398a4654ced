"""Zones: selection of servers by zone, evacuation of whole zones, and their recovery.

Unused unless `Locality.enabled`.  Levels, overprovisioning, the panic threshold and slow start with its
aggression are those of Envoy's load balancing; see docs/zones.md.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.settings import Locality
from sidecar_balancer.policy.types import ZoneOverride

FAILURE_SPAN_OBJECTIVES = 1.0  # span of a zone's counted outcomes, in longest latency objectives
TRIAL_OBJECTIVES = 0.5  # delay before the first trial of an evacuated zone; doubles with each failed trial
TRIAL_MAX_OBJECTIVES = 8.0
TRIALS_MAX_COUNTED = 8
RECOVERY_MIN_WEIGHT = 0.1  # weight of a zone or a server at the start of its recovery ramp
FAILURES_PER_PEER = 2  # own failures that one peer's evacuation replaces; one own failure is always required
HEALTH_CHECKS_TO_RECOVER = 2  # consecutive successful health checks that end an evacuation

_OWN_ZONE, _OWN_REGION, _ANYWHERE = range(3)  # levels, the nearest first


def _order_key(server: Server) -> float:
    return server.order_key


@dataclass(slots=True, eq=False)
class Zone:
    """State that this balancer keeps about one zone.  Times are clock times in microseconds."""

    name: str
    failures: Rate
    override: ZoneOverride | None
    ready_count: int = 0  # ready servers in the zone
    failing: set[str] = field(default_factory=set)  # servers that failed and have not responded since
    # Time of the last response by server, except for those in `failing`
    last_response_at: dict[str, int] = field(default_factory=dict)
    peers_evacuated: int = 0  # number of peers that have evacuated it
    evacuated_at: int | None = None  # time of the evacuation; None: not evacuated
    trials: int = 0  # number of consecutive evacuations and failed trials
    next_trial_at: int = 0
    successful_checks: int = 0  # number of consecutive successes since the zone was evacuated
    recovering_since: int | None = None  # start of the recovery ramp; None: no ramp, the weight is full

    def is_in_use(self) -> bool:
        """Return whether the zone is neither evacuated nor drained."""
        return self.evacuated_at is None and self.override is not ZoneOverride.DRAIN


class Zones:
    """The zones of one balancer and the ready servers in them.

    Attributes:
        own_zone: this balancer's zone; "" if unknown, in which case no zone counts as near.
        by_name: the zones that have ready servers.
        ready_servers: all servers that attempts may be sent to, in this balancer's own order.
        is_panicking: whether so few servers are healthy that evacuated zones are used as well.
        is_health_checker: whether this balancer health-checks zones for the tier; None: no balancer does,
            each one sends its own trials.
    """

    def __init__(
        self,
        settings: Locality,
        own_zone: str,
        longest_objective_us: int,
        slow_start_us: int,
        ejected: Sequence[Server] = (),
    ) -> None:
        self.settings = settings
        self.enabled = settings.enabled
        self.own_zone = own_zone or settings.zone
        self.by_name: dict[str, Zone] = {}
        self.ready_servers: list[Server] = []
        self.is_panicking = False
        self.is_health_checker: bool | None = None
        self._longest_objective_us = longest_objective_us
        self._recovery_us = settings.slow_start_us or max(slow_start_us, 1)
        self._overrides: Mapping[str, ZoneOverride] = {}
        self._ejected = ejected
        self._levels: list[list[Server]] = [[], [], self.ready_servers]
        self._shares: list[float] | None = None  # shares of all levels except the last; None: to be computed
        self._own_trials_at = 0  # no own trials before this time: the tier's health checker comes first

    def set_ready_zone(self, server: Server, name: str | None) -> None:
        """Count a server as ready in that zone, or in none; zones without ready servers are dropped."""
        old, server.ready_zone = server.ready_zone, name
        if old is not None:
            zone = self.by_name[old]
            zone.ready_count -= 1
            zone.failing.discard(server.name)
            zone.last_response_at.pop(server.name, None)
            if not zone.ready_count:
                del self.by_name[old]
            for level in self._levels_of(old):
                servers = self._levels[level]
                del servers[bisect_left(servers, server.order_key, key=_order_key)]
        if name is not None:
            if name not in self.by_name:
                self.by_name[name] = Zone(name, self._failure_rate(), self._overrides.get(name))
            self.by_name[name].ready_count += 1
            for level in self._levels_of(name):
                insort(self._levels[level], server, key=_order_key)
        self.invalidate_shares()

    def invalidate_shares(self) -> None:
        """Recompute the shares when next used: servers were ejected or readmitted, or zones have changed."""
        self._shares = None

    def record_outcome(self, now: int, server: Server, success: bool) -> Zone | None:
        """Record whether a server responded; return its zone if the zone must be evacuated."""
        zone = self.by_name.get(server.zone)
        if zone is None:
            return None
        if success:
            zone.failing.discard(server.name)
            zone.last_response_at[server.name] = now
            return None
        zone.failing.add(server.name)
        zone.last_response_at.pop(server.name, None)
        zone.failures.add(now, 1.0)
        return zone if self._must_evacuate(now, zone) else None

    def failure_ratio(self, now: int, zone: Zone) -> float:
        """Return the fraction of the zone's servers in use that failed and have not responded since."""
        since = now - int(FAILURE_SPAN_OBJECTIVES * self._longest_objective_us)
        responding = sum(at >= since for at in zone.last_response_at.values())
        return len(zone.failing) / max(len(zone.failing) + responding, 1)

    def evacuate(self, now: int, zone: Zone) -> None:
        """Stop sending requests to the zone."""
        zone.evacuated_at, zone.recovering_since, zone.successful_checks = now, None, 0
        self._delay_trial(now, zone)
        self._own_trials_at = now + int(TRIAL_MAX_OBJECTIVES * self._longest_objective_us)
        self.invalidate_shares()

    def evacuated_by_self_or_peers(self) -> list[Zone]:
        """Return the zones that this balancer or its peers have evacuated."""
        return [
            zone for zone in self.by_name.values() if zone.evacuated_at is not None or zone.peers_evacuated
        ]

    def set_peer_evacuations(self, peers_by_zone: Mapping[str, int]) -> None:
        """Set how many peers have evacuated each zone."""
        for zone in self.by_name.values():
            zone.peers_evacuated = peers_by_zone.get(zone.name, 0)

    def recoverable_zone(self, now: int, name: str) -> Zone | None:
        """Return the zone if it was evacuated long enough ago to recover on a peer's report."""
        zone = self.by_name.get(name)
        if zone is None or zone.evacuated_at is None or now < zone.next_trial_at:
            return None
        return zone

    def claim_due_trial(self, now: int) -> Zone | None:
        """Return an evacuated zone that one request may try now, if any, and postpone its next trial."""
        if self.is_health_checker is not None and now < self._own_trials_at:
            return None
        for zone in self.evacuated_by_self_or_peers():
            is_evacuated = zone.evacuated_at is not None and zone.override is not ZoneOverride.DRAIN
            if is_evacuated and now >= zone.next_trial_at:
                zone.next_trial_at = now + self._longest_objective_us
                return zone
        return None

    def trial_ended(self, now: int, server: Server, sent_at: int, success: bool) -> Zone | None:
        """Record the end of an attempt; return the server's zone if the attempt ends its evacuation."""
        zone = self.by_name.get(server.zone)
        if zone is None or zone.evacuated_at is None or sent_at <= zone.evacuated_at:
            return None
        if not success:
            self._delay_trial(now, zone)
        return zone if success else None

    def health_check_ended(self, server: Server, success: bool) -> Zone | None:
        """Record the end of a health check; return the server's zone if the check lets it recover."""
        zone = self.by_name.get(server.zone)
        if zone is None or (zone.evacuated_at is None and not zone.peers_evacuated):
            return None
        zone.successful_checks = zone.successful_checks + 1 if success else 0
        return zone if zone.successful_checks >= HEALTH_CHECKS_TO_RECOVER else None

    def recover(self, now: int, zone: Zone) -> None:
        """Start the zone's recovery ramp.

        `trials` is reset only at the end of the ramp, so a flapping zone is evacuated for longer each time.
        """
        zone.evacuated_at, zone.recovering_since, zone.failures = None, now, self._failure_rate()
        zone.failing.clear()
        self.invalidate_shares()

    def recovery_weight(self, now: int, since: int | None) -> float:
        """Return the weight of a zone or a server that recovered at `since`; 1.0 at the end of its ramp."""
        progress = 1.0 if since is None else max(now - since, 0) / self._recovery_us
        if progress >= 1.0:
            return 1.0
        weight: float = progress ** (1.0 / self.settings.aggression)
        return max(RECOVERY_MIN_WEIGHT, weight)

    def weight(self, now: int, server: Server) -> float:
        """Return the lower of the recovery weights of the server and its zone."""
        zone = self.by_name.get(server.zone)
        weight = 1.0 if zone is None else self.recovery_weight(now, zone.recovering_since)
        if zone is not None and zone.recovering_since is not None and weight >= 1.0:
            zone.recovering_since, zone.trials = None, 0
        return min(weight, self.recovery_weight(now, server.readmitted_at))

    def set_health_checker(self, is_self: bool | None) -> None:
        """Set whether this balancer health-checks zones for the tier; None: no balancer does."""
        self.is_health_checker = is_self

    def set_overrides(self, now: int, overrides: Mapping[str, ZoneOverride]) -> None:
        """Replace all overrides; zones that return to use as a result start a recovery ramp."""
        self._overrides = overrides
        for zone in self.by_name.values():
            old, zone.override = zone.override, overrides.get(zone.name)
            was_drained = old is ZoneOverride.DRAIN and zone.override is not ZoneOverride.DRAIN
            if was_drained or (
                zone.override is ZoneOverride.NEVER_EVACUATE and zone.evacuated_at is not None
            ):
                self.recover(now, zone)
        self.invalidate_shares()

    def is_selectable(self, name: str) -> bool:
        """Return whether servers of this zone may be selected; in a panic, evacuated zones are included."""
        zone = self.by_name.get(name)
        if zone is None or zone.is_in_use():
            return True
        self.load_shares()
        return zone.override is not ZoneOverride.DRAIN and self.is_panicking

    def candidates(self, point: float, local_preference: float) -> Sequence[Server]:
        """Return the servers to sample an attempt's server from; `point` in 0..1 picks the level.

        The own zone gets `local_preference` times its share of the requests.  The own region then gets what
        remains up to `local_preference` times its own share, and any zone gets the rest.
        """
        for level, share in zip(self._levels, self.load_shares(), strict=False):
            if point < local_preference * share:
                return level
        return self._levels[_ANYWHERE]

    def load_shares(self) -> list[float]:
        """Return the parts of the requests that the own zone and the own region serve.

        A level serves its healthy part times the overprovisioning factor, at most all requests.
        """
        if self._shares is None:
            self._shares = self._compute_shares()
        return self._shares

    def _compute_shares(self) -> list[float]:
        healthy, sizes = [0, 0, 0], [0, 0, 0]
        for zone in self.by_name.values():
            ejected = sum(server.ready_zone == zone.name for server in self._ejected)
            for level in self._levels_of(zone.name):
                healthy[level] += (zone.ready_count - ejected) * zone.is_in_use()
                sizes[level] += zone.ready_count * (zone.override is not ZoneOverride.DRAIN)
        self.is_panicking = healthy[_ANYWHERE] < self.settings.panic_threshold * sizes[_ANYWHERE]
        ratios = [good / max(size, 1) for good, size in zip(healthy, sizes, strict=True)]
        factor = 0.0 if self.is_panicking else self.settings.overprovisioning_factor
        return [
            min(factor * ratios[level], 1.0) if healthy[level] > 1 else 0.0
            for level in (_OWN_ZONE, _OWN_REGION)
        ]

    def _levels_of(self, zone: str) -> list[int]:
        region = self.settings.regions.get(self.own_zone)
        levels = [_ANYWHERE]
        if region and self.settings.regions.get(zone) == region:
            levels.insert(0, _OWN_REGION)
        if self.own_zone and zone == self.own_zone:
            levels.insert(0, _OWN_ZONE)
        return levels

    def _failure_rate(self) -> Rate:
        return Rate(FAILURE_SPAN_OBJECTIVES * self._longest_objective_us)

    def _must_evacuate(self, now: int, zone: Zone) -> bool:
        """Return whether a zone fails as a whole and the others stay above the panic threshold without it."""
        if not zone.is_in_use() or zone.override is ZoneOverride.NEVER_EVACUATE:
            return False
        if not self._is_failing(now, zone):
            return False
        others = [other for other in self.by_name.values() if other is not zone and other.is_in_use()]
        healthy = sum(other.ready_count for other in others if not self._is_failing(now, other))
        enough_failing = len(zone.failing) >= min(1 if zone.peers_evacuated else 2, zone.ready_count)
        return enough_failing and healthy >= max(self.settings.panic_threshold * len(self.ready_servers), 1)

    def _is_failing(self, now: int, zone: Zone) -> bool:
        minimum = max(self.settings.evacuation_min_failures - FAILURES_PER_PEER * zone.peers_evacuated, 1)
        return (
            zone.failures.count(now) > minimum - 0.5
            and self.failure_ratio(now, zone) >= self.settings.evacuation_failure_ratio
        )

    def _delay_trial(self, now: int, zone: Zone) -> None:
        objectives = min(TRIAL_OBJECTIVES * 2**zone.trials, TRIAL_MAX_OBJECTIVES)
        zone.next_trial_at = now + int(objectives * self._longest_objective_us)
        zone.trials = min(zone.trials + 1, TRIALS_MAX_COUNTED)
