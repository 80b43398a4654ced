"""Which zones a balancer draws from: how near, which to leave as a whole, and how one eases back in.

A part of the decisions (`policy`), sans-IO.  Off unless `Locality.on`.  Levels, overprovisioning, the
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
    return server.place


@dataclass(slots=True, eq=False)
class Zone:
    """What this balancer knows of one zone."""

    name: str
    bad: Rate
    order: ZoneOverride | None
    listed: int = 0  # ready servers in it
    failing: set[str] = field(default_factory=set)  # of these, those that failed and did not answer since
    answering: dict[str, int] = field(default_factory=dict)  # and when the others answered last
    told: int = 0  # peers that have left it
    left_at: int | None = None
    retries: int = 0  # times in a row that it was left or failed its trial
    retry_at: int = 0
    answered: int = 0  # probes answered in a row since it was left
    ramp_at: int | None = None  # when it came back; None: it bears its whole share

    def is_kept(self) -> bool:
        return self.left_at is None and self.order is not ZoneOverride.DRAIN


class Zones:
    """The zones of one balancer.  `here` is its own, "" where that is not known: then none is near."""

    def __init__(self, given: Locality, here: str, longest_aim: int, slow_start_us: int) -> None:
        self.given, self.on, self.here = given, given.enabled, here or given.zone
        self._aim, self._ramp_us = longest_aim, given.slow_start_us or max(slow_start_us, 1)
        self.by_name: dict[str, Zone] = {}
        self._orders: Mapping[str, ZoneOverride] = {}
        self.ready: list[Server] = []  # all that may be sent to, by their places
        self.ejected: list[Server] = []  # listed and ejected, ready or not
        self._levels: list[list[Server]] = [[], [], self.ready]  # the ready ones: own zone, own region, all
        self._shares: list[float] | None = None  # of requests for the first two; None: to be reckoned
        self.panicking = False
        self.probing: bool | None = None  # whether this balancer probes for the tier; None: each for itself
        self._alone_at = 0  # until when one that does not probe waits for who does

    def place(self, server: Server, name: str | None) -> None:
        """Count a server as one that may be sent to, in that zone; None: as none.  Forget empty zones."""
        old, server.drawn_in = server.drawn_in, name
        if old is not None:
            zone = self.by_name[old]
            zone.listed -= 1
            zone.failing.discard(server.name)
            zone.answering.pop(server.name, None)
            if not zone.listed:
                del self.by_name[old]
            for at in self._levels_of(old):
                del self._levels[at][bisect_left(self._levels[at], server.place, key=_place)]
        if name is not None:
            if name not in self.by_name:
                self.by_name[name] = Zone(name, Rate(HEALTH_AIMS * self._aim), self._orders.get(name))
            self.by_name[name].listed += 1
            for at in self._levels_of(name):
                insort(self._levels[at], server, key=_place)
        self.changed()

    def _levels_of(self, zone: str) -> list[int]:
        region = self.given.regions.get(self.here)
        inside = (self.here and zone == self.here, region and self.given.regions.get(zone) == region, True)
        return [at for at in range(3) if inside[at]]

    def changed(self) -> None:
        """Servers were ejected or readmitted, or zones left: the shares are to be reckoned anew."""
        self._shares = None

    def note_health(self, now: int, server: Server, good: bool) -> Zone | None:
        """A server answered, or failed as one does that is cut off; give its zone if that is to be left."""
        zone = self.by_name.get(server.zone)
        if zone is None:
            return None
        if good:
            zone.failing.discard(server.name)
            zone.answering[server.name] = now
            return None
        zone.failing.add(server.name)
        zone.answering.pop(server.name, None)
        zone.bad.add(now, 1.0)
        return zone if self._is_lost(now, zone) else None

    def _is_lost(self, now: int, zone: Zone) -> bool:
        """Whether a zone fails as a whole while what stays open without it reaches the panic threshold."""
        if not zone.is_kept() or zone.order is ZoneOverride.NEVER_EVACUATE or not self._fails(now, zone):
            return False
        others = [each for each in self.by_name.values() if each is not zone and each.is_kept()]
        sound = sum(each.listed for each in others if not self._fails(now, each))
        several = len(zone.failing) >= min(1 if zone.told else 2, zone.listed)
        return several and sound >= max(self.given.panic_threshold * len(self._levels[-1]), 1)

    def _fails(self, now: int, zone: Zone) -> bool:
        least = max(self.given.evacuation_min_failures - TOLD_SPARES * zone.told, 1)
        return (
            zone.bad.count(now) > least - 0.5
            and self.failed(now, zone) >= self.given.evacuation_failure_ratio
        )

    def failed(self, now: int, zone: Zone) -> float:
        """Of the zone's servers that are in use, the part that failed and did not answer since."""
        since = now - int(HEALTH_AIMS * self._aim)
        answering = sum(at >= since for at in zone.answering.values())
        return len(zone.failing) / max(len(zone.failing) + answering, 1)

    def leave(self, now: int, zone: Zone) -> None:
        zone.left_at, zone.ramp_at, zone.answered = now, None, 0
        self._wait(now, zone)
        self._alone_at = now + int(BACK_AIMS_MOST * self._aim)
        self.changed()

    def _wait(self, now: int, zone: Zone) -> None:
        zone.retry_at = now + int(min(BACK_AIMS * 2**zone.retries, BACK_AIMS_MOST) * self._aim)
        zone.retries = min(zone.retries + 1, 8)

    def doubtful(self) -> list[Zone]:
        """The zones that this balancer or peers have left."""
        return [each for each in self.by_name.values() if each.left_at is not None or each.told]

    def may_return(self, now: int, name: str) -> Zone | None:
        """The zone, if it was left long enough ago for a peer's word: own failures, each time, weigh more."""
        zone = self.by_name.get(name)
        return zone if zone is not None and zone.left_at is not None and now >= zone.retry_at else None

    def due(self, now: int) -> Zone | None:
        """A zone that was left and may be tried with one request; its next trial is put off."""
        waits = self.probing is not None and now < self._alone_at
        for zone in () if waits else self.doubtful():
            left = zone.left_at is not None and zone.order is not ZoneOverride.DRAIN
            if left and now >= zone.retry_at:
                zone.retry_at = now + self._aim
                return zone
        return None

    def tried(self, now: int, server: Server, sent_at: int, good: bool) -> Zone | None:
        """An attempt in a zone that had been left ended; give the zone if that brings it back."""
        zone = self.by_name.get(server.zone)
        if zone is None or zone.left_at is None or sent_at <= zone.left_at:
            return None
        if not good:
            self._wait(now, zone)
        return zone if good else None

    def probed(self, server: Server, good: bool) -> Zone | None:
        """A probe came back; give the server's zone if that brings it back."""
        zone = self.by_name.get(server.zone)
        if zone is None or (zone.left_at is None and not zone.told):
            return None
        zone.answered = zone.answered + 1 if good else 0
        return zone if zone.answered >= BACK_PROBES else None

    def come_back(self, now: int, zone: Zone) -> None:
        """Ease the zone in.  `retries` ends with the ramp: one that flaps is left for longer each time."""
        zone.left_at, zone.ramp_at, zone.bad = None, now, Rate(HEALTH_AIMS * self._aim)
        zone.failing.clear()
        self.changed()

    def ramp(self, now: int, began: int | None) -> float:
        """The weight of what came back at `began`, 1.0 once it bears its whole share."""
        part = 1.0 if began is None else max(now - began, 0) / self._ramp_us
        return 1.0 if part >= 1.0 else max(RAMP_LEAST, part ** (1.0 / self.given.aggression))

    def weight(self, now: int, server: Server) -> float:
        """The server's own slow start or its zone's, whichever is further from its end."""
        zone = self.by_name.get(server.zone)
        share = 1.0 if zone is None else self.ramp(now, zone.ramp_at)
        if zone is not None and zone.ramp_at is not None and share >= 1.0:
            zone.ramp_at, zone.retries = None, 0
        return min(share, self.ramp(now, server.back_at))

    def ordered(self, now: int, orders: Mapping[str, ZoneOverride]) -> None:
        """Just these orders are in force now; a zone whose drain ends, or that is pinned, eases in."""
        self._orders = orders
        for zone in self.by_name.values():
            old, zone.order = zone.order, orders.get(zone.name)
            drained = old is ZoneOverride.DRAIN and zone.order is not ZoneOverride.DRAIN
            if drained or (zone.order is ZoneOverride.NEVER_EVACUATE and zone.left_at is not None):
                self.come_back(now, zone)
        self.changed()

    def is_open(self, name: str) -> bool:
        """Whether servers of this zone may be drawn; in a panic those of zones that were left may."""
        zone = self.by_name.get(name)
        if zone is None or zone.is_kept():
            return True
        self.reckon()
        return zone.order is not ZoneOverride.DRAIN and self.panicking

    def nearby(self, roll: float, strength: float) -> Sequence[Server]:
        """The servers that a request is drawn from; `roll` in 0..1 picks the level.

        The own zone takes `strength` times its healthy part times `overprovision` of the requests (all of
        them at most), the own region what that leaves by the same measure, and the rest go anywhere.
        """
        for level, share in zip(self._levels, self.reckon(), strict=False):
            if roll < strength * share:
                return level
        return self._levels[-1]

    def reckon(self) -> list[float]:
        """The parts of the requests that the own zone and the own region bear."""
        if self._shares is None:
            sound, sizes = [0, 0, 0], [0, 0, 0]
            for zone in self.by_name.values():
                lost = sum(each.drawn_in == zone.name for each in self.ejected)
                for at in self._levels_of(zone.name):
                    sound[at] += (zone.listed - lost) * zone.is_kept()
                    sizes[at] += zone.listed * (zone.order is not ZoneOverride.DRAIN)
            self.panicking = sound[-1] < self.given.panic_threshold * sizes[-1]
            parts = [good / max(size, 1) for good, size in zip(sound, sizes, strict=True)]
            wide = 0.0 if self.panicking else self.given.overprovisioning_factor
            self._shares = [min(wide * parts[at], 1.0) if sound[at] > 1 else 0.0 for at in (0, 1)]
        return self._shares
