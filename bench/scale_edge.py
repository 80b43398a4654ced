"""Cost of the endpoint list for one sidecar: a changed entry, a full list, memory.

Runs the real sidecar without its discovery client.  Each size runs in a process of its own, so that its
peak memory can be measured.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import multiprocessing
import resource
import time
from dataclasses import dataclass
from typing import Any

import bench_support  # noqa: F401  # puts tests/support on the import path
from scale_fit import Series

from policy_settings import settings
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.discovery.endpoint_list import ListUpdate, decode_list, parse_list
from sidecar_balancer.policy.types import ListKind
from sidecar_balancer.sidecar.sidecar import Sidecar

TRIALS = 5
CHANGES_PER_TRIAL = 60
ZONE_COUNT = 21


@dataclass(frozen=True)
class Cost:
    """The costs at one list size: times in microseconds of CPU, memory in bytes."""

    change_us: list[float]
    snapshot_us: list[float]
    memory_bytes: float
    list_bytes: int


def endpoint_entry(number: int, **changes: Any) -> dict[str, Any]:
    """Return an entry of about 140 bytes, as a large registry lists it."""
    fields = {
        "name": f"s-{number:08x}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8443",
        "zone": f"zone-{number % ZONE_COUNT:02d}",
        "type": "m2",
        "group": number % 40,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }
    return fields | changes


def snapshot_body(size: int) -> bytes:
    listed = [endpoint_entry(number) for number in range(size)]
    return json.dumps({"index": 1, "snapshot": True, "endpoints": listed}).encode()


def delta_update(index: int, *entries: dict[str, Any]) -> ListUpdate:
    return parse_list({"index": index, "snapshot": False, "endpoints": list(entries)})


def resident_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def measure(size: int) -> Cost:
    logging.disable(logging.CRITICAL)
    return asyncio.run(_measure(size))


async def _measure(size: int) -> Cost:
    empty_list = ListUpdate(0, True, [])
    config = SidecarConfig(("127.0.0.1", 0), ("127.0.0.1", 1), 7, 256, settings(zone="zone-00"), empty_list)
    sidecar = Sidecar(config)
    body = snapshot_body(size)
    gc.collect()
    before = resident_bytes()
    snapshot_us = []
    for _ in range(TRIALS):
        started_at = time.process_time()
        sidecar.endpoint_updates.apply(ListKind.SNAPSHOT, decode_list(body))
        snapshot_us.append(1e6 * (time.process_time() - started_at))
    memory = resident_bytes() - before
    change_us = [_change_cpu_us(sidecar, size, trial) for trial in range(TRIALS)]
    await sidecar._close()
    return Cost(change_us, snapshot_us, memory, len(body))


def _change_cpu_us(sidecar: Sidecar, size: int, trial: int) -> float:
    """Return the CPU time per changed entry; servers alternately start draining and become active again."""
    updates = []
    for number in range(CHANGES_PER_TRIAL):
        server = (trial * CHANGES_PER_TRIAL + number // 2) * 7919 % size
        status = "leaving" if number % 2 == 0 else "active"
        updates.append(delta_update(2, endpoint_entry(server, status=status)))
    started_at = time.process_time()
    for update in updates:
        sidecar.endpoint_updates.apply(ListKind.DELTA, update)
    return 1e6 * (time.process_time() - started_at) / CHANGES_PER_TRIAL


def run(sizes: list[int]) -> list[Series]:
    """Measure each size and return the series that the capacity page quotes."""
    context = multiprocessing.get_context("spawn")
    costs: dict[int, Cost] = {}
    for size in sizes:
        with context.Pool(1) as pool:
            costs[size] = pool.apply(measure, (size,))
    change_us = {size: cost.change_us for size, cost in costs.items()}
    snapshot_us = {size: cost.snapshot_us for size, cost in costs.items()}
    memory_bytes = {size: [cost.memory_bytes] for size, cost in costs.items()}
    list_bytes = {size: [float(cost.list_bytes)] for size, cost in costs.items()}
    return [
        Series("one changed entry at a sidecar", "us of CPU", change_us),
        Series("a full list at a sidecar", "us of CPU", snapshot_us),
        Series("memory for the list, peak", "bytes", memory_bytes),
        Series("a full list on the wire", "bytes", list_bytes),
    ]
