"""The peer plane with many sidecar processes on one core: membership, a tier-wide ban, load, false deaths.

`--size` processes (64) are pinned to one core of this machine.  Printed: seconds until every sidecar holds
every other alive, ms until a ban at one door holds at all, and then, over `--span` seconds at rest, CPU
share and bytes a second of a process, and how many members were held dead though they live.

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

from earlier import cpu_s, revision

from harness import PLANE, Tier

PATIENCE_S = 120.0


async def views(tier: Tier) -> list[dict[str, Any]]:
    """What each door that answers tells of its members."""
    told = await asyncio.gather(*(tier.members(number) for number in range(tier.size)))
    return [each for each in told if each is not None]


async def play(size: int, span: float, period_ms: int) -> None:
    plane = {**PLANE, "period_ms": period_ms, "probe_timeout_ms": period_ms // 2}
    with tempfile.TemporaryDirectory() as folder:
        tier = Tier(size, Path(folder))
        await tier.open()
        try:
            await measure(tier, plane, span)
        finally:
            await tier.close()


async def measure(tier: Tier, plane: dict[str, Any], span: float) -> None:
    loop, core = asyncio.get_running_loop(), max(os.sched_getaffinity(0))
    began = loop.time()
    for number in range(tier.size):
        await tier.start(number, plane)
        os.sched_setaffinity(tier.processes[number].pid, {core})

    async def all_alive() -> bool:
        seen = await views(tier)
        alive = [all(s == "alive" for s, _ in each["members"].values()) for each in seen]
        return len(alive) == tier.size and all(alive)

    await tier.until(all_alive, PATIENCE_S)
    print(f"{revision()}: {tier.size} processes on one core, period {plane['period_ms']} ms")
    print(f"all hold all alive     {loop.time() - began:8.1f} s after the first start")
    began = loop.time()
    status, _ = await tier.call(3, "PUT", "/api/exclude/s-1")

    async def banned() -> bool:
        return all(each["excluded"] == ["s-1"] for each in await views(tier)) and status == 200

    await tier.until(banned, PATIENCE_S)
    took_ms = 1000 * (loop.time() - began)
    print(f"a ban holds at all     {took_ms:8.0f} ms after its yes, as all {tier.size} doors tell")
    pids = [tier.processes[number].pid for number in range(tier.size)]
    cpu, before, at = [cpu_s(pid) for pid in pids], await views(tier), loop.time()
    dead = 0
    while loop.time() < at + span:
        await asyncio.sleep(1.0)
        dead = max(dead, await held_dead(tier))
    took, after = loop.time() - at, await views(tier)
    share = [(cpu_s(pid) - was) / took for pid, was in zip(pids, cpu, strict=True)]
    rate = [(b["sent"][1] - a["sent"][1]) / took for a, b in zip(before, after, strict=True)]
    print(
        f"CPU share of a process {statistics.median(share):8.2%} median, {sum(share):.0%} of the core in all"
    )
    print(f"sent by a process      {statistics.median(rate):8.0f} bytes/s median, {max(rate):.0f} most")
    print(f"held dead though alive {dead:8} at once at most, over {span:.0f} s")
    dropped = [json.dumps(each["dropped"]) for each in after if each["dropped"]]
    print(f"doors with drops       {len(dropped):8} {dropped[0] if dropped else ''}")


async def held_dead(tier: Tier) -> int:
    seen = await views(tier)
    return sum(status == "dead" for each in seen for status, _ in each["members"].values())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--size", type=int, default=64)
    parser.add_argument("--span", type=float, default=10.0)
    parser.add_argument("--period", type=int, default=1000)
    args = parser.parse_args()
    asyncio.run(play(args.size, args.span, args.period))


if __name__ == "__main__":
    main()
