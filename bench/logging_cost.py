"""CPU time of a sidecar per request: an earlier version's log, and this version's as plain text and as JSON.

Two loads: healthy servers, and servers that fail a service class, so that requests fail and are logged at the
highest rate that closed-loop clients reach.  Variants run alternately; a figure is the median of the
rounds, in us of CPU per request, with its ratio to the earlier version.  Run from the repository's root:

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
from typing import Any, NamedTuple

from bench_support import ROOT, cpu_s, source_tree

from sidecar_balancer.observability.logs import LogConfig, configure_logging
from stub_cluster import running_cluster
from stub_servers import StubServer

log = logging.getLogger(__name__)
BASELINE_REVISION = "51ec53d"  # the last version that logged plain text only
UNLIMITED_LINES_PER_S = 100_000


class Variant(NamedTuple):
    """A version of the program and the changes to its configuration."""

    name: str
    root: Path
    config_changes: dict[str, Any]


class Cost(NamedTuple):
    """The cost of serving requests."""

    cpu_us_per_request: float
    log_lines_per_s: float


async def measure(variant: Variant, failing: bool, requests: int) -> Cost:
    servers = [StubServer(f"a-{number}", "a", work_s=0.002, slots=16) for number in range(6)]
    if failing:
        for server in servers:
            server.failing_classes = {"pay"}
    with tempfile.TemporaryDirectory() as folder:
        async with running_cluster(
            Path(folder),
            1,
            servers,
            "a",
            clients=16,
            config_changes=variant.config_changes,
            program_folder=variant.root,
        ) as cluster:
            pid = cluster.tier.processes[0].pid
            cluster.load.requests_per_payment = 3
            cluster.load.start()
            await cluster.load.wait_for_responses(requests // 4)  # excludes the start
            loop = asyncio.get_running_loop()
            started_s, cpu_before, count = loop.time(), cpu_s(pid), len(cluster.load.responses)
            await cluster.load.wait_for_responses(requests)
            elapsed_s, cpu_spent_s = loop.time() - started_s, cpu_s(pid) - cpu_before
            response_count = len(cluster.load.responses) - count
            await cluster.load.stop()
        lines = (Path(folder) / "n0" / "log").read_bytes().count(b"\n")
        return Cost(1e6 * cpu_spent_s / response_count, lines / elapsed_s)


def cpu_us_per_line(log_format: str, lines: int = 5000) -> float:
    """Return the CPU us to render one log line with the fields of a failed request."""
    configure_logging(
        LogConfig(format=log_format, lines_per_s=UNLIMITED_LINES_PER_S, repeats_per_s=UNLIMITED_LINES_PER_S)
    )
    handler = logging.getLogger().handlers[0]
    assert isinstance(handler, logging.StreamHandler)
    handler.setStream(io.StringIO())
    started_s = time.process_time()
    for number in range(lines):
        log.info(
            "%s from port %d -> %s",
            "look",
            number,
            "500",
            extra={
                "event": "request_ended",
                "request": "9b1f03aa5c7e2d41",
                "class": "look",
                "status": "500",
                "took_ms": 3.1,
                "attempts": ["s-1 error 500 3.0 ms"],
            },
        )
    logging.getLogger().handlers.clear()
    return 1e6 * (time.process_time() - started_s) / lines


def compare(variants: list[Variant], failing: bool, rounds: int, requests: int) -> None:
    costs: dict[str, list[Cost]] = {variant.name: [] for variant in variants}
    for _ in range(rounds):
        for variant in variants:
            costs[variant.name].append(asyncio.run(measure(variant, failing, requests)))
    print("servers that fail a service class" if failing else "healthy servers")
    baseline_us = 0.0
    for name, measured in costs.items():
        cpu_us = statistics.median(cost.cpu_us_per_request for cost in measured)
        lines_per_s = statistics.median(cost.log_lines_per_s for cost in measured)
        baseline_us = baseline_us or cpu_us
        print(
            f"  {name:26} {cpu_us:7.0f} us per request  ratio {cpu_us / baseline_us:.3f}"
            f"  {lines_per_s:5.0f} lines/s"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--before", default=BASELINE_REVISION)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=4000)
    args = parser.parse_args()
    for log_format in ("plain", "json"):
        cpu_us = cpu_us_per_line(log_format)
        print(f"one line, {log_format:5} {cpu_us:5.1f} us; 50 per second {50 * cpu_us / 1e6:.3%} of a core")
    with source_tree(args.before) as earlier_root:
        variants = [
            Variant(f"before ({args.before}), plain", earlier_root, {}),
            Variant("now, plain", ROOT, {"logging": {"format": "plain"}}),
            Variant("now, JSON", ROOT, {"logging": {"format": "json"}}),
        ]
        for failing in (False, True):
            compare(variants, failing, args.rounds, args.requests)


if __name__ == "__main__":
    main()
