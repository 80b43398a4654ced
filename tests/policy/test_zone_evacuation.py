"""Zones in the module, by scripted events: when one is left, how it comes back, where requests are drawn."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from helpers import MS, BalancerDriver, settings
from helpers import S as SECOND
from sidecar_balancer.config.settings import read_locality
from sidecar_balancer.policy.actions import HealthCheck, PublishServerVerdict, PublishZoneVerdict
from sidecar_balancer.policy.events import (
    HealthCheckEnded,
    ListedServer,
    PeerServerVerdict,
    PeerVerdictsReceived,
    TierDemandReceived,
    ZoneHealthCheckerChanged,
    ZoneOverridesChanged,
    ZoneRecovered,
)
from sidecar_balancer.policy.types import Flow, Outcome, ServerVerdict, ZoneOverride, ZoneVerdict

ON = {"on": True, "ramp_ms": 4000}


def driver_with_zones(
    zones: dict[str, int], here: str = "a", seed: int = 7, **locality: Any
) -> BalancerDriver:
    """A driver in zone `here` with so many servers in each zone."""
    given = settings(zone=here, locality={**ON, **locality}, limits={"may_health_check": True})
    driver = BalancerDriver(given, seed=seed)
    driver.receive_list(
        [ListedServer(f"{zone}-{n}", zone) for zone, count in zones.items() for n in range(count)]
    )
    return driver


def zone_of(driver: BalancerDriver, request: int) -> str:
    return driver.target_of(request).partition("-")[0]


def serve_zones(driver: BalancerDriver, count: int, lost: str = "", every_us: int = 20 * MS) -> Counter[str]:
    """Requests one by one, each answered after 10 ms, but refused at once by the servers of zone `lost`."""
    drawn: Counter[str] = Counter()
    for _ in range(count):
        driver.advance(every_us)
        request = driver.request()
        while driver.attempts(request) and zone_of(driver, request) == lost:
            drawn[lost] += 1
            driver.end_attempt(request, Outcome.CONNECT_FAILED)
            if len(driver.attempts(request)) >= 5 or (
                zone_of(driver, request) == lost and drawn[lost] > 10**4
            ):
                break
        if driver.attempts(request) and zone_of(driver, request) != lost:
            drawn[zone_of(driver, request)] += 1
            driver.advance(10 * MS)
            driver.end_attempt(request)
    return drawn


def evacuated_zones(driver: BalancerDriver) -> set[str]:
    return {zone.name for zone in driver.balancer.zones.by_name.values() if zone.evacuated_at is not None}


def test_traffic_stays_in_the_own_zone_while_that_is_healthy() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    assert set(serve_zones(driver, 200)) == {"a"}


def test_all_zones_are_used_if_the_own_zone_is_unknown() -> None:
    driver = driver_with_zones({"a": 4, "b": 4}, here="")
    drawn = serve_zones(driver, 300)
    assert min(drawn["a"], drawn["b"]) > 60


def test_an_own_zone_of_one_server_does_not_get_all_traffic() -> None:
    drawn = serve_zones(driver_with_zones({"a": 1, "b": 6}), 300)
    # the draw weighs two servers at least
    assert drawn["a"] > 0
    assert drawn["b"] >= 100


def test_the_own_region_is_preferred_to_others() -> None:
    driver = driver_with_zones({"a": 3, "b": 3, "c": 3}, regions={"a": "north", "b": "north", "c": "south"})
    assert set(serve_zones(driver, 100)) == {"a"}
    driver.feed(ZoneOverridesChanged({"a": ZoneOverride.DRAIN}))
    assert set(serve_zones(driver, 100)) == {"b"}


def test_the_spillover_grows_as_servers_of_the_own_zone_are_ejected() -> None:
    driver = driver_with_zones({"a": 10, "b": 10})
    spills = []
    for gone in range(8):
        spills.append(round(1.0 - driver.balancer.zones.load_shares()[0], 3))
        ejected = driver.balancer.servers[f"a-{gone}"]
        ejected.ejected_until = driver.now + SECOND
        driver.balancer.components.outliers.ejected.append(ejected)
        driver.balancer.zones.invalidate_shares()
    assert spills == [0.0, 0.0, 0.0, 0.02, 0.16, 0.3, 0.44, 0.58]  # 1 - 1.4 x the healthy part


def test_a_failing_zone_is_evacuated_after_a_few_failures() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    serve_zones(driver, 50)
    drawn = serve_zones(driver, 40, lost="a")
    assert evacuated_zones(driver) == {"a"}
    assert drawn["a"] <= 6
    assert (ZoneVerdict.EVACUATED, "a") in [
        (e.verdict, e.zone) for e in driver.actions_of(PublishZoneVerdict)
    ]


def test_a_zone_that_peers_evacuated_is_evacuated_at_the_first_own_failure_and_not_before() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    serve_zones(driver, 50)
    driver.feed(PeerVerdictsReceived(evacuated_zones={"a": 1}))
    serve_zones(driver, 50)
    assert evacuated_zones(driver) == set()  # it answers: own evidence wins
    driver.advance(5 * SECOND)
    driver.feed(PeerVerdictsReceived(evacuated_zones={"a": 2}))
    drawn = serve_zones(driver, 5, lost="a")
    assert evacuated_zones(driver) == {"a"}
    assert drawn["a"] == 1


def test_a_flapping_zone_is_evacuated_for_longer_each_time() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    away: list[int] = []
    for _ in range(4):
        serve_zones(driver, 60)
        while not evacuated_zones(driver):
            serve_zones(driver, 1, lost="a")
        zone = driver.balancer.zones.by_name["a"]
        assert zone.evacuated_at is not None
        away.append(zone.next_trial_at - zone.evacuated_at)
        while evacuated_zones(driver):
            serve_zones(driver, 5)
    assert away == sorted(away)
    assert away[-1] >= 4 * away[0]


def test_a_recovering_zone_gets_a_growing_part_of_the_traffic() -> None:
    driver = driver_with_zones({"a": 3, "b": 3}, here="")
    serve_zones(driver, 100)
    serve_zones(driver, 30, lost="a")
    assert evacuated_zones(driver) == {"a"}
    while evacuated_zones(driver):
        serve_zones(driver, 5)
    parts = []
    for _ in range(3):
        first = serve_zones(driver, 66)  # some two seconds: half the ramp
        parts.append(first["a"] / sum(first.values()))
    assert parts[0] < parts[1] <= 0.65
    assert 0.3 < parts[2] < 0.7


def test_no_zone_is_evacuated_below_the_panic_threshold() -> None:
    driver = driver_with_zones({"a": 3, "b": 3}, panic=0.6)
    serve_zones(driver, 50)
    serve_zones(driver, 30, lost="a")
    assert (
        evacuated_zones(driver) == set()
    )  # without a, half of the servers would remain: under the threshold


def test_the_health_checker_recovers_a_zone_and_others_wait_for_its_report() -> None:
    driver = driver_with_zones({"a": 3, "b": 3})
    serve_zones(driver, 50)
    driver.feed(ZoneHealthCheckerChanged(False))
    serve_zones(driver, 30, lost="a")
    before = len(driver.attempts())
    # no trial of its own
    assert serve_zones(driver, 20) == Counter(b=20)
    assert len(driver.attempts()) == before + 20
    driver.feed(ZoneRecovered("a"))
    assert evacuated_zones(driver) == set()  # its backoff has run by now
    driver.feed(ZoneRecovered("nowhere"))
    serve_zones(driver, 60)
    serve_zones(driver, 40, lost="a")
    assert evacuated_zones(driver) == {"a"}
    assert not driver.actions_of(HealthCheck)
    for turn in range(2):
        driver.feed(ZoneHealthCheckerChanged(True))
        probe = driver.actions_of(HealthCheck)[-1]
        assert probe.server.startswith("a-")
        assert len(driver.actions_of(HealthCheck)) == turn + 1
        driver.feed(HealthCheckEnded(probe.server, Outcome.DELIVERED, 1000))
    assert evacuated_zones(driver) == set()


def test_the_health_checker_checks_zones_that_only_peers_evacuated_and_publishes_their_recovery() -> None:
    driver = driver_with_zones({"a": 3, "b": 3})
    driver.feed(PeerVerdictsReceived(evacuated_zones={"b": 1}))
    for _ in range(2):
        driver.feed(ZoneHealthCheckerChanged(True))
        driver.feed(HealthCheckEnded(driver.actions_of(HealthCheck)[-1].server, Outcome.DELIVERED, 1000))
    assert [(each.zone, each.verdict) for each in driver.actions_of(PublishZoneVerdict)] == [
        ("b", ZoneVerdict.RECOVERED)
    ]
    assert not driver.actions_of(PublishServerVerdict)


def test_a_reported_recovery_is_ignored_until_the_backoff_has_passed() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    serve_zones(driver, 50)
    while not evacuated_zones(driver):
        serve_zones(driver, 1, lost="a", every_us=1 * MS)
    driver.feed(ZoneRecovered("a"))
    assert evacuated_zones(driver) == {"a"}


def test_a_peer_verdict_lowers_odds_until_an_own_response_and_makes_one_failure_eject() -> None:
    def drawn(peers: int, seed: int) -> int:
        driver = BalancerDriver(settings(), seed=seed)
        driver.receive_list([f"s-{n}" for n in range(8)])
        told = [PeerServerVerdict("s-0", ServerVerdict.EJECTED, None, peers)] if peers else []
        total = 0
        for _ in range(60):
            driver.feed(PeerVerdictsReceived([]))
            driver.feed(PeerVerdictsReceived(told))
            request = driver.request()
            total += driver.target_of(request) == "s-0"
            driver.advance(10 * MS)
            driver.end_attempt(request)
        return total

    plain, one, many = (sum(drawn(peers, seed) for seed in range(6)) for peers in (0, 1, 50))
    assert plain > one > many > plain / 8  # less, but never none: a peer that lies does no more than two
    driver = BalancerDriver(settings())
    driver.receive_list([f"s-{n}" for n in range(8)])
    driver.feed(
        PeerVerdictsReceived([PeerServerVerdict(f"s-{n}", ServerVerdict.EJECTED, None, 1) for n in range(8)])
    )
    request = driver.request()
    failed = driver.target_of(request)
    driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert [each.name for each in driver.balancer.ejected_servers] == [failed]


def test_a_class_avoids_a_server_after_one_error_if_peers_saw_it_fail() -> None:
    driver = BalancerDriver(settings())
    driver.receive_list([f"s-{n}" for n in range(8)])
    driver.feed(
        PeerVerdictsReceived(
            [PeerServerVerdict(f"s-{n}", ServerVerdict.FAILING, "look", 1) for n in range(8)]
        )
    )
    request = driver.request()
    failed = driver.target_of(request)
    driver.end_attempt(request, Outcome.APPLICATION_ERROR)
    assert driver.balancer.servers[failed].rejections[Flow("look", None)].until > driver.now
    told = [each for each in driver.actions_of(PublishServerVerdict) if each.verdict is ServerVerdict.FAILING]
    assert [(each.server, each.service_class) for each in told] == [(failed, "look")]


def test_the_demand_of_the_tier_reduces_the_weight_of_a_tenant_beyond_its_quota() -> None:
    driver = BalancerDriver(
        settings(tenants=[{"name": "t", "share": 1.0, "quota_per_s": 10.0}], over_share_weight=0.1)
    )
    worth = driver.balancer.components.priorities.weight(Flow("look", "t"), 5 / SECOND, 5 / SECOND)
    driver.feed(TierDemandReceived({"t": 95.0}))
    over = driver.balancer.components.priorities.weight(Flow("look", "t"), 5 / SECOND, 5 / SECOND)
    assert worth == pytest.approx(1.0)
    assert over == pytest.approx(0.1 + 0.9 * 0.1)


@pytest.mark.parametrize(
    "bad", [{"on": 1}, {"panic": 2}, {"regions": {"a": 1}}, {"odd": 1}, 7, {"aggression": 0}]
)
def test_an_invalid_locality_is_rejected_by_its_name(bad: Any) -> None:
    with pytest.raises(ValueError, match="locality"):
        read_locality(bad)
