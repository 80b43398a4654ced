"""Benchmark of a restart after kill -9 under load: without state, from a snapshot, and from the peers.

Three sidecars send to twelve servers, of which three are listed but never respond; a sidecar without state
has to find that out again.  Sidecar 0 is killed and started.  Figures count from the start of its process,
as medians over the trials: ms until its admin server reports ready and ms until its first good response; also
the share of its clients' requests that failed or missed the latency objective.

    .venv/bin/python bench/recovery.py [--trials K] [--span S]
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from bench_support import revision

from harness import MEMBERSHIP_ON
from stub_cluster import Cluster, running_cluster
from stub_servers import StubServer

STATE_ON = {"state": {"on": True, "every_ms": 100, "warm_ms": 400}}
VARIANTS: dict[str, dict[str, Any]] = {"cold": {}, "snapshot": STATE_ON, "peers": STATE_ON}
LATENCY_OBJECTIVE_S = 1.0
UNRESPONSIVE_SERVERS = 3
WARM_UP_RESPONSES = 600
EJECTION_WAIT_S = 4.0  # time for the sidecars to eject the unresponsive servers and to persist that


class Trial(NamedTuple):
    """The results of one restart."""

    ready_ms: float
    first_good_ms: float
    failed: int
    responses: int
    to_unresponsive: int


async def run_trial(variant: str, seed: int, span_s: float) -> Trial:
    servers = [StubServer(f"a-{number}", "a", work_s=0.01) for number in range(12)]
    unresponsive_servers = servers[:UNRESPONSIVE_SERVERS]
    with tempfile.TemporaryDirectory() as folder:
        async with running_cluster(
            Path(folder), 3, servers, "a", seed, MEMBERSHIP_ON, 8, VARIANTS[variant]
        ) as cluster:
            await prepare_cluster(cluster, unresponsive_servers)
            await cluster.tier.kill(0)
            received_before = requests_received(unresponsive_servers)
            if variant == "peers":
                for path in (Path(folder) / "n0").glob("state-*"):
                    path.unlink()
            started_at = asyncio.get_running_loop().time()
            await cluster.tier.start(0)
            ready_ms = await measure_readiness(cluster, started_at, span_s)
            to_unresponsive = requests_received(unresponsive_servers) - received_before
            await cluster.load.stop()
            return evaluate(cluster, started_at, ready_ms, to_unresponsive)


async def prepare_cluster(cluster: Cluster, unresponsive_servers: list[StubServer]) -> None:
    """Load the sidecars, then make some servers unresponsive and wait for their ejection."""
    cluster.load.requests_per_payment = 2
    cluster.load.start()
    await cluster.load.wait_for_responses(WARM_UP_RESPONSES)
    for server in unresponsive_servers:
        server.unresponsive = True
    await asyncio.sleep(EJECTION_WAIT_S)


def requests_received(servers: list[StubServer]) -> int:
    """Return the number of attempts of sidecar 0 that reached the servers."""
    return sum(server.attempts_by_sidecar[0] for server in servers)


async def measure_readiness(cluster: Cluster, started_at: float, span_s: float) -> float:
    """Poll for readiness, wait for the end of the span, and return the ms until ready (NaN if never)."""
    loop = asyncio.get_running_loop()
    ready_ms = float("nan")
    while loop.time() < started_at + span_s:
        response = await cluster.tier.call_admin(0, "GET", "/api/ready")
        if response.status == 200:
            ready_ms = 1000 * (loop.time() - started_at)
            break
        await asyncio.sleep(0.005)
    await asyncio.sleep(max(started_at + span_s - loop.time(), 0.0))
    return ready_ms


def evaluate(cluster: Cluster, started_at: float, ready_ms: float, to_unresponsive: int) -> Trial:
    responses = [
        response for response in cluster.load.since(started_at) if response.sidecar == 0 and response.status
    ]
    good = [
        response
        for response in responses
        if response.status == 200 and response.took_s <= LATENCY_OBJECTIVE_S
    ]
    first_good_ms = 1000 * (min(response.at_s for response in good) - started_at)
    failed = len(responses) - len(good)
    return Trial(ready_ms, first_good_ms, failed, len(responses), to_unresponsive)


def print_trials(variant: str, trials: list[Trial]) -> None:
    ready_ms = statistics.median(trial.ready_ms for trial in trials)
    first_good_ms = statistics.median(trial.first_good_ms for trial in trials)
    failed = sum(trial.failed for trial in trials)
    responses = sum(trial.responses for trial in trials)
    to_unresponsive = sum(trial.to_unresponsive for trial in trials)
    share = f"{failed} of {responses}"
    rate = f"{failed / responses:.3%}"
    print(
        f"{variant:9} {ready_ms:5.0f} ms {first_good_ms:8.0f} ms {share:>13} {rate:>8} {to_unresponsive:19}",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--trials", type=int, default=5)
    parser.add_argument("--span", type=float, default=5.0)
    args = parser.parse_args()
    print(f"program {revision()}, {args.trials} trials")
    print(f"{'start':9} {'ready':>8} {'first good':>11} {'failed or late':>22} {'to unresponsive':>19}")
    for variant in VARIANTS:
        trials = [asyncio.run(run_trial(variant, seed, args.span)) for seed in range(1, args.trials + 1)]
        print_trials(variant, trials)


if __name__ == "__main__":
    main()
