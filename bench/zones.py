"""Zones before and after, on real processes: the same tier, servers, load and seeds, played by two versions.

Two sidecars, one in each of two zones, four servers a zone.  Scenes: steady; a zone lost for some seconds
and back cold; a zone that falls silent; a zone that flaps.  Printed for each: requests answered from
another zone, p50 and p99 latency in ms, failed requests, the most that a returning cold server was sent of
what pushes it over (`over`, 1.0 tips it), and for this version how long the sidecar of the lost zone took
to leave it.

    .venv/bin/python bench/zones.py [--before REV] [--seeds K] [--span S]
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from earlier import ROOT, sources

from harness import PLANE
from world import Catalogue, World, world

BEFORE = "51ec53d"  # the last version without zones
ON: dict[str, Any] = {"locality": {"on": True, "ramp_ms": 4000}}


@dataclass
class Figures:
    cross: float
    p50_ms: float
    p99_ms: float
    failed: int
    asked: int
    over: float
    leave_ms: float | None


Scene = Callable[[World, float], Awaitable[float | None]]


async def steady(made: World, span: float) -> float | None:
    await asyncio.sleep(2 * span)
    return None


async def lost(made: World, span: float) -> float | None:
    await made.kill_zone("b")
    took = await left_after(made, span)
    await made.return_zone("b")
    await asyncio.sleep(span)
    return took


async def silent(made: World, span: float) -> float | None:
    for each in made.zone("b"):
        each.silent = True
    took = await left_after(made, span)
    for each in made.zone("b"):
        each.silent = False
    await asyncio.sleep(span)
    return took


async def flaps(made: World, span: float) -> float | None:
    for _ in range(4):
        await made.kill_zone("b")
        await asyncio.sleep(span / 4)
        await made.return_zone("b", tell=False)
        await asyncio.sleep(span / 4)
    return None


SCENES: dict[str, Scene] = {"steady": steady, "lost": lost, "silent": silent, "flaps": flaps}


async def left_after(made: World, span: float) -> float | None:
    """Wait `span` seconds; ms after which sidecar 1 had left the zone, as its door tells."""
    loop = asyncio.get_running_loop()
    began, found = loop.time(), None
    while loop.time() < began + span:
        told = (await made.zones(1)).get("zones", {}).get("b")
        if found is None and told and told["left_for_ms"] is not None:
            found = 1000 * (loop.time() - began) - told["left_for_ms"]
        await asyncio.sleep(0.05)
    return found


async def measure(program: Path, changes: dict[str, Any], scene: Scene, seed: int, span: float) -> Figures:
    servers = [Catalogue(f"{zone}-{number}", zone) for zone in "ab" for number in range(4)]
    with tempfile.TemporaryDirectory() as folder:
        given = world(Path(folder), 2, servers, "ab", seed, PLANE, 6, changes, program=program)
        async with given as made:
            made.load.start()
            while len(made.load.answers) < 300:
                await asyncio.sleep(0.01)
            at = asyncio.get_running_loop().time()
            leave = await scene(made, span)
            await made.load.stop()
            heard = made.load.since(at)
    good = [each for each in heard if each.status == 200]
    took = sorted(1000 * each.took_s for each in good)
    cross = sum(each.server[0] != "ab"[each.sidecar] for each in good) / max(len(good), 1)
    over = max(each.over for each in servers)
    p99 = took[int(0.99 * (len(took) - 1))]
    return Figures(cross, statistics.median(took), p99, len(heard) - len(good), len(heard), over, leave)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--before", default=BEFORE)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--span", type=float, default=4.0, help="seconds of a fault, and again after it")
    args = parser.parse_args()
    columns = f"{'cross':>6} {'p50':>5} {'p99':>6} {'failed':>12} {'over':>5} leave"
    print(f"{'scene':8} {'version':16} {'seed':>4} {columns}")
    with sources(args.before) as old:
        for name, scene in SCENES.items():
            for seed in range(1, args.seeds + 1):
                for version, program, changes in ((f"before {args.before}", old, {}), ("now, on", ROOT, ON)):
                    f = asyncio.run(measure(program, changes, scene, seed, args.span))
                    leave = "-" if f.leave_ms is None else f"{f.leave_ms:.0f} ms"
                    share = f"{f.failed} of {f.asked}"
                    print(
                        f"{name:8} {version:16} {seed:4} {f.cross:6.1%} {f.p50_ms:5.0f} {f.p99_ms:6.0f} "
                        f"{share:>12} {f.over:5.2f} {leave}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
