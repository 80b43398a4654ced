"""Convergence of the membership plane against its stated bounds (docs/membership.md), in a simulated network.

For 4, 16 and 64 members and loss of 0, 10 and 30 %: the time until a verdict has reached every live member,
and until every other member has marked a killed one dead, p50 and p99 in protocol periods and in ms; bytes
per second and CPU per simulated second of one member (the sans-IO core alone, no sockets).  Times are
also printed as the ratio of p99 to the bound: under 1.0 is within it.  Seeds are fixed.
Run from the repository's root:

    .venv/bin/python bench/membership.py [--trials K]
"""

from __future__ import annotations

import argparse
import math
import statistics
import time
from collections.abc import Callable
from typing import NamedTuple

import bench_support  # noqa: F401  (puts tests/support on the import path)

from sidecar_balancer.membership.gossip import transmit_limit
from sidecar_balancer.membership.messages import MemberStatus, WireVerdict
from sidecar_balancer.membership.settings import MembershipSettings
from simulated_network import SimulatedNetwork

SIZES = (4, 16, 64)
LOSS_RATIOS = (0.0, 0.1, 0.3)
STEP_MS = 5
WARM_UP_MS = 1_000
VERDICT_TIMEOUT_MS = 10_000
DEATH_TIMEOUT_MS = 30_000
SERVER = "10.1.0.9:8443"
SETTINGS = MembershipSettings()


class Trial(NamedTuple):
    """The results of one trial; a time is None if the event did not occur within its timeout."""

    verdict_ms: float | None
    death_ms: float | None
    bytes_per_s: float
    cpu_ratio: float


class Quantiles(NamedTuple):
    """The median and the 99th percentile; NaN if there are no values."""

    p50: float
    p99: float


def verdict_bound_periods(size: int) -> float:
    """Return the periods for a verdict to reach all: ceil(log2 size) doublings and the transmit limit."""
    return math.ceil(math.log2(size)) + transmit_limit(size, SETTINGS.retransmit_mult)


def death_bound_periods(size: int) -> float:
    """Return the periods at health 0: one to probe, the suspicion timeout, then dissemination."""
    suspicion_periods = SETTINGS.suspicion_mult * max(1.0, math.log10(size))
    return 1 + suspicion_periods + verdict_bound_periods(size)


def time_until(network: SimulatedNetwork, condition: Callable[[], bool], timeout_ms: int) -> float | None:
    """Return the ms until `condition` holds, or None if it does not within the timeout."""
    started_us = network.now_us
    while network.now_us - started_us < timeout_ms * 1000:
        if condition():
            return (network.now_us - started_us) / 1000
        network.step(STEP_MS)
    return None


def run_trial(size: int, loss: float, seed: int) -> Trial:
    """Publish a verdict and wait until all have it; then stop a member and wait until all mark it dead."""
    network = SimulatedNetwork(size, loss=loss, seed=seed, settings=SETTINGS)
    network.run(WARM_UP_MS)
    sent_bytes, cpu_s, started_us = network.sent_bytes, time.process_time(), network.now_us
    origin = seed % size
    network.publish(origin, SERVER, WireVerdict.EJECTED, 3, 30_000)

    def verdict_reached_all() -> bool:
        others = (member for member in network.live() if member != origin)
        return all(network.agreeing_members(member, SERVER, WireVerdict.EJECTED) for member in others)

    verdict_ms = time_until(network, verdict_reached_all, VERDICT_TIMEOUT_MS)
    stopped_member = (origin + 1) % size
    network.down.add(stopped_member)
    death_ms = time_until(
        network, lambda: network.statuses(stopped_member) == {MemberStatus.DEAD}, DEATH_TIMEOUT_MS
    )
    member_s = (network.now_us - started_us) / 1e6 * size
    return Trial(
        verdict_ms,
        death_ms,
        (network.sent_bytes - sent_bytes) / member_s,
        (time.process_time() - cpu_s) / member_s,
    )


def quantiles(values: list[float]) -> Quantiles:
    """Return the median and the value that 99 % do not exceed."""
    ordered = sorted(values) or [math.nan]
    index = min(len(ordered) - 1, math.ceil(0.99 * len(ordered)) - 1)
    return Quantiles(statistics.median(ordered), ordered[index])


def format_times(times_ms: list[float], bound_periods: float) -> str:
    """Format p50 / p99 in periods, then in ms, then the ratio of p99 to the bound."""
    p50_ms, p99_ms = quantiles(times_ms)
    p50, p99 = p50_ms / SETTINGS.period_ms, p99_ms / SETTINGS.period_ms
    return f"{p50:>7.1f} / {p99:>7.1f} {p50_ms:>5.0f}/{p99_ms:<6.0f} {p99 / bound_periods:>5.2f}"


def print_row(size: int, loss: float, trials: list[Trial]) -> None:
    """Print the results for one size and loss."""
    verdict_ms = [trial.verdict_ms for trial in trials if trial.verdict_ms is not None]
    death_ms = [trial.death_ms for trial in trials if trial.death_ms is not None]
    missed = 2 * len(trials) - len(verdict_ms) - len(death_ms)
    verdict = format_times(verdict_ms, verdict_bound_periods(size))
    death = format_times(death_ms, death_bound_periods(size))
    bytes_per_s = statistics.mean(trial.bytes_per_s for trial in trials)
    cpu_ratio = statistics.mean(trial.cpu_ratio for trial in trials)
    load = f"{bytes_per_s:>8.0f} {cpu_ratio:>7.2%}"
    print(f"{size:>3} {loss:>5.0%} | {verdict} | {death} | {load} {missed:>6}")


def main() -> None:
    """Run the trials for each size and loss."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument(
        "--trials", type=int, default=20, help="trials for each N and loss (a quarter for N = 64)"
    )
    trials = parser.parse_args().trials
    print(f"period {SETTINGS.period_ms} ms; times are p50 / p99; ratio = p99 / bound")
    print(
        f"{'N':>3} {'loss':>5} | {'spread (periods)':>17} {'ms':>11} {'ratio':>5} | "
        f"{'dead (periods)':>15} {'ms':>12} {'ratio':>5} | {'B/s/peer':>8} {'CPU/peer':>8} {'missed':>6}"
    )
    for size in SIZES:
        for loss in LOSS_RATIOS:
            count = max(trials // 4, 3) if size == max(SIZES) else trials
            print_row(size, loss, [run_trial(size, loss, seed) for seed in range(1, count + 1)])


if __name__ == "__main__":
    main()
