"""Drain of the whole sidecar by an operator: clients are sent elsewhere while the process keeps running."""

from __future__ import annotations

import logging

from sidecar_balancer.admin.lifecycle import Lifecycle
from sidecar_balancer.downstream.frontend import Frontend

log = logging.getLogger(__name__)

# Time for which idle connections close only after a response, until clients are accepted elsewhere
IDLE_CLOSE_DELAY_S = 0.4


class SidecarDrain:
    """Drains downstream connections while the operator override is set."""

    def __init__(self, frontend: Frontend, lifecycle: Lifecycle) -> None:
        self._frontend = frontend
        self._lifecycle = lifecycle
        self._is_draining = False

    def apply_stored(self, should_drain: bool) -> None:
        """Start or end the drain; do nothing during a graceful shutdown, which drains anyway."""
        if should_drain == self._is_draining or self._lifecycle.is_shutting_down:
            return
        self._is_draining = should_drain
        if should_drain:
            log.info("operator drain started", extra={"event": "operator_drain_started"})
            self._frontend.drain(IDLE_CLOSE_DELAY_S)
        else:
            log.info("operator drain ended", extra={"event": "operator_drain_ended"})
            self._frontend.cancel_drain()
