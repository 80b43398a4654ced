"""Operator overrides of zones: drain a zone, or prevent its evacuation because of failures."""

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
    """Applies the stored zone overrides to the balancer."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._applied: dict[str, ZoneOverride] = {}

    @property
    def zones(self) -> Zones:
        """The zones of the balancer."""
        return self._engine.balancer.zones

    def apply_stored(self, stored: Mapping[str, str]) -> None:
        """Apply the stored override names by zone; unknown names are ignored."""
        overrides = {zone: _OVERRIDES[name] for zone, name in stored.items() if name in _OVERRIDES}
        if overrides == self._applied:
            return
        self._applied = overrides
        text = ", ".join(f"{zone} {name}" for zone, name in sorted(stored.items()))
        log.info("zone overrides: %s", text or "none", extra={"event": "zone_overrides_changed"})
        self._engine.handle(ZoneOverridesChanged(overrides))
