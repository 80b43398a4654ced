"""Operators' drain of the whole sidecar: clients are sent elsewhere while the process runs on."""

from __future__ import annotations

import logging

from sidecar_balancer.admin.lifecycle import Lifecycle
from sidecar_balancer.downstream.frontend import Frontend

log = logging.getLogger(__name__)

IDLE_CLOSE_DELAY_S = 0.4  # until others accept the clients, idle connections end by a response only


class SidecarDrain:
    """Drains the client side while the operators' override says so."""

    def __init__(self, frontend: Frontend, lifecycle: Lifecycle) -> None:
        self._frontend = frontend
        self._lifecycle = lifecycle
        self._is_draining = False

    def follow(self, drain: bool) -> None:
        """Start or end the drain; during a graceful shutdown, which drains anyway, nothing changes."""
        if drain == self._is_draining or self._lifecycle.is_shutting_down:
            return
        self._is_draining = drain
        if drain:
            log.info("drain started", extra={"event": "operator_drain_started"})
            self._frontend.drain(IDLE_CLOSE_DELAY_S)
        else:
            log.info("drain ended", extra={"event": "operator_drain_ended"})
            self._frontend.cancel_drain()
