"""Zones: evacuation, recovery and the selection of servers among them."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, settings
from policy_settings import S as SECOND
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

ENABLED = {"on": True, "ramp_ms": 4000}


def driver_with_zones(
    zones: dict[str, int], own_zone: str = "a", seed: int = 7, **locality: Any
) -> BalancerDriver:
    """Return a driver in zone `own_zone` with the given number of servers in each zone."""
    balancer_settings = settings(
        zone=own_zone, locality={**ENABLED, **locality}, limits={"may_health_check": True}
    )
    driver = BalancerDriver(balancer_settings, seed=seed)
    driver.receive_list(
        [ListedServer(f"{zone}-{n}", zone) for zone, count in zones.items() for n in range(count)]
    )
    return driver


def zone_of(driver: BalancerDriver, request: int) -> str:
    return driver.target_of(request).partition("-")[0]


def serve_zones(
    driver: BalancerDriver, count: int, failing: str = "", interval_us: int = 20 * MS
) -> Counter[str]:
    """Send requests one by one and count the attempts by zone.

    Each is answered after 10 ms, except that the servers of zone `failing` fail it at once.
    """
    requests_by_zone: Counter[str] = Counter()
    for _ in range(count):
        driver.advance(interval_us)
        request = driver.request()
        while driver.attempts(request) and zone_of(driver, request) == failing:
            requests_by_zone[failing] += 1
            driver.end_attempt(request, Outcome.CONNECT_FAILED)
            if len(driver.attempts(request)) >= 5 or (
                zone_of(driver, request) == failing and requests_by_zone[failing] > 10**4
            ):
                break
        if driver.attempts(request) and zone_of(driver, request) != failing:
            requests_by_zone[zone_of(driver, request)] += 1
            driver.advance(10 * MS)
            driver.end_attempt(request)
    return requests_by_zone


def evacuated_zones(driver: BalancerDriver) -> set[str]:
    return {zone.name for zone in driver.balancer.zones.by_name.values() if zone.evacuated_at is not None}


def test_traffic_stays_in_the_own_zone_while_that_is_healthy() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    assert set(serve_zones(driver, 200)) == {"a"}


def test_all_zones_are_used_if_the_own_zone_is_unknown() -> None:
    driver = driver_with_zones({"a": 4, "b": 4}, own_zone="")
    requests_by_zone = serve_zones(driver, 300)
    assert min(requests_by_zone["a"], requests_by_zone["b"]) > 60


def test_an_own_zone_of_one_server_does_not_get_all_traffic() -> None:
    requests_by_zone = serve_zones(driver_with_zones({"a": 1, "b": 6}), 300)
    # At least two servers are sampled.
    assert requests_by_zone["a"] > 0
    assert requests_by_zone["b"] >= 100


def test_the_own_region_is_preferred_to_others() -> None:
    driver = driver_with_zones({"a": 3, "b": 3, "c": 3}, regions={"a": "north", "b": "north", "c": "south"})
    assert set(serve_zones(driver, 100)) == {"a"}
    driver.feed(ZoneOverridesChanged({"a": ZoneOverride.DRAIN}))
    assert set(serve_zones(driver, 100)) == {"b"}


def test_the_spillover_grows_as_servers_of_the_own_zone_are_ejected() -> None:
    driver = driver_with_zones({"a": 10, "b": 10})
    spillovers = []
    for removed in range(8):
        spillovers.append(round(1.0 - driver.balancer.zones.load_shares()[0], 3))
        ejected = driver.balancer.servers[f"a-{removed}"]
        ejected.ejected_until = driver.now + SECOND
        driver.balancer.components.outliers.ejected.append(ejected)
        driver.balancer.zones.invalidate_shares()
    assert spillovers == [0.0, 0.0, 0.0, 0.02, 0.16, 0.3, 0.44, 0.58]  # 1 - 1.4 x the healthy part


def test_a_failing_zone_is_evacuated_after_a_few_failures() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    serve_zones(driver, 50)
    requests_by_zone = serve_zones(driver, 40, failing="a")
    assert evacuated_zones(driver) == {"a"}
    assert requests_by_zone["a"] <= 6
    assert (ZoneVerdict.EVACUATED, "a") in [
        (e.verdict, e.zone) for e in driver.actions_of(PublishZoneVerdict)
    ]


def test_a_zone_that_peers_evacuated_is_evacuated_at_the_first_own_failure_and_not_before() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    serve_zones(driver, 50)
    driver.feed(PeerVerdictsReceived(evacuated_zones={"a": 1}))
    serve_zones(driver, 50)
    assert evacuated_zones(driver) == set()  # own responses outweigh the peers' verdict
    driver.advance(5 * SECOND)
    driver.feed(PeerVerdictsReceived(evacuated_zones={"a": 2}))
    requests_by_zone = serve_zones(driver, 5, failing="a")
    assert evacuated_zones(driver) == {"a"}
    assert requests_by_zone["a"] == 1


def test_a_flapping_zone_is_evacuated_for_longer_each_time() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    backoffs_us: list[int] = []
    for _ in range(4):
        serve_zones(driver, 60)
        while not evacuated_zones(driver):
            serve_zones(driver, 1, failing="a")
        zone = driver.balancer.zones.by_name["a"]
        assert zone.evacuated_at is not None
        backoffs_us.append(zone.next_trial_at - zone.evacuated_at)
        while evacuated_zones(driver):
            serve_zones(driver, 5)
    assert backoffs_us == sorted(backoffs_us)
    assert backoffs_us[-1] >= 4 * backoffs_us[0]


def test_a_recovering_zone_gets_a_growing_part_of_the_traffic() -> None:
    driver = driver_with_zones({"a": 3, "b": 3}, own_zone="")
    serve_zones(driver, 100)
    serve_zones(driver, 30, failing="a")
    assert evacuated_zones(driver) == {"a"}
    while evacuated_zones(driver):
        serve_zones(driver, 5)
    traffic_parts = []
    for _ in range(3):
        counts = serve_zones(driver, 66)  # about two seconds: half the ramp
        traffic_parts.append(counts["a"] / sum(counts.values()))
    assert traffic_parts[0] < traffic_parts[1] <= 0.65
    assert 0.3 < traffic_parts[2] < 0.7


def test_no_zone_is_evacuated_below_the_panic_threshold() -> None:
    driver = driver_with_zones({"a": 3, "b": 3}, panic=0.6)
    serve_zones(driver, 50)
    serve_zones(driver, 30, failing="a")
    # Without zone a, half of the servers would remain, which is below the threshold.
    assert evacuated_zones(driver) == set()


def test_the_health_checker_recovers_a_zone_and_others_wait_for_its_report() -> None:
    driver = driver_with_zones({"a": 3, "b": 3})
    serve_zones(driver, 50)
    driver.feed(ZoneHealthCheckerChanged(False))
    serve_zones(driver, 30, failing="a")
    before = len(driver.attempts())
    # The balancer sends no trials itself.
    assert serve_zones(driver, 20) == Counter(b=20)
    assert len(driver.attempts()) == before + 20
    driver.feed(ZoneRecovered("a"))
    assert evacuated_zones(driver) == set()  # the zone's backoff has expired by now
    driver.feed(ZoneRecovered("nowhere"))
    serve_zones(driver, 60)
    serve_zones(driver, 40, failing="a")
    assert evacuated_zones(driver) == {"a"}
    assert not driver.actions_of(HealthCheck)
    for check_index in range(2):
        driver.feed(ZoneHealthCheckerChanged(True))
        health_check = driver.actions_of(HealthCheck)[-1]
        assert health_check.server.startswith("a-")
        assert len(driver.actions_of(HealthCheck)) == check_index + 1
        driver.feed(HealthCheckEnded(health_check.server, Outcome.DELIVERED, 1000))
    assert evacuated_zones(driver) == set()


def test_the_health_checker_checks_zones_that_only_peers_evacuated_and_publishes_their_recovery() -> None:
    driver = driver_with_zones({"a": 3, "b": 3})
    driver.feed(PeerVerdictsReceived(evacuated_zones={"b": 1}))
    for _ in range(2):
        driver.feed(ZoneHealthCheckerChanged(True))
        driver.feed(HealthCheckEnded(driver.actions_of(HealthCheck)[-1].server, Outcome.DELIVERED, 1000))
    assert [(action.zone, action.verdict) for action in driver.actions_of(PublishZoneVerdict)] == [
        ("b", ZoneVerdict.RECOVERED)
    ]
    assert not driver.actions_of(PublishServerVerdict)


def test_a_reported_recovery_is_ignored_until_the_backoff_has_passed() -> None:
    driver = driver_with_zones({"a": 4, "b": 4})
    serve_zones(driver, 50)
    while not evacuated_zones(driver):
        serve_zones(driver, 1, failing="a", interval_us=1 * MS)
    driver.feed(ZoneRecovered("a"))
    assert evacuated_zones(driver) == {"a"}


def test_a_peer_verdict_lowers_the_weight_until_an_own_response_and_makes_one_failure_eject() -> None:
    def requests_to_first_server(peers: int, seed: int) -> int:
        driver = BalancerDriver(settings(), seed=seed)
        driver.receive_list([f"s-{n}" for n in range(8)])
        verdicts = [PeerServerVerdict("s-0", ServerVerdict.EJECTED, None, peers)] if peers else []
        total = 0
        for _ in range(60):
            driver.feed(PeerVerdictsReceived([]))
            driver.feed(PeerVerdictsReceived(verdicts))
            request = driver.request()
            total += driver.target_of(request) == "s-0"
            driver.advance(10 * MS)
            driver.end_attempt(request)
        return total

    no_peers, one_peer, many_peers = (
        sum(requests_to_first_server(peers, seed) for seed in range(6)) for peers in (0, 1, 50)
    )
    assert no_peers > one_peer > many_peers > no_peers / 8  # fewer, not none: liars count as at most two
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
    verdicts = [
        action
        for action in driver.actions_of(PublishServerVerdict)
        if action.verdict is ServerVerdict.FAILING
    ]
    assert [(each.server, each.service_class) for each in verdicts] == [(failed, "look")]


def test_the_demand_of_the_tier_reduces_the_weight_of_a_tenant_beyond_its_quota() -> None:
    driver = BalancerDriver(
        settings(tenants=[{"name": "t", "share": 1.0, "quota_per_s": 10.0}], over_share_weight=0.1)
    )
    weight = driver.balancer.components.priorities.weight(Flow("look", "t"), 5 / SECOND, 5 / SECOND)
    driver.feed(TierDemandReceived({"t": 95.0}))
    beyond_quota = driver.balancer.components.priorities.weight(Flow("look", "t"), 5 / SECOND, 5 / SECOND)
    assert weight == pytest.approx(1.0)
    assert beyond_quota == pytest.approx(0.1 + 0.9 * 0.1)


@pytest.mark.parametrize(
    "locality", [{"on": 1}, {"panic": 2}, {"regions": {"a": 1}}, {"odd": 1}, 7, {"aggression": 0}]
)
def test_an_invalid_locality_is_rejected_by_its_name(locality: Any) -> None:
    with pytest.raises(ValueError, match="locality"):
        read_locality(locality)
