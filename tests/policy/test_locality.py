"""Zones in the module, by scripted events: when one is left, how it comes back, where requests are drawn."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from helpers import MS, Stage, settings
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


def stage_of(zones: dict[str, int], here: str = "a", seed: int = 7, **locality: Any) -> Stage:
    """A stage in zone `here` with so many servers in each zone."""
    given = settings(zone=here, locality={**ON, **locality}, limits={"may_health_check": True})
    stage = Stage(given, seed=seed)
    stage.servers([ListedServer(f"{zone}-{n}", zone) for zone, count in zones.items() for n in range(count)])
    return stage


def zone_of(stage: Stage, request: int) -> str:
    return stage.target(request).partition("-")[0]


def serve(stage: Stage, count: int, lost: str = "", every_us: int = 20 * MS) -> Counter[str]:
    """Requests one by one, each answered after 10 ms, but refused at once by the servers of zone `lost`."""
    drawn: Counter[str] = Counter()
    for _ in range(count):
        stage.wait(every_us)
        request = stage.request()
        while stage.sends(request) and zone_of(stage, request) == lost:
            drawn[lost] += 1
            stage.end(request, Outcome.CONNECT_FAILED)
            if len(stage.sends(request)) >= 5 or (zone_of(stage, request) == lost and drawn[lost] > 10**4):
                break
        if stage.sends(request) and zone_of(stage, request) != lost:
            drawn[zone_of(stage, request)] += 1
            stage.wait(10 * MS)
            stage.end(request)
    return drawn


def left(stage: Stage) -> set[str]:
    return {zone.name for zone in stage.balancer.zones.by_name.values() if zone.evacuated_at is not None}


def test_traffic_stays_in_the_own_zone_while_that_is_healthy() -> None:
    stage = stage_of({"a": 4, "b": 4})
    assert set(serve(stage, 200)) == {"a"}


def test_a_sidecar_that_does_not_know_its_zone_draws_from_all() -> None:
    stage = stage_of({"a": 4, "b": 4}, here="")
    drawn = serve(stage, 300)
    assert min(drawn["a"], drawn["b"]) > 60


def test_a_zone_of_one_server_does_not_take_all_alone() -> None:
    drawn = serve(stage_of({"a": 1, "b": 6}), 300)
    assert drawn["a"] > 0 and drawn["b"] >= 100  # the draw weighs two servers at least


def test_the_own_region_comes_before_a_far_one() -> None:
    stage = stage_of({"a": 3, "b": 3, "c": 3}, regions={"a": "north", "b": "north", "c": "south"})
    assert set(serve(stage, 100)) == {"a"}
    stage.play(ZoneOverridesChanged({"a": ZoneOverride.DRAIN}))
    assert set(serve(stage, 100)) == {"b"}


def test_the_spill_grows_as_the_own_zone_loses_servers() -> None:
    stage = stage_of({"a": 10, "b": 10})
    spills = []
    for gone in range(8):
        spills.append(round(1.0 - stage.balancer.zones.load_shares()[0], 3))
        ejected = stage.balancer.servers[f"a-{gone}"]
        ejected.ejected_until = stage.now + SECOND
        stage.balancer.outliers.ejected.append(ejected)
        stage.balancer.zones.invalidate_shares()
    assert spills == [0.0, 0.0, 0.0, 0.02, 0.16, 0.3, 0.44, 0.58]  # 1 - 1.4 x the healthy part


def test_a_lost_zone_is_left_after_a_few_failures_and_no_more_goes_there() -> None:
    stage = stage_of({"a": 4, "b": 4})
    serve(stage, 50)
    drawn = serve(stage, 40, lost="a")
    assert left(stage) == {"a"} and drawn["a"] <= 6
    assert (ZoneVerdict.EVACUATED, "a") in [(e.verdict, e.zone) for e in stage.said(PublishZoneVerdict)]


def test_one_own_failure_is_enough_where_a_peer_has_left_the_zone_and_its_word_alone_is_not() -> None:
    stage = stage_of({"a": 4, "b": 4})
    serve(stage, 50)
    stage.play(PeerVerdictsReceived(evacuated_zones={"a": 1}))
    serve(stage, 50)
    assert left(stage) == set()  # it answers: own evidence wins
    stage.wait(5 * SECOND)
    stage.play(PeerVerdictsReceived(evacuated_zones={"a": 2}))
    drawn = serve(stage, 5, lost="a")
    assert left(stage) == {"a"} and drawn["a"] == 1


def test_a_zone_that_flaps_is_left_for_longer_each_time() -> None:
    stage = stage_of({"a": 4, "b": 4})
    away: list[int] = []
    for _ in range(4):
        serve(stage, 60)
        while not left(stage):
            serve(stage, 1, lost="a")
        zone = stage.balancer.zones.by_name["a"]
        assert zone.evacuated_at is not None
        away.append(zone.next_trial_at - zone.evacuated_at)
        while left(stage):
            serve(stage, 5)
    assert away == sorted(away) and away[-1] >= 4 * away[0]


def test_what_comes_back_eases_in() -> None:
    stage = stage_of({"a": 3, "b": 3}, here="")
    serve(stage, 100)
    serve(stage, 30, lost="a")
    assert left(stage) == {"a"}
    while left(stage):
        serve(stage, 5)
    parts = []
    for _ in range(3):
        first = serve(stage, 66)  # some two seconds: half the ramp
        parts.append(first["a"] / sum(first.values()))
    assert parts[0] < parts[1] <= 0.65 and 0.3 < parts[2] < 0.7


def test_with_too_little_left_all_is_used_and_nothing_is_refused_for_it() -> None:
    stage = stage_of({"a": 3, "b": 3}, panic=0.6)
    serve(stage, 50)
    serve(stage, 30, lost="a")
    assert left(stage) == set()  # without a, half of the servers would remain: under the threshold


def test_who_probes_for_the_tier_brings_a_zone_back_and_others_wait_for_its_word() -> None:
    stage = stage_of({"a": 3, "b": 3})
    serve(stage, 50)
    stage.play(ZoneHealthCheckerChanged(False))
    serve(stage, 30, lost="a")
    before = len(stage.sends())
    assert serve(stage, 20) == Counter(b=20) and len(stage.sends()) == before + 20  # no trial of its own
    stage.play(ZoneRecovered("a"))
    assert left(stage) == set()  # its backoff has run by now
    stage.play(ZoneRecovered("nowhere"))
    serve(stage, 60)
    serve(stage, 40, lost="a")
    assert left(stage) == {"a"} and not stage.said(HealthCheck)
    for turn in range(2):
        stage.play(ZoneHealthCheckerChanged(True))
        probe = stage.said(HealthCheck)[-1]
        assert probe.server.startswith("a-") and len(stage.said(HealthCheck)) == turn + 1
        stage.play(HealthCheckEnded(probe.server, Outcome.DELIVERED, 1000))
    assert left(stage) == set()


def test_who_probes_does_so_for_zones_that_only_peers_have_left_and_tells_them() -> None:
    stage = stage_of({"a": 3, "b": 3})
    stage.play(PeerVerdictsReceived(evacuated_zones={"b": 1}))
    for _ in range(2):
        stage.play(ZoneHealthCheckerChanged(True))
        stage.play(HealthCheckEnded(stage.said(HealthCheck)[-1].server, Outcome.DELIVERED, 1000))
    assert [(each.zone, each.verdict) for each in stage.said(PublishZoneVerdict)] == [
        ("b", ZoneVerdict.RECOVERED)
    ]
    assert not stage.said(PublishServerVerdict)


def test_a_peers_word_does_not_bring_back_a_zone_before_its_backoff() -> None:
    stage = stage_of({"a": 4, "b": 4})
    serve(stage, 50)
    while not left(stage):
        serve(stage, 1, lost="a", every_us=1 * MS)
    stage.play(ZoneRecovered("a"))
    assert left(stage) == {"a"}


def test_a_peers_verdict_costs_odds_until_an_own_answer_and_makes_one_failure_eject() -> None:
    def drawn(peers: int, seed: int) -> int:
        stage = Stage(settings(), seed=seed)
        stage.servers([f"s-{n}" for n in range(8)])
        told = [PeerServerVerdict("s-0", ServerVerdict.EJECTED, None, peers)] if peers else []
        total = 0
        for _ in range(60):
            stage.play(PeerVerdictsReceived([]))
            stage.play(PeerVerdictsReceived(told))
            request = stage.request()
            total += stage.target(request) == "s-0"
            stage.wait(10 * MS)
            stage.end(request)
        return total

    plain, one, many = (sum(drawn(peers, seed) for seed in range(6)) for peers in (0, 1, 50))
    assert plain > one > many > plain / 8  # less, but never none: a peer that lies does no more than two
    stage = Stage(settings())
    stage.servers([f"s-{n}" for n in range(8)])
    stage.play(
        PeerVerdictsReceived([PeerServerVerdict(f"s-{n}", ServerVerdict.EJECTED, None, 1) for n in range(8)])
    )
    request = stage.request()
    failed = stage.target(request)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert [each.name for each in stage.balancer.ejected_servers] == [failed]


def test_a_class_that_peers_saw_fail_is_kept_away_after_one_own_error() -> None:
    stage = Stage(settings())
    stage.servers([f"s-{n}" for n in range(8)])
    stage.play(
        PeerVerdictsReceived(
            [PeerServerVerdict(f"s-{n}", ServerVerdict.FAILING, "look", 1) for n in range(8)]
        )
    )
    request = stage.request()
    failed = stage.target(request)
    stage.end(request, Outcome.APPLICATION_ERROR)
    assert stage.balancer.servers[failed].rejections[Flow("look", None)].until > stage.now
    told = [each for each in stage.said(PublishServerVerdict) if each.verdict is ServerVerdict.FAILING]
    assert [(each.server, each.service_class) for each in told] == [(failed, "look")]


def test_what_the_tier_was_asked_weighs_a_tenants_requests() -> None:
    stage = Stage(settings(tenants=[{"name": "t", "share": 1.0, "quota_per_s": 10.0}], over_share_weight=0.1))
    worth = stage.balancer.priorities.weight(Flow("look", "t"), 5 / SECOND, 5 / SECOND)
    stage.play(TierDemandReceived({"t": 95.0}))
    over = stage.balancer.priorities.weight(Flow("look", "t"), 5 / SECOND, 5 / SECOND)
    assert worth == pytest.approx(1.0) and over == pytest.approx(0.1 + 0.9 * 0.1)


@pytest.mark.parametrize(
    "bad", [{"on": 1}, {"panic": 2}, {"regions": {"a": 1}}, {"odd": 1}, 7, {"aggression": 0}]
)
def test_a_bad_locality_is_named(bad: Any) -> None:
    with pytest.raises(ValueError, match="locality"):
        read_locality(bad)
