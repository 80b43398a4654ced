"""How long a duty is without a holder, and acts out of turn: kill -9, SIGSTOP past the lease, partition.

Five sidecar processes with leases over the peer plane, 5 % of datagrams lost.  Printed for each fault: ms
from it to the next holder, median and most, and the most in lease periods (goal: under 2); acts done and
acts out of turn, of all trials (goal: 0).  The sidecars' monotonic clocks are one on one machine, so all
acts can be put in order.

    .venv/bin/python bench/leases.py [--trials K] [--term MS]
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import statistics
import tempfile
from pathlib import Path
from typing import Any

from earlier import revision
from test_tier_leases import Watch, acted, duties

from harness import PLANE
from world import Catalogue, world

SIZE = 5


async def trial(fault: str, term_ms: int, seed: int) -> tuple[float, int, int]:
    """ms to the next holder; acts; acts out of turn."""
    terms = {
        "on": True,
        "term_ms": term_ms,
        "renew_ms": term_ms // 3,
        "skew_ms": term_ms // 20,
        "retry_ms": 60,
    }
    with tempfile.TemporaryDirectory() as folder:
        state = {"on": True, "every_ms": 30, "tier_folder": f"{folder}/tier"}
        changes: dict[str, Any] = {"duties": terms | {"retry_ms": 60}, "state": state}
        servers = [Catalogue("a-0", "a")]
        async with world(Path(folder), SIZE, servers, "a", seed, PLANE, 1, changes) as made:
            made.tier.faults.loss = 0.05
            watch, loop = Watch(made.tier), asyncio.get_running_loop()
            first = await watch.until_held("snapshot")
            await acted(watch, first)
            began = loop.time()
            if fault == "kill -9":
                await made.tier.kill(first)
            elif fault == "SIGSTOP":
                made.tier.signal(first, signal.SIGSTOP)
            else:
                made.tier.faults.cut = {frozenset((first, each)) for each in range(SIZE) if each != first}
            others = [number for number in range(SIZE) if number != first]
            second = None
            while second is None:
                held = [(await look(watch, number)) for number in others]
                second = next((number for number, holds in zip(others, held, strict=True) if holds), None)
                await asyncio.sleep(0.01)
            took = 1000 * (loop.time() - began)
            if fault == "SIGSTOP":
                made.tier.signal(first, signal.SIGCONT)
            made.tier.faults.cut = set()
            await acted(watch, second)
            await acted(watch, second)
            return took, len(watch.acts), watch.double_acts()


async def look(watch: Watch, number: int) -> bool:
    told = await duties(watch.tier, number)
    if told is None:
        return False
    watch.acts |= {(at, duty, token, number) for at, duty, token, _ in told["acts"]}
    return bool(told["held"]["snapshot"])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--trials", type=int, default=6)
    parser.add_argument("--term", type=int, default=1500, help="the lease's term in ms")
    args = parser.parse_args()
    print(f"{revision()}: {SIZE} sidecars, term {args.term} ms")
    print(f"{'fault':10} {'median':>9} {'most':>9} {'periods':>8} {'acts':>6} {'out of turn':>12}")
    for fault in ("kill -9", "SIGSTOP", "partition"):
        done = [asyncio.run(trial(fault, args.term, seed)) for seed in range(1, args.trials + 1)]
        took, acts, wrong = zip(*done, strict=True)
        most = max(took)
        print(
            f"{fault:10} {statistics.median(took):6.0f} ms {most:6.0f} ms {most / args.term:8.2f} "
            f"{sum(acts):6} {sum(wrong):12}",
            flush=True,
        )


if __name__ == "__main__":
    main()
