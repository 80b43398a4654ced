"""After kill -9 under load: time to service and failed requests, cold against snapshot against peers.

Three sidecars before twelve servers, of which three are dead though listed and one fails a class: what a
sidecar that forgot them has to learn anew.  Sidecar 0 is killed and started again; figures from exec on,
medians over the trials: ms until its door says ready, ms until its first good answer, and of what its
clients asked in the first seconds the part that failed or came after its aim.

    .venv/bin/python bench/recovery.py [--trials K] [--span S]
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from pathlib import Path
from typing import Any

from earlier import revision

from harness import MEMBERSHIP_ON
from stub_cluster import running_cluster
from stub_servers import StubServer

ON = {"state": {"on": True, "every_ms": 100, "warm_ms": 400}}
VARIANTS: dict[str, dict[str, Any]] = {"cold": {}, "snapshot": ON, "peers": ON}
AIM_S = 1.0


async def trial(variant: str, seed: int, span: float) -> tuple[float, float, int, int, int]:
    """ms to ready, ms to the first good answer, failed of how many, its attempts at silent servers."""
    servers = [StubServer(f"a-{number}", "a", work_s=0.01) for number in range(12)]
    with tempfile.TemporaryDirectory() as folder:
        given = running_cluster(Path(folder), 3, servers, "a", seed, MEMBERSHIP_ON, 8, VARIANTS[variant])
        async with given as made:
            made.load.requests_per_payment = 2
            made.load.start()
            while len(made.load.responses) < 600:
                await asyncio.sleep(0.01)
            for each in servers[:3]:
                each.unresponsive = True
            at = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < at + 4.0:  # they learn of it, and keep it
                await asyncio.sleep(0.05)
            await made.tier.kill(0)
            before = sum(each.attempts_by_sidecar[0] for each in servers[:3])
            for path in (Path(folder) / "n0").glob("state-*") if variant == "peers" else ():
                path.unlink()
            loop = asyncio.get_running_loop()
            began = loop.time()
            await made.tier.start(0)
            ready = None
            while loop.time() < began + span:
                if ready is None and (await made.tier.call_admin(0, "GET", "/api/ready")).status == 200:
                    ready = 1000 * (loop.time() - began)
                await asyncio.sleep(0.005 if ready is None else 0.1)
            met = sum(each.attempts_by_sidecar[0] for each in servers[:3]) - before
            await made.load.stop()
            mine = [each for each in made.load.since(began) if each.sidecar == 0 and each.status]
            good = [each for each in mine if each.status == 200 and each.took_s <= AIM_S]
            first = 1000 * (min(each.at_s for each in good) - began)
            return ready or float("nan"), first, len(mine) - len(good), len(mine), met


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--trials", type=int, default=5)
    parser.add_argument("--span", type=float, default=5.0)
    args = parser.parse_args()
    print(f"program {revision()}, {args.trials} trials")
    print(f"{'start':9} {'ready':>8} {'first good':>11} {'failed or late':>22} {'sent to the silent':>19}")
    for variant in VARIANTS:
        done = [asyncio.run(trial(variant, seed, args.span)) for seed in range(1, args.trials + 1)]
        ready, first = (statistics.median(each[at] for each in done) for at in (0, 1))
        failed, asked, met = (sum(each[at] for each in done) for at in (2, 3, 4))
        share = f"{failed} of {asked}"
        rate = f"{failed / asked:.3%}"
        print(f"{variant:9} {ready:5.0f} ms {first:8.0f} ms {share:>13} {rate:>8} {met:19}", flush=True)


if __name__ == "__main__":
    main()
