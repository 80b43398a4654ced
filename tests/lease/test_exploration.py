"""The lease protocol in every state within a bound: it is safe, and unsafe without each safeguard."""

from __future__ import annotations

import pytest

from lease_explorer import explore
from lease_model import Bound
from sidecar_balancer.lease.protocol import LeaseProtocol, LeaseTiming

BOUND_WITH_CRASH = Bound(
    ticks=5, crashes=1, drift=0, drift_steps=0, in_flight=2, timing=LeaseTiming(3, 1, 0, 2)
)


def test_no_two_members_hold_a_lease_within_the_bound() -> None:
    result = explore(Bound(ticks=4))
    print(f"{result.states} states, {result.transitions} transitions, {result.handovers} handovers")
    assert result.violation == "", result.trace
    assert result.handovers > 0
    assert result.deepest_tick == 4


def test_without_the_skew_margin_two_members_hold_a_lease() -> None:
    no_margin = LeaseTiming(term_us=4, renew_us=1, skew_us=0, retry_us=2)
    result = explore(Bound(ticks=7, timing=no_margin), check_liveness=False)
    assert result.violation.startswith("two holders"), result.states


def test_a_crash_does_not_grant_an_epoch_twice() -> None:
    result = explore(BOUND_WITH_CRASH)
    assert result.violation == "", result.trace
    assert result.handovers > 0


def test_without_the_epoch_query_an_epoch_is_granted_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaseProtocol, "knows_highest_epoch", lambda *_: True)
    assert "holds token" in explore(BOUND_WITH_CRASH).violation
