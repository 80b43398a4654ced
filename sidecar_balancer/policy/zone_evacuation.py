"""Evacuation of zones that fail as a whole, and their recovery."""

from __future__ import annotations

import random

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import HealthCheck, LogEvent, PublishZoneVerdict
from sidecar_balancer.policy.admission import AdmissionControl
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import ZoneHealthCheckerChanged, ZoneRecovered
from sidecar_balancer.policy.locality import Zone, Zones
from sidecar_balancer.policy.outliers import OutlierDetector
from sidecar_balancer.policy.types import ZoneVerdict


class ZoneEvacuation:
    """Evacuation of zones on failed attempts, and recovery after successful trials and health checks."""

    def __init__(
        self,
        may_health_check: bool,
        zones: Zones,
        outliers: OutlierDetector,
        admission: AdmissionControl,
        choices: random.Random,
        actions: ActionQueue,
    ) -> None:
        self._may_health_check = may_health_check
        self._zones = zones
        self._outliers = outliers
        self._admission = admission
        self._choices = choices
        self._actions = actions

    def outcome_recorded(self, now: int, server: Server, sent_at: int, success: bool) -> Zone | None:
        """Record whether a server responded to an attempt; return its zone if this evacuates the zone."""
        self._recover(now, self._zones.trial_ended(now, server, sent_at, success))
        zone = self._zones.record_outcome(now, server, success)
        if zone is None:
            return None
        self._zones.evacuate(now, zone)
        self._admission.zone_evacuated()
        self._actions.append(
            LogEvent(f"evacuated zone {zone.name}: its servers fail", "zone_evacuated", zone.name)
        )
        self._actions.append(PublishZoneVerdict(zone.name, ZoneVerdict.EVACUATED, len(zone.failing)))
        return zone

    def zone_recovered(self, now: int, event: ZoneRecovered) -> None:
        """Let a zone recover after the tier's health checker reports that it responds again."""
        self._recover(now, self._zones.recoverable_zone(now, event.zone))

    def health_checker_changed(self, _now: int, event: ZoneHealthCheckerChanged) -> None:
        """Record whether this balancer health-checks zones; if so, check a server of each evacuated zone."""
        self._zones.set_health_checker(event.is_self)
        if not event.is_self or not self._may_health_check:
            return
        for zone in self._zones.evacuated_by_self_or_peers():
            names = [server.name for server in self._zones.ready_servers if server.zone == zone.name]
            if names:
                self._actions.append(HealthCheck(self._choices.choice(names)))

    def health_check_ended(self, now: int, server: Server, success: bool) -> None:
        """Let the server's zone recover after enough successful health checks."""
        self._recover(now, self._zones.health_check_ended(server, success))

    def _recover(self, now: int, zone: Zone | None) -> None:
        if zone is None:
            return
        self._actions.append(PublishZoneVerdict(zone.name, ZoneVerdict.RECOVERED))
        if zone.evacuated_at is None:
            return  # not evacuated here: it was checked on behalf of peers that have evacuated it
        self._zones.recover(now, zone)
        self._actions.append(LogEvent(f"zone {zone.name} recovers", "zone_recovered", zone.name))
        self._outliers.readmit_zone(now, zone.name)
