"""Memory and neighbors of a sidecar process beside crowds of misbehaving clients, state by state."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import tempfile
from pathlib import Path

import bench_support  # noqa: F401  (puts tests/support on the import path)

from misbehaving_clients import FLOODS, STATES, crowd
from sidecar_process import Neighbors, running_process

CROWD_BY_SOCKETS = {256: 200, 1024: 600}


async def measure(names: list[str], memory_mb: int, sockets: int, seconds: float) -> str:
    """Run one crowd; return its row of the table."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_process(Path(folder), memory_mb, sockets) as sidecar, sidecar.measured() as use:
            neighbors = Neighbors()
            size = 1 if names[0] in FLOODS else CROWD_BY_SOCKETS[sockets]
            async with crowd(sidecar.address, size, names):
                await neighbors.run(sidecar.address, seconds)
            await asyncio.sleep(1.0)
            code = sidecar.processes[0].returncode
        results = " ".join(f"{status}:{count}" for status, count in sorted(neighbors.results.items()))
        name = names[0] if len(names) == 1 else "all at once"
        memory = f"{use.before_mb:6.1f} {use.peak_mb:6.1f} {use.after_mb:6.1f}"
        served = f"{results:28} late {neighbors.late:3} longest {neighbors.longest_s:5.2f}"
        end = "" if code is None else f" EXIT {code}"
        return f"{name:30} {memory_mb:3} {sockets:5} {memory}  {served}{end}"


def main() -> None:
    """Print a row for each state and limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--states", nargs="*", default=[*STATES, *FLOODS])
    parser.add_argument("--all-at-once", action="store_true")
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--sockets", type=int, nargs="*", default=[256, 1024])
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    print("state                         MB  sockets  before  peak  after   neighbors")
    rows = [options.states] if options.all_at_once else [[name] for name in options.states]
    for names in rows:
        for sockets in options.sockets:
            with contextlib.suppress(KeyboardInterrupt):
                print(asyncio.run(measure(names, options.memory_mb, sockets, options.seconds)), flush=True)


if __name__ == "__main__":
    main()
