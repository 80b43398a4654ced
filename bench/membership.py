"""Convergence of the peer plane against its stated bounds (docs/membership.md), in the in-process network.

For N = 4, 16, 64 and loss 0, 10, 30 %: the time for a verdict to reach every live member, and for a killed
member to be held dead by every other, p50 and p99 in protocol periods and in ms; bytes a second and CPU a
simulated second per member (the sans-IO core alone, no sockets).  Each figure is printed beside its bound
as a ratio: under 1.0 is within it.  Fixed seeds; run from the repository's root:

    .venv/bin/python bench/membership.py [--trials K]
"""

from __future__ import annotations

import argparse
import math
import statistics
import time
from collections.abc import Callable

from sidecar_balancer.membership.codec import Status, WireVerdict
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import retransmits
from simnet import SimNet

STEP_MS = 5
SERVER = "10.1.0.9:8443"


def spread_bound(size: int, tuning: MembershipSettings) -> float:
    """Periods within which a verdict reaches all (docs/membership.md): ceil(log2 N) doublings, R more."""
    return math.ceil(math.log2(size)) + retransmits(size, tuning)


def death_bound(size: int, tuning: MembershipSettings) -> float:
    """Periods at health 0 (docs/membership.md): a probe's period, the suspicion timeout, then spread."""
    suspicion = tuning.suspicion_mult * max(1.0, math.log10(size))
    return 1 + suspicion + spread_bound(size, tuning)


def until(net: SimNet, done: Callable[[], bool], most_ms: int) -> float | None:
    began = net.now
    while net.now - began < most_ms * 1000:
        if done():
            return (net.now - began) / 1000
        net.step(STEP_MS)
    return None


def trial(size: int, loss: float, seed: int) -> tuple[float | None, float | None, float, float]:
    tuning = MembershipSettings()
    net = SimNet(size, loss=loss, seed=seed, tuning=tuning)
    net.run(1_000)
    sent_before, cpu_before, at = net.sent_bytes, time.process_time(), net.now
    origin = seed % size
    net.members[origin].publish(net.clock(origin), SERVER, WireVerdict.EJECTED, 3, 30_000)
    spread = until(
        net,
        lambda: all(
            net.members[each].agreeing(net.clock(each), SERVER, WireVerdict.EJECTED)
            for each in net.live()
            if each != origin
        ),
        10_000,
    )
    victim = (origin + 1) % size
    net.down.add(victim)
    death = until(net, lambda: net.statuses(victim) == {Status.DEAD}, 30_000)
    span_s = (net.now - at) / 1e6
    bytes_s = (net.sent_bytes - sent_before) / span_s / size
    cpu_share = (time.process_time() - cpu_before) / span_s / size
    return spread, death, bytes_s, cpu_share


def quantiles(values: list[float]) -> tuple[float, float]:
    ordered = sorted(values) or [math.nan]
    return statistics.median(ordered), ordered[min(len(ordered) - 1, math.ceil(0.99 * len(ordered)) - 1)]


def _figures(p50: float, p99: float, bound: float, period: int) -> str:
    """p50 / p99 in periods, then in ms, then p99 over the bound."""
    return f"{p50:>7.1f} / {p99:>7.1f} {p50 * period:>5.0f}/{p99 * period:<6.0f} {p99 / bound:>5.2f}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--trials", type=int, default=20, help="trials for each N and loss (64: a quarter)")
    trials = parser.parse_args().trials
    tuning = MembershipSettings()
    period = tuning.period_ms
    print(f"period {period} ms; figures are p50 / p99; ratio = p99 / bound")
    print(
        f"{'N':>3} {'loss':>5} | {'spread (periods)':>17} {'ms':>11} {'ratio':>5} | "
        f"{'dead (periods)':>15} {'ms':>12} {'ratio':>5} | {'B/s/peer':>8} {'CPU/peer':>8} {'missed':>6}"
    )
    for size in (4, 16, 64):
        for loss in (0.0, 0.1, 0.3):
            count = max(trials // 4, 3) if size == 64 else trials
            results = [trial(size, loss, seed) for seed in range(1, count + 1)]
            spreads = [each[0] for each in results if each[0] is not None]
            deaths = [each[1] for each in results if each[1] is not None]
            missed = 2 * count - len(spreads) - len(deaths)
            s50, s99 = quantiles(spreads)
            d50, d99 = quantiles(deaths)
            sb, db = spread_bound(size, tuning), death_bound(size, tuning)
            spread = _figures(s50 / period, s99 / period, sb, period)
            death = _figures(d50 / period, d99 / period, db, period)
            bytes_s, cpu = statistics.mean(e[2] for e in results), statistics.mean(e[3] for e in results)
            load = f"{bytes_s:>8.0f} {cpu:>7.2%}"
            print(f"{size:>3} {loss:>5.0%} | {spread} | {death} | {load} {missed:>6}")


if __name__ == "__main__":
    main()
