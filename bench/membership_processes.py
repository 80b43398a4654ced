"""The membership plane with many sidecar processes on one core: convergence, load and false deaths.

`--size` processes (default 64) are pinned to one core of this machine.  Printed: seconds until every sidecar
sees every other alive, ms until a server disabled at one sidecar is disabled at all, and then, over `--span`
idle seconds, CPU share and bytes per second of a process, and how many live members were shown as dead,
summed over all views.

    .venv/bin/python bench/membership_processes.py [--size N] [--span S] [--period MS]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import tempfile
from pathlib import Path
from typing import Any

from bench_support import cpu_s, revision

from harness import MEMBERSHIP_ON, Tier

TIMEOUT_S = 120.0
POLL_INTERVAL_S = 1.0
DISABLING_SIDECAR = 3


async def member_views(tier: Tier) -> list[dict[str, Any]]:
    """Return the member views of the sidecars that respond."""
    views = await asyncio.gather(*(tier.members(number) for number in range(tier.size)))
    return [view for view in views if view is not None]


async def false_death_count(tier: Tier) -> int:
    """Return how often a member is shown as dead, over all views."""
    return sum(
        status == "dead" for view in await member_views(tier) for status, _ in view["members"].values()
    )


async def run(size: int, span_s: float, period_ms: int) -> None:
    """Start the tier, then measure and print its figures."""
    membership = {**MEMBERSHIP_ON, "period_ms": period_ms, "probe_timeout_ms": period_ms // 2}
    with tempfile.TemporaryDirectory() as folder:
        tier = Tier(size, Path(folder))
        await tier.open()
        try:
            await measure_start(tier, membership)
            await measure_disabling(tier)
            await measure_idle(tier, span_s)
        finally:
            await tier.close()


async def measure_start(tier: Tier, membership: dict[str, Any]) -> None:
    """Start all sidecars and wait until each sees all others alive."""
    loop, core = asyncio.get_running_loop(), max(os.sched_getaffinity(0))
    started_s = loop.time()
    for number in range(tier.size):
        await tier.start(number, membership)
        os.sched_setaffinity(tier.processes[number].pid, {core})

    async def all_alive() -> bool:
        current_views = await member_views(tier)
        alive = [all(status == "alive" for status, _ in view["members"].values()) for view in current_views]
        return len(alive) == tier.size and all(alive)

    await tier.wait_until(all_alive, TIMEOUT_S)
    period_ms = membership["period_ms"]
    print(f"{revision()}: {tier.size} processes on one core, period {period_ms} ms")
    print(f"all see all alive      {loop.time() - started_s:8.1f} s after the first start")


async def measure_disabling(tier: Tier) -> None:
    """Disable a server at one sidecar and wait until it is disabled at all that respond."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    response = await tier.call_admin(DISABLING_SIDECAR, "PUT", "/api/exclude/s-1")

    async def disabled() -> bool:
        return (
            all(view["excluded"] == ["s-1"] for view in await member_views(tier)) and response.status == 200
        )

    await tier.wait_until(disabled, TIMEOUT_S)
    elapsed_ms = 1000 * (loop.time() - started_s)
    print(
        f"disabled at all        {elapsed_ms:8.0f} ms after the request, by the views of {tier.size} sidecars"
    )


async def measure_idle(tier: Tier, span_s: float) -> None:
    """Measure CPU, bytes and false deaths over `span_s` idle seconds."""
    loop = asyncio.get_running_loop()
    pids = [tier.processes[number].pid for number in range(tier.size)]
    cpu_before_s, before, started_s = [cpu_s(pid) for pid in pids], await member_views(tier), loop.time()
    dead = 0
    while loop.time() < started_s + span_s:
        await asyncio.sleep(POLL_INTERVAL_S)
        dead = max(dead, await false_death_count(tier))
    elapsed_s, after = loop.time() - started_s, await member_views(tier)
    cpu_ratios = [
        (cpu_s(pid) - previous) / elapsed_s for pid, previous in zip(pids, cpu_before_s, strict=True)
    ]
    rates = [
        (current["sent"][1] - previous["sent"][1]) / elapsed_s
        for previous, current in zip(before, after, strict=True)
    ]
    median_cpu, total_cpu = statistics.median(cpu_ratios), sum(cpu_ratios)
    print(f"CPU share of a process {median_cpu:8.2%} median, {total_cpu:.0%} of the core in total")
    print(f"sent by a process      {statistics.median(rates):8.0f} bytes/s median, {max(rates):.0f} maximum")
    print(f"falsely seen as dead   {dead:8} at the same time at most, over {span_s:.0f} s")
    dropped = [json.dumps(view["dropped"]) for view in after if view["dropped"]]
    print(f"sidecars with drops    {len(dropped):8} {dropped[0] if dropped else ''}")


def main() -> None:
    """Run the benchmark with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--size", type=int, default=64)
    parser.add_argument("--span", type=float, default=10.0)
    parser.add_argument("--period", type=int, default=1000)
    args = parser.parse_args()
    asyncio.run(run(args.size, args.span, args.period))


if __name__ == "__main__":
    main()
