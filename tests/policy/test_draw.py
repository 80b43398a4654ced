"""The draw, its departures, and what they guard against."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from helpers import IDEMPOTENT, MS, NON_IDEMPOTENT, BalancerDriver, S, server_names, settings
from sidecar_balancer.policy.actions import CancelAttempt, Fail, LogEvent, Reject
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import ListKind, Outcome


def test_the_least_busy_of_the_drawn_wins() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))  # all are drawn
    for _ in range(40):
        driver.request()
    assert set(Counter(each.server for _, each in driver.attempts()).values()) == {10}


def test_a_server_that_said_full_is_left_out_and_the_last_redraw_sees_the_whole_list() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    for _ in range(4):
        driver.end_attempt(request, Outcome.REJECTED)
    targets = [each.server for _, each in driver.attempts(request)]
    assert sorted(targets) == server_names(5)
    driver.end_attempt(request, Outcome.REJECTED)
    assert [each.request for each in driver.actions_of(Reject)] == [request]


def test_the_only_server_left_is_used() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(1))
    assert driver.target_of(driver.request()) == server_names(1)[0]


def test_slower_servers_are_drawn_less() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    slow = server_names(12)[0]
    for _ in range(1_500):
        request = driver.request()
        driver.advance(90 * MS if driver.target_of(request) == slow else 30 * MS)
        driver.end_attempt(request)
    late = Counter(each.server for _, each in driver.attempts()[500:])
    assert late[slow] < 0.6 * sum(late.values()) / 12


def test_an_attempt_given_up_on_still_counts_for_a_while() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    request = driver.request("pay", remaining_us=400 * MS)
    hung = driver.target_of(request)
    driver.advance(395 * MS)  # answered by then, and called off
    driver.end_attempt(request, Outcome.CANCELLED, answered=True)
    other = driver.request("pay")
    assert driver.target_of(other) != hung
    again = driver.request("pay")
    assert driver.target_of(again) in server_names(2)
    driver.advance(S)
    assert driver.balancer.servers[hung].load(driver.now) <= 1


def _with_one_hung(driver: BalancerDriver, rounds: int) -> tuple[str, list[int]]:
    """Good traffic, except that one server answers nothing from some moment on."""
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    first = driver.request()
    hung = driver.target_of(first)
    stuck = [first]
    for _ in range(rounds):
        driver.advance(10 * MS)
        request = driver.request()
        if driver.target_of(request) == hung:
            stuck.append(request)
        else:
            driver.advance(30 * MS)
            driver.end_attempt(request)
    return hung, stuck


def test_a_silent_server_is_ejected_while_its_peers_answer_and_its_repeatable_requests_are_saved() -> None:
    driver = BalancerDriver()
    hung, stuck = _with_one_hung(driver, 20)
    assert any(each.text.startswith(f"ejected {hung}") for each in driver.actions_of(LogEvent))
    copies = [each.server for _, each in driver.attempts(stuck[0])]
    assert len(copies) > 1
    assert hung not in copies[1:]


def test_an_ejected_server_comes_back_by_one_trial_at_a_time() -> None:
    driver = BalancerDriver()
    hung, stuck = _with_one_hung(driver, 20)
    before = len([1 for _, each in driver.attempts() if each.server == hung])
    for request in stuck:
        driver.end_attempt(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        driver.advance(60 * MS)
        request = driver.request()
        if driver.target_of(request) != hung:
            driver.end_attempt(request)
    trials = len([1 for _, each in driver.attempts() if each.server == hung]) - before
    assert trials == 1
    trial = next(each.request for _, each in reversed(driver.attempts()) if each.server == hung)
    driver.end_attempt(trial, attempt=0)
    assert driver.actions_of(LogEvent)[-1].text == f"readmitted {hung}"


def test_servers_that_are_all_silent_are_not_all_ejected() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    for _ in range(200):
        driver.request("pay")
        driver.advance(15 * MS)
    ejected = [each for each in driver.balancer.servers.values() if each.ejected_until is not None]
    assert len(ejected) <= 2


def test_quick_errors_do_not_draw_more_work() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    bad = server_names(6)[2]
    for _ in range(300):
        driver.advance(10 * MS)
        request = driver.request("pay")
        if driver.target_of(request) == bad:
            driver.end_attempt(request, Outcome.APPLICATION_ERROR)
        else:
            driver.advance(40 * MS)
            driver.end_attempt(request)
    assert sum(1 for _, each in driver.attempts() if each.server == bad) < 300 / 6


@pytest.mark.parametrize("outcome", [Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED])
def test_lost_connections_eject_a_server_but_only_the_list_turns_it_cold(outcome: Outcome) -> None:
    # Guards the fleet: one that is taken for restarted gets a trickle for as long as it may take to warm up.
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    server = driver.balancer.servers[server_names(3)[0]]
    for request in [driver.request("pay") for _ in range(6)]:  # two at each
        driver.end_attempt(
            request, outcome if driver.target_of(request) == server.name else Outcome.DELIVERED
        )
    assert server.ejected_until is not None
    assert not driver.balancer.is_warming_up(server)
    driver.advance(4 * S)
    trial = driver.request()
    assert driver.target_of(trial) == server.name
    driver.end_attempt(trial)
    assert server.ejected_until is None
    assert not driver.balancer.is_warming_up(server)
    driver.receive_list([ListedServer(server.name, zone="east", started_at=driver.now)], ListKind.DELTA)
    assert driver.balancer.is_warming_up(server)


@pytest.mark.parametrize("errors", [1, 2])
def test_a_server_that_fails_one_class_twice_is_left_by_it_and_kept_by_others(errors: int) -> None:
    # Guards requests that may not be sent again: what the server answers to others hides its errors.
    driver = BalancerDriver()
    bad = server_names(6)[0]
    driver.receive_list([bad])  # so it gets them all
    for _ in range(errors):
        driver.end_attempt(driver.request("pay"), Outcome.APPLICATION_ERROR)
        driver.end_attempt(driver.request())
    driver.receive_list(server_names(6))
    pays = {driver.target_of(driver.request("pay")) for _ in range(24)}  # all held, so all are drawn
    looks = {driver.target_of(driver.request()) for _ in range(24)}
    assert (bad in pays) == (errors == 1)
    assert bad in looks


def test_a_server_that_faults_a_request_is_not_sick_and_no_other_is_asked() -> None:
    # Guards healthy servers against a client that sends what every server faults.
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    for _ in range(20):
        request = driver.request()
        driver.end_attempt(request, Outcome.INVALID_REQUEST)
        assert len(driver.attempts(request)) == 1
    assert len(driver.actions_of(Reject)) == 20
    assert all(
        each.ejected_until is None and each.relative_latency == 1.0
        for each in driver.balancer.servers.values()
    )


def test_a_timeout_of_a_server_that_answers_others_is_no_strike() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(1))
    for _ in range(6):
        driver.serve_traffic(60)
        old = driver.request("pay", remaining_us=S)
        driver.advance(900 * MS)
        new = driver.request("pay")
        driver.advance(50 * MS)
        driver.end_attempt(new)
        driver.advance(30 * MS)
        driver.end_attempt(old, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in each.text for each in driver.actions_of(LogEvent))


def test_repeats_after_failures_are_bounded() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(40))
    for _ in range(400):
        driver.advance(MS)
        request = driver.request()
        while driver.balancer.open_requests.get(request) is not None:
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.attempts()) <= 400 * 1.25 + 10


def zones() -> list[ListedServer]:
    return [ListedServer(name, "east" if index < 4 else "west") for index, name in enumerate(server_names(8))]


def _crossings(driver: BalancerDriver, near_us: int, far_us: int) -> float:
    driver.receive_list(zones())
    near = set(server_names(8)[:4])
    for _ in range(600):
        request = driver.request()
        driver.advance(near_us if driver.target_of(request) in near else far_us)
        driver.end_attempt(request)
    late = driver.attempts()[300:]
    return sum(1 for _, each in late if each.server not in near) / len(late)


def test_the_own_zone_comes_first_while_it_is_as_quick_and_crossing_has_a_price() -> None:
    spared = sum(
        _crossings(BalancerDriver(settings(prices={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert spared < 5 * 0.3


def test_a_slow_own_zone_is_left() -> None:
    assert _crossings(BalancerDriver(settings(prices={"cross_zone": 0.03})), 90 * MS, 40 * MS) > 0.5


def _overload(driver: BalancerDriver, spans: int) -> None:
    """Servers that answer ever later as more is in flight, asked for far more than they can do."""
    driver.receive_list(server_names(4))
    out: list[int] = []
    for tick in range(spans):
        driver.advance(10 * MS)
        for name in ("look", "pay"):
            request = driver.request(name)
            if driver.attempts(request):
                out.append(request)
        if tick % 2 and out:  # one answer for four requests, oldest first
            request = out.pop(0)
            if (
                request in driver.balancer.open_requests
                and not driver.balancer.open_requests[request].answered
            ):
                driver.end_attempt(request, attempt=0)


def test_a_surge_is_refused_early_and_the_less_worthy_more() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    _overload(driver, 600)
    asked = {each.request for each in driver.actions_of(Reject)}
    looks = sum(1 for each in asked if each % 2)  # asked for in turn, so half of them would be even-handed
    assert len(asked) > 300
    assert looks > 0.5 * len(asked)
    unsent = [each.request for each in driver.actions_of(Reject) if not driver.attempts(each.request)]
    assert len(unsent) > 0.5 * len(driver.actions_of(Reject))


def test_the_window_lets_all_in_again_once_the_load_falls() -> None:
    driver = BalancerDriver()
    driver.serve_traffic(1)
    _overload(driver, 400)
    driver.advance(10 * S)
    for request in list(driver.balancer.open_requests.values()):
        for attempt in request.attempts:
            if attempt.pending:
                driver.end_attempt(request.request_id, Outcome.CANCELLED, attempt.index, answered=True)
    driver.advance(11 * S)  # what was given up on counts for as long again
    driver.serve_traffic(150)  # a small window takes some aims to grow
    refused = len(driver.actions_of(Reject))
    driver.serve_traffic(300)
    assert len(driver.actions_of(Reject)) == refused


def test_a_quiet_fleet_is_never_refused() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(800)
    assert driver.actions_of(Reject) == []
    assert driver.actions_of(CancelAttempt) == []


def test_a_restarted_process_is_readmitted_as_a_cold_server() -> None:
    driver = BalancerDriver()
    hung, _ = _with_one_hung(driver, 20)
    driver.receive_list([ListedServer(hung, "east", started_at=driver.now)], ListKind.DELTA)
    server = driver.balancer.servers[hung]
    assert server.ejected_until is None
    assert driver.balancer.is_warming_up(server)


def test_heavy_requests_draw_slow_servers_less_than_light_ones_do(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = BalancerDriver()
    driver.receive_list(
        [
            ListedServer(name, "east", nominal=0.5 if name == server_names(5)[0] else 1.0)
            for name in server_names(5)
        ]
    )
    seen: list[float] = []
    drawn = driver.balancer.components.selector.draw

    def watch(pool: list[Server], odds: list[float], count: int) -> list[Server]:
        by_name = {each.name: chance for each, chance in zip(pool, odds, strict=True)}
        slow = by_name.pop(server_names(5)[0])
        seen.append(slow / max(by_name.values()))
        return drawn(pool, odds, count)

    monkeypatch.setattr(driver.balancer.components.selector, "draw", watch)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        driver.end_attempt(driver.request(cost_us=cost))
    assert seen[2] < 0.5 * seen[0]


def test_a_server_that_answers_every_other_request_with_a_quick_error_is_drawn_less() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    bad = server_names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = driver.request("pay")
        target = driver.target_of(request)
        driver.advance(5 * MS if target == bad else 40 * MS)
        errors += target == bad
        driver.end_attempt(
            request, Outcome.APPLICATION_ERROR if target == bad and errors % 2 else Outcome.DELIVERED
        )
    assert sum(1 for _, each in driver.attempts()[400:] if each.server == bad) < 0.5 * 800 / 12


def _serve_singly(
    driver: BalancerDriver, count: int, taking_us: int = 50 * MS, every_us: int = 400 * MS
) -> None:
    """Traffic of a small balancer: each request is answered before the next comes."""
    for _ in range(count):
        request = driver.request()
        driver.advance(taking_us)
        if driver.attempts(request):
            driver.end_attempt(request)
        driver.advance(every_us - taking_us)


def test_a_small_balancer_knows_few_of_many_servers_and_meets_others_when_those_go() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    _serve_singly(driver, 200)
    met = {each.server for _, each in driver.attempts()}
    assert 2 <= len(met) <= 8
    for gone in met:
        driver.drain(gone)
    _serve_singly(driver, 50)
    later = {each.server for _, each in driver.attempts()[200:]}
    assert later
    assert not later & met


def test_a_busy_balancer_reaches_all_servers() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(30))
    driver.serve_traffic(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len({each.server for _, each in driver.attempts()}) == 30


def test_small_balancers_draw_different_servers() -> None:
    first: set[str] = set()
    for seed in range(12):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(60))
        _serve_singly(driver, 20)
        first |= {each.server for _, each in driver.attempts()}
    assert len(first) > 25


def test_a_small_balancer_refuses_a_part_of_what_comes_while_every_answer_is_late() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    for _ in range(120):  # hardly ever two in flight, so a window of two would never refuse
        driver.advance(900 * MS)
        request = driver.request()
        if driver.attempts(request):
            driver.advance(700 * MS)
            driver.end_attempt(request)
    refused = len(driver.actions_of(Reject))
    assert 20 <= refused < 120
    driver.advance(10 * S)
    _serve_singly(driver, 60)
    refused = len(driver.actions_of(Reject))
    _serve_singly(driver, 60)
    assert len(driver.actions_of(Reject)) == refused


def test_two_at_once_are_no_overload_for_a_small_balancer() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    driver.balancer.components.window.size = 1.0
    driver.balancer.components.window.sized_at = driver.now
    for _ in range(10):
        pair = (driver.request(), driver.request())
        driver.advance(50 * MS)
        for request in pair:
            driver.end_attempt(request)
        driver.advance(900 * MS)
    assert not driver.actions_of(Reject)


def test_silence_counts_as_overload_before_any_answer_is_late() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    for _ in range(20):
        driver.advance(50 * MS)
        request = driver.request()
        driver.advance(50 * MS)
        driver.end_attempt(request, attempt=0)
    for _ in range(400):
        driver.advance(20 * MS)
        driver.request("pay")  # none of these is ever answered
    assert len(driver.actions_of(Reject)) > 100


def test_pace_moves_faster_where_answers_are_few() -> None:
    def change(every_us: int, taking_us: int, singly: bool) -> float:
        driver = BalancerDriver()
        driver.receive_list(server_names(4))
        if singly:
            _serve_singly(driver, 400, taking_us, every_us)
        else:
            driver.serve_traffic(400, every_us, taking_us)
        request = driver.request()
        server = driver.balancer.servers[driver.target_of(request)]
        driver.advance(2 * taking_us)
        before = server.relative_latency
        driver.end_attempt(request)
        return server.relative_latency - before

    assert change(400 * MS, 60 * MS, True) > 2 * change(5 * MS, 60 * MS, False) > 0.0


# A balancer that itself stood still


def stalled(driver: BalancerDriver, span_us: int) -> None:
    """Time passes unseen; then the timers that fell due meanwhile fire at once."""
    driver.now += span_us
    driver.advance(0)


def test_an_own_stall_is_not_taken_for_slow_or_silent_servers() -> None:
    driver = BalancerDriver(settings())
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    paces = {each.name: each.relative_latency for each in driver.balancer.ready_servers}
    requests = [driver.request() for _ in range(8)]
    stalled(driver, 900 * MS)
    for each in requests:
        driver.end_attempt(each)
    driver.advance(100 * MS)
    assert {each.name: each.relative_latency for each in driver.balancer.ready_servers} == paces
    assert [each for each in driver.actions_of(LogEvent) if "ejected" in each.text] == []


def test_servers_that_are_slow_while_the_balancer_is_awake_are_noticed() -> None:
    driver = BalancerDriver(settings())
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    paces = {each.name: each.relative_latency for each in driver.balancer.ready_servers}
    requests = [driver.request() for _ in range(8)]
    driver.advance(900 * MS)
    for each in requests:
        driver.end_attempt(each)
    assert all(each.relative_latency > paces[each.name] for each in driver.balancer.ready_servers)


def test_what_waited_out_its_aim_in_a_stall_is_refused_where_late_is_worth_nothing() -> None:
    for worth, sent in ((0.0, 0), (0.5, 1)):
        driver = BalancerDriver(
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * S, "latency_objective_us": 500 * MS}
                    | {"late_priority_weight": worth}
                ]
            )
        )
        driver.receive_list(server_names(4))
        driver.request("look", 1 * S)
        driver.now += 900 * MS
        stale, fresh = driver.request("look", 200 * MS), driver.request("look", 900 * MS)
        assert len(driver.attempts(stale)) == sent
        assert len(driver.attempts(fresh)) == 1


# A full answer to one class or tenant


def test_a_full_answer_keeps_requests_of_that_class_away_and_no_others() -> None:
    driver = BalancerDriver(settings(rules={"late_shedding": True}))
    driver.receive_list(server_names(5))  # four without it: a full draw
    lost = driver.request("pay")
    full = driver.target_of(lost)
    driver.end_attempt(lost, Outcome.REJECTED)
    for _ in range(24):
        driver.request("pay")
        driver.request("look")
    pays = {each.server for _, each in driver.attempts() if each.request % 2 == 0}
    looks = {each.server for _, each in driver.attempts() if each.request % 2 == 1 and each.request != lost}
    assert full in looks
    assert full not in pays


def test_a_server_that_was_full_long_ago_is_drawn_again() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))  # four without it: a full draw
    driver.serve_traffic(40)  # one full answer among these tells of no overload
    request = driver.request("amend")
    full = driver.target_of(request)
    driver.end_attempt(request, Outcome.REJECTED)
    driver.end_attempt(request)
    for wait, drawn in ((100 * MS, False), (20 * S, True)):
        driver.advance(wait)
        targets = {driver.target_of(driver.request("amend")) for _ in range(4)}  # each to the least busy
        assert (full in targets) is drawn
        for number in range(driver.attempts()[-1][1].request - 3, driver.attempts()[-1][1].request + 1):
            driver.end_attempt(number)


def test_where_all_are_full_of_a_class_its_requests_are_tried_all_the_same() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    driver.serve_traffic(40)  # three full answers among these tell of no overload
    request = driver.request("pay")
    for _ in range(3):
        driver.end_attempt(request, Outcome.REJECTED)
    assert [each.request for each in driver.actions_of(Reject)] == [request]
    assert len(driver.attempts(driver.request("pay"))) == 1


# Overload seen from few requests


def test_few_late_answers_mean_refusals_and_time_alone_brings_relief() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    for _ in range(30):
        request = driver.request("look")
        driver.advance(600 * MS)
        if driver.attempts(request):
            driver.end_attempt(request)
    refused = len(driver.actions_of(Reject))
    assert refused > 3
    driver.advance(10 * S)
    assert all(driver.attempts(driver.request("look")) for _ in range(2))


def test_few_requests_that_find_servers_dead_are_no_overload() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    for _ in range(12):
        request = driver.request("pay")
        driver.advance(200 * MS)
        driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert driver.actions_of(Reject) == []
    assert len(driver.actions_of(Fail)) == 12


def test_a_process_that_has_just_started_is_not_shut_by_its_first_late_answers() -> None:
    # At an upgrade the new process starts amid full traffic, and its own start makes the first answers late.
    slow = {**NON_IDEMPOTENT, "deadline_us": 4 * S, "latency_objective_us": 2 * S}
    driver = BalancerDriver(settings(classes=[IDEMPOTENT, slow]))
    driver.receive_list(server_names(8))
    assert late_answers(driver, 1 * S)
    assert not driver.actions_of(Reject)
    assert driver.balancer.window == math.inf
    late_answers(driver, 4 * S)
    assert driver.balancer.window < math.inf  # later on they tell of overload


def late_answers(driver: BalancerDriver, span_us: int) -> int:
    """Steady traffic, each request of it answered too late; gives how many."""
    until, out, done = driver.now + span_us, [], 0
    while driver.now < until:
        out.append((driver.now + 600 * MS, driver.request()))
        driver.advance(5 * MS)
        while out and out[0][0] <= driver.now:
            request = out.pop(0)[1]
            if driver.attempts(request):
                driver.end_attempt(request)
                done += 1
    for _, request in out:
        if driver.attempts(request):
            driver.end_attempt(request)
    return done
