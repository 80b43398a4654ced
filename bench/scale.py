"""What the parts of the tier cost by size, with fitted slopes and the values at the fleet to come.

    .venv/bin/python bench/scale.py [--edge] [--peers] [--fanout] [--sizes 100,400,1600]

Without a choice all three are played, in some five minutes; docs/CAPACITY.md quotes a run.  The registry and
the relays are processes, hollow sidecars share some: a few dozen in all.
"""

from __future__ import annotations

import argparse
import asyncio
import os

import scale_edge
import scale_fanout
import scale_membership
import scale_request
from earlier import revision
from scale_fit import Series, report

TARGET = 22_000  # servers, each with its sidecar
LISTED = [200, 2_000, 8_000, 22_000]
MEMBERS = [64, 256, 1_000]
SIDECARS = [100, 400, 1_600]
WITHOUT_RELAYS_MOST = 1_600


def fanout(sizes: list[int]) -> None:
    outcomes = asyncio.run(scale_fanout.run(sizes, WITHOUT_RELAYS_MOST))
    steady = [each for each in outcomes if each.phase == "0.8 changes/s"]
    direct = [each for each in outcomes if each.phase == "without relays"]
    report(_series("registry calls with relays", "a second, by relay", steady, by_relay=True), 54)
    report(_series("registry calls without relays", "a second", direct), TARGET)
    per_relay = {each.sidecars // each.relays: [each.relay_core] for each in steady}
    report(Series("a relay's part of a core by its sidecars", "cores", per_relay), 458)


def _series(name: str, unit: str, outcomes: list[scale_fanout.Outcome], by_relay: bool = False) -> Series:
    values = {(e.relays if by_relay else e.sidecars): [e.registry_calls_s] for e in outcomes}
    return Series(name, unit, values)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    for part in ("edge", "peers", "fanout"):
        parser.add_argument(f"--{part}", action="store_true")
    parser.add_argument(
        "--sizes", default=",".join(map(str, SIDECARS)), help="hollow sidecars of the fan-out"
    )
    chosen = parser.parse_args()
    everything = not (chosen.edge or chosen.peers or chosen.fanout)
    print(f"{revision()} on {os.cpu_count()} cores")
    if chosen.edge or everything:
        for series in scale_edge.run(LISTED) + scale_request.run(LISTED):
            report(series, TARGET)
    if chosen.peers or everything:
        for series in scale_membership.run(MEMBERS):
            report(series, TARGET)
    if chosen.fanout or everything:
        fanout([int(each) for each in chosen.sizes.split(",")])


if __name__ == "__main__":
    main()
