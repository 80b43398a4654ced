"""How long a lease is without a holder, and commands out of turn: kill -9, SIGSTOP past the lease, partition.

Five sidecar processes with leases over the membership plane, 5 % of datagrams lost.  Printed for each
fault: ms from it to the next holder, median and maximum, and the maximum in lease terms (goal: under 2);
commands issued and commands out of turn, of all trials (goal: 0).  The sidecars' monotonic clocks are one
on one machine, so all commands can be put in order.

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

from earlier import revision

from harness import MEMBERSHIP_ON, Tier
from lease_observer import LeaseObserver
from stub_cluster import running_cluster
from stub_servers import StubServer

SIZE = 5
LOSS_RATIO = 0.05
LEASE = "snapshot"
POLL_INTERVAL_S = 0.01


class Fault(enum.StrEnum):
    """What happens to the holder; the values are printed."""

    KILL = "kill -9"
    PAUSE = "SIGSTOP"
    PARTITION = "partition"


class Trial(NamedTuple):
    """One trial's figures."""

    succession_ms: float
    commands: int
    out_of_turn: int


def config_changes(folder: str, term_ms: int) -> dict[str, Any]:
    """The configuration of leases and of the tier's snapshot, which the holder writes all the time."""
    timing = {
        "on": True,
        "term_ms": term_ms,
        "renew_ms": term_ms // 3,
        "skew_ms": term_ms // 20,
        "retry_ms": 60,
    }
    return {"duties": timing, "state": {"on": True, "every_ms": 30, "tier_folder": f"{folder}/tier"}}


async def run_trial(fault: Fault, term_ms: int, seed: int) -> Trial:
    """Fault the holder, wait for the next one, then end the fault and let it issue commands."""
    with tempfile.TemporaryDirectory() as folder:
        servers = [StubServer("a-0", "a")]
        changes = config_changes(folder, term_ms)
        async with running_cluster(
            Path(folder), SIZE, servers, "a", seed, MEMBERSHIP_ON, 1, changes
        ) as cluster:
            cluster.tier.faults.loss = LOSS_RATIO
            observer, loop = LeaseObserver(cluster.tier), asyncio.get_running_loop()
            first = await observer.wait_for_holder(LEASE)
            await observer.wait_for_command(first)
            started_s = loop.time()
            await begin(fault, cluster.tier, first)
            second = await next_holder(observer, first)
            succession_ms = 1000 * (loop.time() - started_s)
            end(fault, cluster.tier, first)
            for _ in range(2):
                await observer.wait_for_command(second)
            return Trial(succession_ms, len(observer.commands), observer.fencing_violation_count())


async def begin(fault: Fault, tier: Tier, holder: int) -> None:
    """Let the fault happen to the holder."""
    match fault:
        case Fault.KILL:
            await tier.kill(holder)
        case Fault.PAUSE:
            tier.signal(holder, signal.SIGSTOP)
        case Fault.PARTITION:
            tier.faults.isolate(holder, SIZE)


def end(fault: Fault, tier: Tier, holder: int) -> None:
    """End a fault that ends."""
    if fault is Fault.PAUSE:
        tier.signal(holder, signal.SIGCONT)
    tier.faults.cut_links = set()


async def next_holder(observer: LeaseObserver, first: int) -> int:
    """Poll the others until one of them holds the lease."""
    others = [number for number in range(SIZE) if number != first]
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
    parser.add_argument("--term", type=int, default=1500, help="the lease's term in ms")
    args = parser.parse_args()
    print(f"{revision()}: {SIZE} sidecars, term {args.term} ms")
    print(f"{'fault':10} {'median':>9} {'most':>9} {'periods':>8} {'acts':>6} {'out of turn':>12}")
    for fault in Fault:
        trials = [asyncio.run(run_trial(fault, args.term, seed)) for seed in range(1, args.trials + 1)]
        times_ms = [trial.succession_ms for trial in trials]
        maximum_ms = max(times_ms)
        print(
            f"{fault:10} {statistics.median(times_ms):6.0f} ms {maximum_ms:6.0f} ms "
            f"{maximum_ms / args.term:8.2f} {sum(trial.commands for trial in trials):6} "
            f"{sum(trial.out_of_turn for trial in trials):12}",
            flush=True,
        )


if __name__ == "__main__":
    main()
