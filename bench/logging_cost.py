"""CPU per request of one sidecar process with the log as it was, as plain text now, and as JSON now.

Two loads: healthy servers, and servers that fail a class, so that requests end badly and are logged, at the
most that closed-loop clients reach.  Variants take turns; a figure is the median of the rounds, in us of
CPU a request, and its ratio to the version before.  Run from the repository's root:

    .venv/bin/python bench/logging_cost.py [--before REV] [--rounds K] [--requests N]
"""

from __future__ import annotations

import argparse
import asyncio
import io
import logging
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from earlier import ROOT, cpu_s, sources

from sidecar_balancer.observability.logs import LogConfig, configure_logging
from stub_cluster import running_cluster
from stub_servers import StubServer

_log = logging.getLogger(__name__)
BEFORE = "51ec53d"  # the last version that logged plain text alone


async def measure(
    program: Path, changes: dict[str, Any], failing: bool, requests: int
) -> tuple[float, float]:
    """CPU us a request, and lines of log a second."""
    servers = [StubServer(f"a-{number}", "a", work_s=0.002, slots=16) for number in range(6)]
    for each in servers if failing else ():
        each.failing_classes = {"pay"}
    with tempfile.TemporaryDirectory() as folder:
        async with running_cluster(
            Path(folder), 1, servers, "a", clients=16, config_changes=changes, program_folder=program
        ) as made:
            pid = made.tier.processes[0].pid
            made.load.requests_per_payment = 3
            made.load.start()
            while len(made.load.responses) < requests // 4:  # past the start
                await asyncio.sleep(0.01)
            loop = asyncio.get_running_loop()
            began, cpu, count = loop.time(), cpu_s(pid), len(made.load.responses)
            while len(made.load.responses) < count + requests:
                await asyncio.sleep(0.01)
            took, spent = loop.time() - began, cpu_s(pid) - cpu
            done = len(made.load.responses) - count
            await made.load.stop()
            lines = (Path(folder) / "n0" / "log").read_bytes().count(b"\n")
            return 1e6 * spent / done, lines / took


def a_line(format: str, lines: int = 5000) -> float:
    """CPU us to render one line of the log, with all that is told of a request that ended badly."""
    configure_logging(LogConfig(format=format, lines_per_s=100_000, repeats_per_s=100_000))
    handler = logging.getLogger().handlers[0]
    assert isinstance(handler, logging.StreamHandler)
    handler.setStream(io.StringIO())
    about = {"kind": "request_ended", "request": "9b1f03aa5c7e2d41", "class": "look", "status": "500"}
    about |= {"took_ms": 3.1, "attempts": ["s-1 error 500 3.0 ms"]}  # type: ignore[dict-item]
    began = time.process_time()
    for number in range(lines):
        _log.info("%s from port %d -> %s", "look", number, "500", extra=about)
    logging.getLogger().handlers.clear()
    return 1e6 * (time.process_time() - began) / lines


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--before", default=BEFORE)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=4000)
    args = parser.parse_args()
    for format in ("plain", "json"):
        cost = a_line(format)
        print(f"a line, {format:5} {cost:5.1f} us; 50 a second {50 * cost / 1e6:.3%} of a core")
    with sources(args.before) as old:
        variants: dict[str, tuple[Path, dict[str, Any]]] = {
            f"before ({args.before}), plain": (old, {}),
            "now, plain": (ROOT, {"logging": {"format": "plain"}}),
            "now, JSON": (ROOT, {"logging": {"format": "json"}}),
        }
        for failing in (False, True):
            taken: dict[str, list[tuple[float, float]]] = {name: [] for name in variants}
            for _ in range(args.rounds):
                for name, (program, changes) in variants.items():
                    taken[name].append(asyncio.run(measure(program, changes, failing, args.requests)))
            base = 0.0
            print("servers that fail a class" if failing else "healthy servers")
            for name, each in taken.items():
                cost = statistics.median(us for us, _ in each)
                base = base or cost
                lines = statistics.median(rate for _, rate in each)
                print(f"  {name:26} {cost:7.0f} us a request  ratio {cost / base:.3f}  {lines:5.0f} lines/s")


if __name__ == "__main__":
    main()
