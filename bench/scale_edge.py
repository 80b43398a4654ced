"""What the list of servers costs one sidecar: a changed line, a whole list, memory.

The real sidecar without its discovery, each size in a process of its own, so that memory tells.
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

import earlier  # noqa: F401  # makes the tests' stand-ins known
from scale_fit import Series

from helpers import settings
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.discovery.endpoint_list import ListUpdate, parse_list, read_list
from sidecar_balancer.policy.types import ListKind
from sidecar_balancer.runtime.sidecar import Sidecar

TRIALS = 5
CHANGES = 60  # a trial
ZONES = 21


@dataclass(frozen=True)
class Cost:
    """Of one size; times in microseconds of CPU, memory in bytes."""

    change_us: list[float]
    list_us: list[float]
    memory: float
    list_bytes: int


def entry(number: int, **changes: Any) -> dict[str, Any]:
    """An entry as a registry at that size would tell it, some 140 bytes."""
    given = {
        "name": f"s-{number:08x}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8443",
        "zone": f"zone-{number % ZONES:02d}",
        "type": "m2",
        "group": number % 40,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }
    return given | changes


def whole(size: int) -> bytes:
    listed = [entry(number) for number in range(size)]
    return json.dumps({"index": 1, "snapshot": True, "endpoints": listed}).encode()


def change(index: int, *entries: dict[str, Any]) -> ListUpdate:
    return parse_list({"index": index, "snapshot": False, "endpoints": list(entries)})


def resident_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def measure(size: int) -> Cost:
    logging.disable(logging.CRITICAL)
    return asyncio.run(_measure(size))


async def _measure(size: int) -> Cost:
    nothing = ListUpdate(0, True, [])
    config = SidecarConfig(("127.0.0.1", 0), ("127.0.0.1", 1), 7, 256, settings(zone="zone-00"), nothing)
    sidecar = Sidecar(config)
    body = whole(size)
    gc.collect()
    before = resident_bytes()
    list_us = []
    for _ in range(TRIALS):
        began = time.process_time()
        sidecar._endpoint_updates.apply(ListKind.SNAPSHOT, read_list(body))
        list_us.append(1e6 * (time.process_time() - began))
    memory = resident_bytes() - before
    change_us = [_changes(sidecar, size, trial) for trial in range(TRIALS)]
    await sidecar._close()
    return Cost(change_us, list_us, memory, len(body))


def _changes(sidecar: Sidecar, size: int, trial: int) -> float:
    """CPU microseconds a changed line: drains, returns and starts, by turns."""
    updates = []
    for number in range(CHANGES):
        server = (trial * CHANGES + number // 2) * 7919 % size
        status = "leaving" if number % 2 == 0 else "active"
        updates.append(change(2, entry(server, status=status)))
    began = time.process_time()
    for each in updates:
        sidecar._endpoint_updates.apply(ListKind.DELTA, each)
    return 1e6 * (time.process_time() - began) / CHANGES


def run(sizes: list[int]) -> list[Series]:
    """Measure each size; return the series that the capacity page quotes."""
    context = multiprocessing.get_context("spawn")
    costs: dict[int, Cost] = {}
    for size in sizes:
        with context.Pool(1) as pool:
            costs[size] = pool.apply(measure, (size,))
    return [
        Series("one changed line at a sidecar", "us of CPU", {s: c.change_us for s, c in costs.items()}),
        Series("a whole list at a sidecar", "us of CPU", {s: c.list_us for s, c in costs.items()}),
        Series("memory for the list, peak", "bytes", {s: [c.memory] for s, c in costs.items()}),
        Series("a whole list on the wire", "bytes", {s: [float(c.list_bytes)] for s, c in costs.items()}),
    ]
