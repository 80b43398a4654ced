"""Benchmark of zones on real processes: two versions with the same tier, servers, load and seeds.

Two sidecars, one in each of two zones, four servers per zone.  Scenarios: steady; a zone that fails for some
seconds and restarts; a zone that becomes unresponsive; a zone that flaps.  Printed for each: share of
requests answered from another zone, p50 and p99 latency in ms, failed requests, the peak load of a server
that is warming up as a ratio of the load that overloads it (`over`; at 1.0 it is overloaded), and for this
version how long the sidecar of the failed zone took to evacuate it.

    .venv/bin/python bench/zones.py [--before REV] [--seeds K] [--span S]
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench_support import ROOT, source_tree

from harness import MEMBERSHIP_ON
from load_generator import ResponseRecord
from stub_cluster import Cluster, running_cluster
from stub_servers import StubServer

BASELINE_REVISION = "51ec53d"  # the last version without zone support
ZONES_ON: dict[str, Any] = {"locality": {"on": True, "ramp_ms": 4000}}
ZONES = "ab"  # zones of the sidecars, in order
SERVERS_PER_ZONE = 4
CLIENTS = 6
WARM_UP_RESPONSES = 300
POLL_INTERVAL_S = 0.05

Scenario = Callable[[Cluster, float], Awaitable[float | None]]


@dataclass
class Version:
    """A version of the program and its configuration."""

    name: str
    program_folder: Path
    config_changes: dict[str, Any]


@dataclass
class Figures:
    """The results of one run of a scenario."""

    cross_zone_ratio: float
    p50_ms: float
    p99_ms: float
    failed: int
    requests: int
    peak_overload_ratio: float
    evacuation_ms: float | None

    def row(self) -> str:
        """Format the figures as columns."""
        evacuation = "-" if self.evacuation_ms is None else f"{self.evacuation_ms:.0f} ms"
        failed = f"{self.failed} of {self.requests}"
        return (
            f"{self.cross_zone_ratio:6.1%} {self.p50_ms:5.0f} {self.p99_ms:6.0f} "
            f"{failed:>12} {self.peak_overload_ratio:5.2f} {evacuation}"
        )


async def steady(_cluster: Cluster, span_s: float) -> float | None:
    """Run without a fault."""
    await asyncio.sleep(2 * span_s)
    return None


async def failed_zone(cluster: Cluster, span_s: float) -> float | None:
    """Crash the servers of zone b, then restart them."""
    await cluster.crash_zone("b")
    evacuation_ms = await evacuation_time(cluster, span_s)
    await cluster.restart_zone("b")
    await asyncio.sleep(span_s)
    return evacuation_ms


async def unresponsive_zone(cluster: Cluster, span_s: float) -> float | None:
    """Make the servers of zone b unresponsive for a while."""
    for server in cluster.servers_in("b"):
        server.unresponsive = True
    evacuation_ms = await evacuation_time(cluster, span_s)
    for server in cluster.servers_in("b"):
        server.unresponsive = False
    await asyncio.sleep(span_s)
    return evacuation_ms


async def flapping_zone(cluster: Cluster, span_s: float) -> float | None:
    """Crash and restart the servers of zone b four times."""
    for _ in range(4):
        await cluster.crash_zone("b")
        await asyncio.sleep(span_s / 4)
        await cluster.restart_zone("b", notify=False)
        await asyncio.sleep(span_s / 4)
    return None


SCENARIOS: dict[str, Scenario] = {
    "steady": steady,
    "lost": failed_zone,
    "silent": unresponsive_zone,
    "flaps": flapping_zone,
}


async def evacuation_time(cluster: Cluster, span_s: float) -> float | None:
    """Wait `span_s` seconds and return the ms until sidecar 1 evacuated zone b, as its admin server shows."""
    loop = asyncio.get_running_loop()
    started_s, evacuation_ms = loop.time(), None
    while loop.time() < started_s + span_s:
        view = (await cluster.zones(1)).get("zones", {}).get("b")
        if evacuation_ms is None and view and view["left_for_ms"] is not None:
            evacuation_ms = 1000 * (loop.time() - started_s) - view["left_for_ms"]
        await asyncio.sleep(POLL_INTERVAL_S)
    return evacuation_ms


async def measure(version: Version, scenario: Scenario, seed: int, span_s: float) -> Figures:
    """Run one scenario with one version."""
    servers = [StubServer(f"{zone}-{number}", zone) for zone in ZONES for number in range(SERVERS_PER_ZONE)]
    with tempfile.TemporaryDirectory() as folder:
        cluster_context = running_cluster(
            Path(folder),
            len(ZONES),
            servers,
            ZONES,
            seed,
            MEMBERSHIP_ON,
            CLIENTS,
            version.config_changes,
            program_folder=version.program_folder,
        )
        async with cluster_context as cluster:
            cluster.load.start()
            await cluster.load.wait_for_responses(WARM_UP_RESPONSES)
            started_s = asyncio.get_running_loop().time()
            evacuation_ms = await scenario(cluster, span_s)
            await cluster.load.stop()
            responses = cluster.load.since(started_s)
    return figures(responses, servers, evacuation_ms)


def figures(
    responses: list[ResponseRecord], servers: list[StubServer], evacuation_ms: float | None
) -> Figures:
    """Compute the figures of a run."""
    successes = [response for response in responses if response.status == 200]
    times_ms = sorted(1000 * response.took_s for response in successes)
    cross_zone = sum(response.server[0] != ZONES[response.sidecar] for response in successes)
    return Figures(
        cross_zone_ratio=cross_zone / max(len(successes), 1),
        p50_ms=statistics.median(times_ms),
        p99_ms=times_ms[int(0.99 * (len(times_ms) - 1))],
        failed=len(responses) - len(successes),
        requests=len(responses),
        peak_overload_ratio=max(server.peak_overload_ratio for server in servers),
        evacuation_ms=evacuation_ms,
    )


def main() -> None:
    """Run every scenario with both versions."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--before", default=BASELINE_REVISION)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument(
        "--span", type=float, default=4.0, help="seconds of a fault, and of the time after it"
    )
    args = parser.parse_args()
    columns = f"{'cross':>6} {'p50':>5} {'p99':>6} {'failed':>12} {'over':>5} evacuation"
    print(f"{'scenario':8} {'version':16} {'seed':>4} {columns}")
    with source_tree(args.before) as before_folder:
        versions = [
            Version(f"before {args.before}", before_folder, {}),
            Version("now, on", ROOT, ZONES_ON),
        ]
        for name, scenario in SCENARIOS.items():
            for seed in range(1, args.seeds + 1):
                for version in versions:
                    row = asyncio.run(measure(version, scenario, seed, args.span)).row()
                    print(f"{name:8} {version.name:16} {seed:4} {row}", flush=True)


if __name__ == "__main__":
    main()
