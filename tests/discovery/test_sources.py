"""The selection of the source: ranking of relays, failover, staleness and return to the preferred one."""

from __future__ import annotations

import pytest

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.sources import RelayAddress, SourceSelector, rank_relays

SIDECARS = range(600)


def addresses(count: int) -> list[Address]:
    return [("10.0.0.1", 7000 + number) for number in range(count)]


RELAYS = [RelayAddress(address, "ab"[number % 2]) for number, address in enumerate(addresses(6))]


def rankings(relays: list[RelayAddress]) -> list[list[Address]]:
    """Return the ranking of each sidecar, all of them in zone a."""
    return [rank_relays(relays, f"n{number}", "a") for number in SIDECARS]


def test_relays_of_the_own_zone_rank_first() -> None:
    zone_of = {relay.address: relay.zone for relay in RELAYS}
    for ranking in rankings(RELAYS):
        assert [zone_of[address] for address in ranking] == ["a"] * 3 + ["b"] * 3


def test_sidecars_spread_over_the_relays_of_their_zone() -> None:
    preferred = [ranking[0] for ranking in rankings(RELAYS)]
    for relay in RELAYS:
        if relay.zone == "a":
            assert 140 <= preferred.count(relay.address) <= 260


def test_without_a_relay_the_others_keep_their_ranking() -> None:
    lost = RELAYS[0].address
    remaining = [relay for relay in RELAYS if relay.address != lost]
    for before, after in zip(rankings(RELAYS), rankings(remaining), strict=True):
        assert after == [address for address in before if address != lost]


def test_after_failures_all_sources_are_polled_once_in_a_row() -> None:
    selector = SourceSelector(addresses(3), random_fraction=lambda: 0.5)
    assert [selector.record_failure(now) for now in (1.0, 1.1, 1.2)] == [True, True, False]
    selector.record_response(1.3, as_of=1.3, is_fresh=True)
    assert selector.record_failure(1.4)


def test_while_all_sources_are_stale_the_freshest_is_used_between_rounds() -> None:
    selector = SourceSelector(addresses(3))
    assert selector.record_response(10.0, as_of=5.0, is_fresh=False)
    freshest = selector.current
    assert selector.record_response(10.1, as_of=7.0, is_fresh=False)
    assert not selector.record_response(10.2, as_of=6.0, is_fresh=False)
    assert selector.current == freshest
    assert not selector.record_response(11.0, as_of=7.0, is_fresh=False)
    assert selector.record_response(12.3, as_of=7.0, is_fresh=False)


@pytest.mark.parametrize(("random_fraction", "return_s"), [(0.0, 20.0), (1.0, 60.0)])
def test_the_preferred_source_is_polled_again_after_a_random_time(
    random_fraction: float, return_s: float
) -> None:
    selector = SourceSelector(addresses(2), random_fraction=lambda: random_fraction)
    selector.record_failure(100.0)
    selector.record_response(100.1, 100.1, is_fresh=True)
    now = 100.0
    while not selector.return_to_preferred(now):
        now += 0.5
    assert now - 100.0 == return_s
    assert selector.current == addresses(2)[0]
