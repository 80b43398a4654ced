"""Operators' overrides of zones: drain one, or keep it from being evacuated for its failures."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from sidecar_balancer.policy.events import ZoneOverridesChanged
from sidecar_balancer.policy.locality import Zones
from sidecar_balancer.policy.types import ZoneOverride
from sidecar_balancer.runtime.engine import Engine

log = logging.getLogger(__name__)

_OVERRIDES = {override.value: override for override in ZoneOverride}


class ZoneOverrides:
    """Brings the balancer in line with the stored overrides of zones."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._in_force: dict[str, ZoneOverride] = {}

    @property
    def zones(self) -> Zones:
        """The zones of the balancer."""
        return self._engine.balancer.zones

    def follow(self, stored: Mapping[str, str]) -> None:
        """Apply the overrides, names as they are stored; names of no known override are ignored."""
        overrides = {zone: _OVERRIDES[name] for zone, name in stored.items() if name in _OVERRIDES}
        if overrides == self._in_force:
            return
        self._in_force = overrides
        text = ", ".join(f"{zone} {name}" for zone, name in sorted(stored.items()))
        log.info("zone overrides: %s", text or "none", extra={"event": "zone_overrides_changed"})
        self._engine.handle(ZoneOverridesChanged(overrides))
