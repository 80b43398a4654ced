"""Which zones a balancer draws from: how near, which to leave as a whole, and how one eases back in.

A part of the decisions (`policy`), sans-IO.  Off unless `Locality.enabled`.  Levels, overprovisioning, the
panic threshold and slow start with its aggression are those of Envoy's load balancing; see docs/zones.md.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.settings import Locality
from sidecar_balancer.policy.types import ZoneOverride

HEALTH_AIMS = 1.0  # what a zone answers and fails is counted over this many of the longest aim
BACK_AIMS = 0.5  # first wait before a zone left is tried again, in longest aims; it doubles with each failure
BACK_AIMS_MOST = 8.0
RAMP_LEAST = 0.1  # the weight at which a zone or a server comes back
TOLD_SPARES = 2  # own failures that one peer's word on a zone stands for; one own is always needed
BACK_PROBES = 2  # probes answered in a row that bring a zone back


def _place(server: Server) -> float:
    return server.order_key


@dataclass(slots=True, eq=False)
class Zone:
    """What this balancer knows of one zone."""

    name: str
    failures: Rate
    override: ZoneOverride | None
    ready_count: int = 0  # ready servers in it
    failing: set[str] = field(default_factory=set)  # of these, those that failed and did not answer since
    last_response_at: dict[str, int] = field(default_factory=dict)  # and when the others answered last
    peers_evacuated: int = 0  # peers that have left it
    evacuated_at: int | None = None
    retries: int = 0  # times in a row that it was left or failed its trial
    next_trial_at: int = 0
    successful_checks: int = 0  # probes answered in a row since it was left
    recovering_since: int | None = None  # when it came back; None: it bears its whole share

    def is_in_use(self) -> bool:
        return self.evacuated_at is None and self.override is not ZoneOverride.DRAIN


class Zones:
    """The zones of one balancer.  `here` is its own, "" where that is not known: then none is near."""

    def __init__(self, given: Locality, here: str, longest_aim: int, slow_start_us: int) -> None:
        self.settings, self.enabled, self.own_zone = given, given.enabled, here or given.zone
        self._aim, self._ramp_us = longest_aim, given.slow_start_us or max(slow_start_us, 1)
        self.by_name: dict[str, Zone] = {}
        self._orders: Mapping[str, ZoneOverride] = {}
        self.ready: list[Server] = []  # all that may be sent to, by their places
        self.ejected: list[Server] = []  # listed and ejected, ready or not
        self._levels: list[list[Server]] = [[], [], self.ready]  # the ready ones: own zone, own region, all
        self._shares: list[float] | None = None  # of requests for the first two; None: to be reckoned
        self.is_panicking = False
        self.is_health_checker: bool | None = (
            None  # whether this balancer probes for the tier; None: each for itself
        )
        self._alone_at = 0  # until when one that does not probe waits for who does

    def set_pool_zone(self, server: Server, name: str | None) -> None:
        """Count a server as one that may be sent to, in that zone; None: as none.  Forget empty zones."""
        old, server.pooled_zone = server.pooled_zone, name
        if old is not None:
            zone = self.by_name[old]
            zone.ready_count -= 1
            zone.failing.discard(server.name)
            zone.last_response_at.pop(server.name, None)
            if not zone.ready_count:
                del self.by_name[old]
            for at in self._levels_of(old):
                del self._levels[at][bisect_left(self._levels[at], server.order_key, key=_place)]
        if name is not None:
            if name not in self.by_name:
                self.by_name[name] = Zone(name, Rate(HEALTH_AIMS * self._aim), self._orders.get(name))
            self.by_name[name].ready_count += 1
            for at in self._levels_of(name):
                insort(self._levels[at], server, key=_place)
        self.invalidate_shares()

    def _levels_of(self, zone: str) -> list[int]:
        region = self.settings.regions.get(self.own_zone)
        inside = (
            self.own_zone and zone == self.own_zone,
            region and self.settings.regions.get(zone) == region,
            True,
        )
        return [at for at in range(3) if inside[at]]

    def invalidate_shares(self) -> None:
        """Servers were ejected or readmitted, or zones left: the shares are to be reckoned anew."""
        self._shares = None

    def record_outcome(self, now: int, server: Server, good: bool) -> Zone | None:
        """A server answered, or failed as one does that is cut off; give its zone if that is to be left."""
        zone = self.by_name.get(server.zone)
        if zone is None:
            return None
        if good:
            zone.failing.discard(server.name)
            zone.last_response_at[server.name] = now
            return None
        zone.failing.add(server.name)
        zone.last_response_at.pop(server.name, None)
        zone.failures.add(now, 1.0)
        return zone if self._is_lost(now, zone) else None

    def _is_lost(self, now: int, zone: Zone) -> bool:
        """Whether a zone fails as a whole while what stays open without it reaches the panic threshold."""
        if not zone.is_in_use() or zone.override is ZoneOverride.NEVER_EVACUATE or not self._fails(now, zone):
            return False
        others = [each for each in self.by_name.values() if each is not zone and each.is_in_use()]
        sound = sum(each.ready_count for each in others if not self._fails(now, each))
        several = len(zone.failing) >= min(1 if zone.peers_evacuated else 2, zone.ready_count)
        return several and sound >= max(self.settings.panic_threshold * len(self._levels[-1]), 1)

    def _fails(self, now: int, zone: Zone) -> bool:
        least = max(self.settings.evacuation_min_failures - TOLD_SPARES * zone.peers_evacuated, 1)
        return (
            zone.failures.count(now) > least - 0.5
            and self.failure_ratio(now, zone) >= self.settings.evacuation_failure_ratio
        )

    def failure_ratio(self, now: int, zone: Zone) -> float:
        """Of the zone's servers that are in use, the part that failed and did not answer since."""
        since = now - int(HEALTH_AIMS * self._aim)
        answering = sum(at >= since for at in zone.last_response_at.values())
        return len(zone.failing) / max(len(zone.failing) + answering, 1)

    def evacuate(self, now: int, zone: Zone) -> None:
        zone.evacuated_at, zone.recovering_since, zone.successful_checks = now, None, 0
        self._wait(now, zone)
        self._alone_at = now + int(BACK_AIMS_MOST * self._aim)
        self.invalidate_shares()

    def _wait(self, now: int, zone: Zone) -> None:
        zone.next_trial_at = now + int(min(BACK_AIMS * 2**zone.retries, BACK_AIMS_MOST) * self._aim)
        zone.retries = min(zone.retries + 1, 8)

    def evacuated_anywhere(self) -> list[Zone]:
        """The zones that this balancer or peers have left."""
        return [
            each for each in self.by_name.values() if each.evacuated_at is not None or each.peers_evacuated
        ]

    def may_recover(self, now: int, name: str) -> Zone | None:
        """The zone, if it was left long enough ago for a peer's word: own failures, each time, weigh more."""
        zone = self.by_name.get(name)
        return (
            zone if zone is not None and zone.evacuated_at is not None and now >= zone.next_trial_at else None
        )

    def trial_due(self, now: int) -> Zone | None:
        """A zone that was left and may be tried with one request; its next trial is put off."""
        waits = self.is_health_checker is not None and now < self._alone_at
        for zone in () if waits else self.evacuated_anywhere():
            left = zone.evacuated_at is not None and zone.override is not ZoneOverride.DRAIN
            if left and now >= zone.next_trial_at:
                zone.next_trial_at = now + self._aim
                return zone
        return None

    def trial_ended(self, now: int, server: Server, sent_at: int, good: bool) -> Zone | None:
        """An attempt in a zone that had been left ended; give the zone if that brings it back."""
        zone = self.by_name.get(server.zone)
        if zone is None or zone.evacuated_at is None or sent_at <= zone.evacuated_at:
            return None
        if not good:
            self._wait(now, zone)
        return zone if good else None

    def health_check_ended(self, server: Server, good: bool) -> Zone | None:
        """A probe came back; give the server's zone if that brings it back."""
        zone = self.by_name.get(server.zone)
        if zone is None or (zone.evacuated_at is None and not zone.peers_evacuated):
            return None
        zone.successful_checks = zone.successful_checks + 1 if good else 0
        return zone if zone.successful_checks >= BACK_PROBES else None

    def recover(self, now: int, zone: Zone) -> None:
        """Ease the zone in.  `retries` ends with the ramp: one that flaps is left for longer each time."""
        zone.evacuated_at, zone.recovering_since, zone.failures = None, now, Rate(HEALTH_AIMS * self._aim)
        zone.failing.clear()
        self.invalidate_shares()

    def recovery_weight(self, now: int, began: int | None) -> float:
        """The weight of what came back at `began`, 1.0 once it bears its whole share."""
        part = 1.0 if began is None else max(now - began, 0) / self._ramp_us
        return 1.0 if part >= 1.0 else max(RAMP_LEAST, part ** (1.0 / self.settings.aggression))

    def weight(self, now: int, server: Server) -> float:
        """The server's own slow start or its zone's, whichever is further from its end."""
        zone = self.by_name.get(server.zone)
        share = 1.0 if zone is None else self.recovery_weight(now, zone.recovering_since)
        if zone is not None and zone.recovering_since is not None and share >= 1.0:
            zone.recovering_since, zone.retries = None, 0
        return min(share, self.recovery_weight(now, server.readmitted_at))

    def set_overrides(self, now: int, orders: Mapping[str, ZoneOverride]) -> None:
        """Just these orders are in force now; a zone whose drain ends, or that is pinned, eases in."""
        self._orders = orders
        for zone in self.by_name.values():
            old, zone.override = zone.override, orders.get(zone.name)
            drained = old is ZoneOverride.DRAIN and zone.override is not ZoneOverride.DRAIN
            if drained or (zone.override is ZoneOverride.NEVER_EVACUATE and zone.evacuated_at is not None):
                self.recover(now, zone)
        self.invalidate_shares()

    def is_open(self, name: str) -> bool:
        """Whether servers of this zone may be drawn; in a panic those of zones that were left may."""
        zone = self.by_name.get(name)
        if zone is None or zone.is_in_use():
            return True
        self.load_shares()
        return zone.override is not ZoneOverride.DRAIN and self.is_panicking

    def candidates(self, roll: float, strength: float) -> Sequence[Server]:
        """The servers that a request is drawn from; `roll` in 0..1 picks the level.

        The own zone takes `strength` times its healthy part times `overprovision` of the requests (all of
        them at most), the own region what that leaves by the same measure, and the rest go anywhere.
        """
        for level, share in zip(self._levels, self.load_shares(), strict=False):
            if roll < strength * share:
                return level
        return self._levels[-1]

    def load_shares(self) -> list[float]:
        """The parts of the requests that the own zone and the own region bear."""
        if self._shares is None:
            sound, sizes = [0, 0, 0], [0, 0, 0]
            for zone in self.by_name.values():
                lost = sum(each.pooled_zone == zone.name for each in self.ejected)
                for at in self._levels_of(zone.name):
                    sound[at] += (zone.ready_count - lost) * zone.is_in_use()
                    sizes[at] += zone.ready_count * (zone.override is not ZoneOverride.DRAIN)
            self.is_panicking = sound[-1] < self.settings.panic_threshold * sizes[-1]
            parts = [good / max(size, 1) for good, size in zip(sound, sizes, strict=True)]
            wide = 0.0 if self.is_panicking else self.settings.overprovisioning_factor
            self._shares = [min(wide * parts[at], 1.0) if sound[at] > 1 else 0.0 for at in (0, 1)]
        return self._shares
