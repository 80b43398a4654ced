"""Benchmark of lease takeover and fencing: kill -9, SIGSTOP past the lease, and partition.

Five sidecar processes with leases over the membership plane, 5 % of datagrams lost.  Printed for each
fault: ms from it to the next holder, median and maximum, and the maximum in lease terms (goal: under 2);
over all trials, the commands issued and those that violate the order of fencing tokens (goal: 0).  All
processes of a machine share one monotonic clock, so the commands of all sidecars can be ordered.

    .venv/bin/python bench/leases.py [--trials K] [--term MS]
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import signal
import statistics
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from bench_support import revision

from harness import MEMBERSHIP_ON, Tier
from lease_observer import LeaseObserver
from stub_cluster import running_cluster
from stub_servers import StubServer

SIZE = 5
LOSS_RATIO = 0.05
LEASE = "snapshot"
POLL_INTERVAL_S = 0.01


class Fault(enum.StrEnum):
    """A fault of the lease holder; the values are printed."""

    KILL = "kill -9"
    PAUSE = "SIGSTOP"
    PARTITION = "partition"


class Trial(NamedTuple):
    """The results of one trial."""

    takeover_ms: float
    commands: int
    fencing_violations: int


def config_changes(folder: str, term_ms: int) -> dict[str, Any]:
    """Return the configuration of leases and of the tier's snapshot, which the holder writes continually."""
    timing = {
        "on": True,
        "term_ms": term_ms,
        "renew_ms": term_ms // 3,
        "skew_ms": term_ms // 20,
        "retry_ms": 60,
    }
    return {"duties": timing, "state": {"on": True, "every_ms": 30, "tier_folder": f"{folder}/tier"}}


async def run_trial(fault: Fault, term_ms: int, seed: int) -> Trial:
    """Inject a fault, wait for the next holder, then end the fault and let the next holder issue commands."""
    with tempfile.TemporaryDirectory() as folder:
        servers = [StubServer("a-0", "a")]
        changes = config_changes(folder, term_ms)
        async with running_cluster(
            Path(folder), SIZE, servers, "a", seed, MEMBERSHIP_ON, 1, changes
        ) as cluster:
            cluster.tier.faults.loss = LOSS_RATIO
            observer, loop = LeaseObserver(cluster.tier), asyncio.get_running_loop()
            first_holder = await observer.wait_for_holder(LEASE)
            await observer.wait_for_command(first_holder)
            started_s = loop.time()
            await inject_fault(fault, cluster.tier, first_holder)
            second_holder = await next_holder(observer, first_holder)
            takeover_ms = 1000 * (loop.time() - started_s)
            end_fault(fault, cluster.tier, first_holder)
            for _ in range(2):
                await observer.wait_for_command(second_holder)
            return Trial(takeover_ms, len(observer.commands), observer.fencing_violation_count())


async def inject_fault(fault: Fault, tier: Tier, holder: int) -> None:
    """Inject the fault at the holder."""
    match fault:
        case Fault.KILL:
            await tier.kill(holder)
        case Fault.PAUSE:
            tier.signal(holder, signal.SIGSTOP)
        case Fault.PARTITION:
            tier.faults.isolate(holder, SIZE)


def end_fault(fault: Fault, tier: Tier, holder: int) -> None:
    """End a pause or a partition; a killed sidecar stays down."""
    if fault is Fault.PAUSE:
        tier.signal(holder, signal.SIGCONT)
    tier.faults.cut_links = set()


async def next_holder(observer: LeaseObserver, first_holder: int) -> int:
    """Poll the other sidecars until one of them holds the lease, and return it."""
    others = [number for number in range(SIZE) if number != first_holder]
    while True:
        for number in others:
            await observer.poll_member(number)
        for number in others:
            if observer.tokens.get(number, {}).get(LEASE):
                return number
        await asyncio.sleep(POLL_INTERVAL_S)


def main() -> None:
    """Run the trials of each fault."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--trials", type=int, default=6)
    parser.add_argument("--term", type=int, default=1500, help="lease term in ms")
    args = parser.parse_args()
    print(f"{revision()}: {SIZE} sidecars, term {args.term} ms")
    print(f"{'fault':10} {'median':>9} {'maximum':>9} {'in terms':>8} {'issued':>6} {'violations':>12}")
    for fault in Fault:
        trials = [asyncio.run(run_trial(fault, args.term, seed)) for seed in range(1, args.trials + 1)]
        times_ms = [trial.takeover_ms for trial in trials]
        maximum_ms = max(times_ms)
        print(
            f"{fault:10} {statistics.median(times_ms):6.0f} ms {maximum_ms:6.0f} ms "
            f"{maximum_ms / args.term:8.2f} {sum(trial.commands for trial in trials):6} "
            f"{sum(trial.fencing_violations for trial in trials):12}",
            flush=True,
        )


if __name__ == "__main__":
    main()
