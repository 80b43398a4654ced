"""The limits on descriptors and memory, shared with the other process of an upgrade."""

from __future__ import annotations

from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.runtime.memory_budget import PROGRAM_BYTES, MemoryBudget
from sidecar_balancer.runtime.process_usage import ProcessUsage, UsageExchange
from sidecar_balancer.runtime.resident_memory import ResidentMemory
from sidecar_balancer.upstream.endpoint_pool import EndpointPool

RESERVED_DESCRIPTORS = 64  # descriptors kept free for discovery, logs and the interpreter
_MIN_CONNECTIONS = 16  # of each side, so that a new process serves beside one that holds all others


class LimitSharing:
    """Adjusts the limits of this process to what the other processes of the sidecar use."""

    def __init__(
        self,
        usage_exchange: UsageExchange,
        resident_memory: ResidentMemory,
        memory_budget: MemoryBudget,
        max_sockets: int,
        frontend: Frontend,
        endpoint_pool: EndpointPool,
    ) -> None:
        """Share `max_sockets` descriptors and the limit that `memory_budget` was made for."""
        self._usage_exchange = usage_exchange
        self._resident_memory = resident_memory
        self._memory_budget = memory_budget
        self._max_sockets = max_sockets
        self._frontend = frontend
        self._endpoint_pool = endpoint_pool

    def refresh(self) -> None:
        """Tell the others what this process uses, and leave them what they use."""
        self._usage_exchange.publish(
            ProcessUsage(
                processes=1,
                resident_bytes=self._resident_memory.read(),
                client_connections=len(self._frontend.connections),
                server_connections=self._endpoint_pool.open_count,
            )
        )
        others = self._usage_exchange.others()
        self._memory_budget.set_other_bytes(PROGRAM_BYTES + others.resident_bytes)
        reserved = RESERVED_DESCRIPTORS * (1 + others.processes)
        limit = self._memory_budget.connection_limit(self._max_sockets, reserved)
        least = min(limit, _MIN_CONNECTIONS)
        self._frontend.max_connections = max(limit - others.client_connections, least)
        self._endpoint_pool.max_connections = max(limit - others.server_connections, least)
        self._frontend.shed_excess()
        self._endpoint_pool.shed_excess()

    def close(self) -> None:
        """Leave the limits to the other processes."""
        self._usage_exchange.close()
