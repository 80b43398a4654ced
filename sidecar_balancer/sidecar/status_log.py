"""Periodic logging of the sidecar's state, and warnings about event loop lag."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter

from sidecar_balancer.admin.views import state_summary
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.proxy.proxy import Proxy, count_by_status
from sidecar_balancer.runtime.resident_memory import ResidentMemory
from sidecar_balancer.runtime.turns import running_turn_queue
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

log = logging.getLogger(__name__)

_LAG_CHECK_INTERVAL_S = 0.25
_LAG_WARNING_S = 0.05
_STATE_INTERVAL_S = 1.0


class StatusLog:
    """Logger of state and event loop lag."""

    def __init__(
        self,
        balancer: Balancer,
        proxy: Proxy,
        frontend: Frontend,
        endpoint_pool: EndpointPool,
        resident_memory: ResidentMemory,
    ) -> None:
        """Log the state of the given components."""
        self._balancer = balancer
        self._proxy = proxy
        self._frontend = frontend
        self._endpoint_pool = endpoint_pool
        self._resident_memory = resident_memory
        self._logged_response_counts: Counter[int] = Counter()
        self._logged_cpu_s = 0.0

    async def run(self) -> None:
        """Log until cancelled."""
        loop = asyncio.get_running_loop()
        logged_at = loop.time()
        while True:
            due_at = loop.time() + _LAG_CHECK_INTERVAL_S
            cpu_before_s = time.process_time()
            await asyncio.sleep(_LAG_CHECK_INTERVAL_S)
            lag_s = loop.time() - due_at
            if lag_s > _LAG_WARNING_S:
                # Less CPU than lag shows that the process waited: for a core, or in a call that blocks.
                cpu_s = time.process_time() - cpu_before_s
                extra = {"event": "event_loop_lag"}
                log.warning(
                    "the event loop was %.0f ms late, with %.0f ms of CPU in %.0f ms",
                    lag_s * 1000,
                    cpu_s * 1000,
                    (_LAG_CHECK_INTERVAL_S + lag_s) * 1000,
                    extra=extra,
                )
            if loop.time() >= logged_at + _STATE_INTERVAL_S:
                logged_at = loop.time()
                self._log_state()

    def _log_state(self) -> None:
        """Log the state if there were responses since the last state line."""
        self._proxy.request_log.reset_quota()
        new_responses = count_by_status(self._proxy.response_counts - self._logged_response_counts)
        if not new_responses:
            return
        self._logged_response_counts = self._proxy.response_counts.copy()
        memory_budget = self._frontend.memory_budget
        turn_queue = running_turn_queue()
        cpu_s = time.process_time() - self._logged_cpu_s
        self._logged_cpu_s += cpu_s
        log.info(
            "responses %s; %d client connections, %d in flight, %d server connections, %.2f s of CPU; "
            "peers hold %d of %d KiB, %.1f MiB resident, %d connections evicted, %d refused; "
            "%d calls wait for a turn, %.0f ms at most; %s",
            ", ".join(f"{count} x {status}" for status, count in new_responses.items()),
            len(self._frontend.connections),
            len(self._proxy.by_client_request),
            self._endpoint_pool.open_count,
            cpu_s,
            memory_budget.used_bytes // 1024,
            memory_budget.total_bytes // 1024,
            self._resident_memory.read() / 2**20,
            self._frontend.evictions,
            self._frontend.refusals,
            len(turn_queue),
            turn_queue.pop_longest_wait_s() * 1000,
            state_summary(self._balancer),
            extra={"event": "state", "answered": new_responses},
        )
