"""Costs of the parts of the tier by size, with fitted slopes and the values at the planned fleet size.

    .venv/bin/python bench/scale.py [--edge] [--peers] [--fanout] [--sizes 100,400,1600]

Without these flags all three benchmarks run, in about five minutes; docs/CAPACITY.md quotes a run.  The
registry and each relay are processes, and hollow sidecars share processes: a few dozen in total.
"""

from __future__ import annotations

import argparse
import asyncio
import os

import scale_edge
import scale_fanout
import scale_membership
import scale_request
from bench_support import revision
from scale_fit import Series, report

TARGET_SERVERS = 22_000  # servers, each with its sidecar
LISTED_SERVERS = [200, 2_000, 8_000, 22_000]
MEMBERS = [64, 256, 1_000]
RELAYS = 54  # number of relays in the planned fleet
SIDECARS = [100, 400, 1_600]
MAX_SIDECARS_WITHOUT_RELAYS = 1_600


def fanout(sizes: list[int]) -> None:
    outcomes = asyncio.run(scale_fanout.run(sizes, MAX_SIDECARS_WITHOUT_RELAYS))
    steady = [outcome for outcome in outcomes if outcome.phase == scale_fanout.STEADY_PHASE]
    direct = [outcome for outcome in outcomes if outcome.phase == scale_fanout.DIRECT_PHASE]
    report(_series("registry calls with relays", "a second, by relay", steady, by_relay=True), RELAYS)
    report(_series("registry calls without relays", "a second", direct), TARGET_SERVERS)
    per_relay = {outcome.sidecars // outcome.relays: [outcome.relay_cpu_share] for outcome in steady}
    report(
        Series("a relay's share of a core by its number of sidecars", "cores", per_relay),
        scale_fanout.SIDECARS_PER_RELAY,
    )


def _series(name: str, unit: str, outcomes: list[scale_fanout.Outcome], by_relay: bool = False) -> Series:
    sizes = [outcome.relays if by_relay else outcome.sidecars for outcome in outcomes]
    values = {size: [outcome.registry_calls_per_s] for size, outcome in zip(sizes, outcomes, strict=True)}
    return Series(name, unit, values)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    for part in ("edge", "peers", "fanout"):
        parser.add_argument(f"--{part}", action="store_true")
    parser.add_argument(
        "--sizes", default=",".join(map(str, SIDECARS)), help="numbers of hollow sidecars for --fanout"
    )
    arguments = parser.parse_args()
    run_all = not (arguments.edge or arguments.peers or arguments.fanout)
    print(f"{revision()} on {os.cpu_count()} cores")
    if arguments.edge or run_all:
        for series in scale_edge.run(LISTED_SERVERS) + scale_request.run(LISTED_SERVERS):
            report(series, TARGET_SERVERS)
    if arguments.peers or run_all:
        for series in scale_membership.run(MEMBERS):
            report(series, TARGET_SERVERS)
    if arguments.fanout or run_all:
        fanout([int(size) for size in arguments.sizes.split(",")])


if __name__ == "__main__":
    main()
