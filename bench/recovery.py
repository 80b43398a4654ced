"""After kill -9 under load: time to service and failed requests, cold against snapshot against peers.

Three sidecars before twelve servers, of which three never respond though they are listed: what a sidecar
without state has to learn again.  Sidecar 0 is killed and started.  Figures from exec on, medians over the
trials: ms until its admin server says ready, ms until its first good response, and the part of its clients'
requests that failed or missed the latency objective.

    .venv/bin/python bench/recovery.py [--trials K] [--span S]
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from earlier import revision

from harness import MEMBERSHIP_ON
from stub_cluster import Cluster, running_cluster
from stub_servers import StubServer

STATE_ON = {"state": {"on": True, "every_ms": 100, "warm_ms": 400}}
VARIANTS: dict[str, dict[str, Any]] = {"cold": {}, "snapshot": STATE_ON, "peers": STATE_ON}
LATENCY_OBJECTIVE_S = 1.0
SILENT_SERVERS = 3
WARM_UP_RESPONSES = 600
LEARNING_S = 4.0  # in which the sidecars eject the silent servers and persist that


class Trial(NamedTuple):
    """What one restart took."""

    ready_ms: float
    first_good_ms: float
    failed: int
    responses: int
    sent_to_silent: int


async def run_trial(variant: str, seed: int, span_s: float) -> Trial:
    servers = [StubServer(f"a-{number}", "a", work_s=0.01) for number in range(12)]
    silent = servers[:SILENT_SERVERS]
    with tempfile.TemporaryDirectory() as folder:
        async with running_cluster(
            Path(folder), 3, servers, "a", seed, MEMBERSHIP_ON, 8, VARIANTS[variant]
        ) as cluster:
            await learn(cluster, silent)
            await cluster.tier.kill(0)
            before = requests_met(silent)
            if variant == "peers":
                for path in (Path(folder) / "n0").glob("state-*"):
                    path.unlink()
            started_at = asyncio.get_running_loop().time()
            await cluster.tier.start(0)
            ready_ms = await measure_readiness(cluster, started_at, span_s)
            sent_to_silent = requests_met(silent) - before
            await cluster.load.stop()
            return evaluate(cluster, started_at, ready_ms, sent_to_silent)


async def learn(cluster: Cluster, silent: list[StubServer]) -> None:
    """Load the sidecars, then silence some servers and let the sidecars learn of it."""
    cluster.load.requests_per_payment = 2
    cluster.load.start()
    await cluster.load.wait_for_responses(WARM_UP_RESPONSES)
    for server in silent:
        server.unresponsive = True
    await asyncio.sleep(LEARNING_S)


def requests_met(servers: list[StubServer]) -> int:
    """Requests of sidecar 0 that reached the servers."""
    return sum(server.attempts_by_sidecar[0] for server in servers)


async def measure_readiness(cluster: Cluster, started_at: float, span_s: float) -> float:
    """Poll for readiness, let the span pass, and return the ms until ready (NaN: never)."""
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


def evaluate(cluster: Cluster, started_at: float, ready_ms: float, sent_to_silent: int) -> Trial:
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
    return Trial(ready_ms, first_good_ms, failed, len(responses), sent_to_silent)


def print_trials(variant: str, trials: list[Trial]) -> None:
    ready_ms = statistics.median(trial.ready_ms for trial in trials)
    first_good_ms = statistics.median(trial.first_good_ms for trial in trials)
    failed = sum(trial.failed for trial in trials)
    responses = sum(trial.responses for trial in trials)
    sent_to_silent = sum(trial.sent_to_silent for trial in trials)
    share = f"{failed} of {responses}"
    rate = f"{failed / responses:.3%}"
    print(
        f"{variant:9} {ready_ms:5.0f} ms {first_good_ms:8.0f} ms {share:>13} {rate:>8} {sent_to_silent:19}",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--trials", type=int, default=5)
    parser.add_argument("--span", type=float, default=5.0)
    args = parser.parse_args()
    print(f"program {revision()}, {args.trials} trials")
    print(f"{'start':9} {'ready':>8} {'first good':>11} {'failed or late':>22} {'sent to the silent':>19}")
    for variant in VARIANTS:
        trials = [asyncio.run(run_trial(variant, seed, args.span)) for seed in range(1, args.trials + 1)]
        print_trials(variant, trials)


if __name__ == "__main__":
    main()
