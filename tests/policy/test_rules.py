"""The four rules, each by scripted events."""

from __future__ import annotations

import itertools

import pytest

from helpers import MS, START, BalancerDriver, S, server_names, settings
from sidecar_balancer.policy.actions import CancelAttempt, Fail, FetchEndpoints, Reject, WatchEndpoints
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    ListedServer,
    RequestBodyEnded,
    RequestReceived,
    ResponseStarted,
)
from sidecar_balancer.policy.types import ListKind, Outcome, ServerState

# Rule 1: one final answer in time


def test_an_unanswered_request_gets_its_final_answer_before_its_time_is_up() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay", remaining_us=900 * MS)
    driver.advance(899 * MS)
    assert [each.request for each in driver.actions_of(Fail)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_answer() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("look", remaining_us=300 * MS)
    driver.advance(300 * MS)
    answers = len(driver.actions_of(Reject))
    driver.end_attempt(request, Outcome.CANCELLED, answered=True)
    driver.advance(5 * S)
    assert answers == 1
    assert len(driver.actions_of(Reject)) == 1
    assert len([1 for at, _ in driver.attempts(request) if at > START + 300 * MS]) == 0


def test_a_request_whose_time_is_up_on_arrival_is_refused_unsent() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.request("pay", remaining_us=0)
    assert driver.attempts(request) == []
    assert [each.request for each in driver.actions_of(Reject)] == [request]


def test_no_server_at_all_means_a_refusal_at_once() -> None:
    driver = BalancerDriver()
    request = driver.request("pay")
    assert [each.request for each in driver.actions_of(Reject)] == [request]


def test_no_attempts_allowed_means_a_refusal() -> None:
    driver = BalancerDriver(settings(limits={"max_attempts": 0}))
    driver.receive_list(server_names(3))
    request = driver.request("look")
    assert driver.attempts(request) == []
    assert [each.request for each in driver.actions_of(Reject)] == [request]


def test_late_and_unknown_news_is_ignored() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.request()
    driver.end_attempt(request)
    before = len(driver.timeline)
    driver.feed(ClientDisconnected(request))
    driver.feed(ClientDisconnected(99))
    driver.feed(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    driver.feed(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(driver.timeline) == before


def test_a_client_that_left_is_owed_nothing_and_its_attempt_is_called_off() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.request("pay")
    driver.feed(ClientDisconnected(request))
    driver.advance(3 * S)
    assert [each.request for each in driver.actions_of(CancelAttempt)] == [request]
    assert driver.actions_of(Fail) == []
    assert driver.actions_of(Reject) == []


# Rule 2: no effect twice


@pytest.mark.parametrize(
    "outcome",
    [
        Outcome.APPLICATION_ERROR,
        Outcome.INVALID_REQUEST,
        Outcome.CONNECTION_LOST,
        Outcome.TIMED_OUT,
        Outcome.CANCELLED,
    ],
)
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, outcome)
    assert len(driver.attempts(request)) == 1
    assert [each.request for each in driver.actions_of(Fail)] == [request]
    assert driver.actions_of(Reject) == []


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.UNSENT])
def test_an_unsafe_request_that_never_ran_goes_to_another_server(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, outcome)
    targets = [each.server for _, each in driver.attempts(request)]
    assert len(targets) == 2
    assert targets[0] != targets[1]


def cells() -> list[ListedServer]:
    return [ListedServer(name, zone="east", cell=index % 2) for index, name in enumerate(server_names(8))]


def test_a_keyed_request_that_may_have_run_is_not_sent_again() -> None:
    # This deployment has no keyed class: one would be held to the strictest reading.
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("amend", remaining_us=4 * S)
    driver.end_attempt(request, Outcome.APPLICATION_ERROR)
    assert len(driver.attempts(request)) == 1
    assert [each.request for each in driver.actions_of(Fail)] == [request]


def test_a_keyed_request_is_not_sent_again_once_servers_forget() -> None:
    driver = BalancerDriver()
    driver.receive_list(cells())
    request = driver.request("amend", remaining_us=4 * S)
    driver.advance(2 * S)
    driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.attempts(request)) == 1
    assert [each.request for each in driver.actions_of(Fail)] == [request]


def test_a_second_copy_waits_for_the_first_where_only_one_may_be_out() -> None:
    driver = BalancerDriver(settings(limits={"may_hedge": False}))
    driver.receive_list(server_names(6))
    driver.serve_traffic(100)
    request = driver.request("look")
    hung = driver.target_of(request)
    for _ in range(60):
        driver.advance(10 * MS)
        other = driver.request("look")
        if driver.target_of(other) != hung:
            driver.end_attempt(other)
    assert [each.request for each in driver.actions_of(CancelAttempt)][:1] == [request]
    assert len(driver.attempts(request)) == 1
    driver.end_attempt(request, Outcome.CANCELLED, answered=False)
    assert len(driver.attempts(request)) == 2


# Rule 3: drains are kept


def test_a_drained_or_vanished_server_gets_nothing_from_the_moment_of_hearing() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.drain("10.0.0.1:80")
    driver.receive_list([*server_names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        driver.request()
    targets = {each.server for _, each in driver.attempts()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_list_that_brings_a_server_back_makes_it_ready_again() -> None:
    driver = BalancerDriver()
    driver.receive_list(["10.0.0.1:80"])
    driver.drain("10.0.0.1:80", ServerState.REMOVED)
    assert driver.attempts(driver.request()) == []
    driver.receive_list(["10.0.0.1:80"], ListKind.DELTA)
    assert len(driver.attempts(driver.request())) == 1


def test_many_deploys_in_a_row_leave_bounded_state() -> None:
    driver = BalancerDriver()
    for deploy in range(50):
        driver.receive_list([f"10.0.{deploy}.{number}:80" for number in range(10)])
        for _ in range(20):
            request = driver.request()
            driver.advance(20 * MS)
            driver.end_attempt(
                request, Outcome.CONNECTION_LOST if deploy % 2 else Outcome.DELIVERED, answered=True
            )
    late = driver.request()  # its server leaves while it is out
    driver.receive_list(server_names(3))
    assert len(driver.balancer.servers) == 4
    driver.end_attempt(late)
    driver.receive_list(server_names(3))
    driver.advance(60 * S)
    assert len(driver.balancer.servers) == 3
    assert driver.balancer.ejected_servers == []
    assert driver.balancer.load == 0
    assert driver.attempts(driver.request())


def test_the_list_is_followed_from_the_first_event() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), ListKind.CACHED)
    driver.advance(0)
    assert driver.actions_of(WatchEndpoints) == [WatchEndpoints(True)]


def test_a_small_group_asks_discovery_at_once() -> None:
    for seed in range(8):
        driver = BalancerDriver(settings(fleet_size=8), seed=seed)
        driver.receive_list(server_names(2), ListKind.CACHED)
        driver.advance(0)  # what it remembers may be old, and requests come at once
        assert driver.actions_of(WatchEndpoints) == [WatchEndpoints(True)]


def test_a_large_group_asks_discovery_spread_out_at_the_start_and_after_failures() -> None:
    first, again = [], []
    for seed in range(40):
        driver = BalancerDriver(settings(fleet_size=40), seed=seed)
        driver.receive_list(server_names(2), ListKind.CACHED)
        driver.advance(4 * S)
        asked = [at for at, each in driver.timeline if isinstance(each, WatchEndpoints)]
        first.append(asked[0] - START)
        driver.now = max(driver.now, asked[0] + 2 * S)
        failed = driver.now
        driver.feed(EndpointListReceived(ListKind.FAILED))
        driver.advance(4 * S)
        again.append(
            next(at for at, each in driver.timeline if isinstance(each, WatchEndpoints) and at > failed)
            - failed
        )
    for waits in (first, again):
        busiest = max(sum(at <= each < at + S for each in waits) for at in waits)
        assert busiest <= 25  # of 40 in any second
    assert min(again) > 500 * MS


def test_nothing_is_asked_where_changes_come_unasked() -> None:
    driver = BalancerDriver(settings(discovery="pushed"))
    driver.receive_list(server_names(2), ListKind.CACHED)
    driver.advance(60 * S)
    assert driver.actions_of(WatchEndpoints) == []
    assert driver.actions_of(FetchEndpoints) == []


def test_failed_calls_are_repeated_with_growing_waits_and_never_given_up() -> None:
    driver = BalancerDriver()
    asked = []
    driver.receive_list(server_names(2), ListKind.CACHED)
    for _ in range(12):
        asked.append(driver.now)
        count = len(driver.actions_of(WatchEndpoints))
        driver.feed(EndpointListReceived(ListKind.FAILED))
        while len(driver.actions_of(WatchEndpoints)) == count:
            driver.advance(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(asked)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_a_call_that_is_never_answered_is_made_again_in_time() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), ListKind.CACHED)
    driver.advance(10 * S)
    times = [at for at, each in driver.timeline if isinstance(each, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


# Rule 4: a cold server is not pushed over


@pytest.mark.parametrize(("every_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_a_cold_server_gets_no_more_than_its_part(every_us: int, burst: int) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    driver.serve_traffic(300, every_us=10 * MS)
    warm_per_s = 100 / 6
    began = driver.now
    cold = ListedServer("10.0.0.6:80", zone="east", started_at=began)
    driver.receive_list([cold], ListKind.DELTA)
    while driver.now < began + 10 * S:
        requests = [driver.request() for _ in range(burst)]
        driver.advance(every_us)
        for each in requests:
            if driver.attempts(each):
                driver.end_attempt(each)
    times = [at for at, each in driver.attempts() if each.server == "10.0.0.6:80" and at >= began]
    for end in times:
        warmth = 0.2 + 0.8 * max(end - 2 * S - began, 0) / (10 * S)
        inside = sum(1 for at in times if end - 2 * S < at <= end)
        assert inside <= max(1.0, 3 * warmth * warm_per_s * 2)
    assert times or burst == 1  # singly, the quickest known server takes all


def test_what_warm_peers_serve_is_counted_by_work_not_by_number() -> None:
    rates = []
    for served_us in (100_000, 20_000):  # overload refuses the heavy ones, and the rest is light
        driver = BalancerDriver()
        driver.receive_list(server_names(4))
        for _ in range(60):
            driver.advance(20 * MS)
            driver.end_attempt(driver.request(cost_us=served_us))
            driver.request(remaining_us=0, cost_us=200_000 - served_us)  # too late to be sent
        rates.append(driver.balancer.components.slow_start.estimate_capacity(driver.now))
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_a_cold_server_is_sent_no_less_when_the_warm_ones_stop_answering() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    driver.serve_traffic(200, every_us=10 * MS)
    driver.receive_list([ListedServer("10.0.0.9:80", zone="east", started_at=driver.now)], ListKind.DELTA)
    driver.request()
    served = driver.balancer.components.slow_start.estimate_capacity(driver.now)
    driver.advance(5 * S)  # more than the span over which rates are averaged
    assert driver.balancer.components.slow_start.estimate_capacity(driver.now) > 0.5 * served > 0.0


def test_a_cold_server_is_sent_what_its_warmth_bears_and_little_more() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    cold = ListedServer("10.0.0.9:80", zone="east", started_at=START + 15 * S)
    while driver.now < START + 25 * S:
        if driver.now == START + 20 * S:
            driver.receive_list([cold], ListKind.DELTA)
        requests = [driver.request() for _ in range(10)]
        driver.advance(50 * MS)
        for each in requests:
            driver.end_attempt(each)
    sent = [each.server for at, each in driver.attempts() if at >= START + 20 * S]
    warm_each = sum(name != cold.server for name in sent) / 5
    warmth = 0.2 + 0.8 * 7.5 / 10  # on average
    assert 1.0 < sent.count(cold.server) / (warm_each * warmth) < 1.6


def test_small_balancers_begin_to_send_to_a_cold_server_one_after_the_other() -> None:
    room = []
    for seed in range(40):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(5))
        driver.serve_traffic(40, every_us=200 * MS)  # one request a second to each server
        driver.receive_list([ListedServer("10.0.0.9:80", zone="east", started_at=driver.now)], ListKind.DELTA)
        began, server = driver.now, driver.balancer.servers["10.0.0.9:80"]
        while not driver.balancer.components.slow_start.has_capacity(driver.now, server, 1.0):
            driver.advance(100 * MS)
        room.append(driver.now - began)
    # Of 40 requests a second at a warm server, this cold one bears 8, and is pushed over by 48 in 2 s.
    assert 1 <= sum(each <= S for each in room) <= 24
    assert max(sum(at <= each < at + 2 * S for each in room) for at in room) <= 36


def test_a_warm_server_is_not_held_back() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    for _ in range(50):
        driver.request()
    assert len({each.server for _, each in driver.attempts()}) == 2


# The gate itself, whatever the code around it wishes


def test_the_gate_lets_nothing_out_to_a_draining_or_gone_server() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.balancer.open_requests[driver.request()]
    server = next(each for each in driver.balancer.servers.values() if each is not request.attempts[0].server)
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        driver.drain(server.name, state)
        assert not driver.balancer.components.gate.send(driver.now, request, server)
    driver.receive_list([server.name], ListKind.DELTA)
    assert driver.balancer.components.gate.send(driver.now, request, driver.balancer.servers[server.name])


def test_the_gate_lets_no_second_copy_out_where_only_one_is_allowed() -> None:
    for allowed in (False, True):
        driver = BalancerDriver(settings(limits={"may_hedge": allowed}))
        driver.receive_list(server_names(3))
        request = driver.balancer.open_requests[driver.request()]
        server = next(
            each for each in driver.balancer.servers.values() if each is not request.attempts[0].server
        )
        assert driver.balancer.components.gate.send(driver.now, request, server) is allowed


# Full is no proof, where that is stated


def test_where_full_is_no_proof_an_unsafe_request_fails_after_it_and_is_not_sent_again() -> None:
    driver = BalancerDriver(settings(rules={"late_shedding": True}))
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, Outcome.REJECTED)
    assert len(driver.attempts(request)) == 1
    assert [each.request for each in driver.actions_of(Fail)] == [request]
    assert driver.actions_of(Reject) == []


# Long bodies


def test_an_answer_under_way_is_not_ended_by_the_deadline_and_calls_the_other_copy_off() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    request = driver.request()
    live = driver.balancer.open_requests[request]
    server = next(each for each in driver.balancer.servers.values() if each is not live.attempts[0].server)
    assert driver.balancer.components.gate.send(driver.now, live, server)
    driver.feed(ResponseStarted(request, 1, server.name, 30 * MS))
    assert [(each.request, each.attempt) for each in driver.actions_of(CancelAttempt)] == [(request, 0)]
    driver.end_attempt(request, Outcome.CANCELLED, attempt=0, answered=True)
    driver.advance(10 * S)
    assert not driver.actions_of(Reject)
    assert not driver.actions_of(Fail)
    driver.feed(AttemptEnded(request, 1, server.name, Outcome.CONNECTION_LOST, 30 * MS, True))
    assert len(live.attempts) == 2
    assert request not in driver.balancer.open_requests


def test_an_answer_under_way_is_no_load_and_its_length_is_no_slowness() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    driver.serve_traffic(60)
    spent = driver.balancer.typical_latency_ratio
    for _ in range(20):
        request = driver.request()
        driver.advance(50 * MS)
        driver.feed(ResponseStarted(request, 0, driver.target_of(request), 50 * MS))
    assert driver.balancer.load == 0
    assert all(each.in_flight == 0 for each in driver.balancer.servers.values())
    driver.advance(30 * S)
    for request in list(driver.balancer.open_requests):
        target = driver.target_of(request)
        driver.feed(AttemptEnded(request, 0, target, Outcome.DELIVERED, 50 * MS, True))
    assert driver.balancer.typical_latency_ratio <= spent + 0.05
    assert not driver.balancer.open_requests


def test_while_its_body_comes_a_request_has_all_the_time_and_then_its_own() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    number = 77
    driver.feed(RequestReceived(number, "pay", None, None, 1 * S, body_open=True))
    driver.advance(60 * S)
    assert not driver.actions_of(Reject)
    assert not driver.actions_of(Fail)
    assert not driver.balancer.ejected_servers
    driver.feed(RequestBodyEnded(number, 1 * S))
    ended = driver.now
    driver.advance(2 * S)
    assert [each.request for each in driver.actions_of(Fail)] == [number]
    assert ended < next(at for at, each in driver.timeline if isinstance(each, Fail)) <= ended + 1 * S


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_request_whose_body_is_spent_is_refused_and_not_sent_again(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    driver.feed(RequestReceived(77, "pay", None, None, 1 * S, body_open=True))
    driver.advance(20 * MS)
    driver.feed(AttemptEnded(77, 0, driver.target_of(77), outcome, 20 * MS, False, None, body_consumed=True))
    assert len(driver.attempts(77)) == 1
    assert [each.request for each in driver.actions_of(Reject)] == [77]


def test_a_watch_that_fell_silent_is_opened_anew_twice_at_once_and_then_as_after_a_failed_call() -> None:
    # join+mass: 11 of 200 sidecars asked again only 13 s later, and sent to servers that had left meanwhile.
    driver = BalancerDriver(settings(fleet_size=200))
    driver.receive_list(server_names(3))
    before = len(driver.actions_of(WatchEndpoints))
    for silent in (
        1,
        2,
    ):  # the first call after a silent watch may be silent too: its news soon counts as told
        driver.feed(EndpointListReceived(ListKind.TIMED_OUT))
        assert len(driver.actions_of(WatchEndpoints)) == before + silent
    driver.feed(
        EndpointListReceived(ListKind.TIMED_OUT)
    )  # a service that is overbooked is not asked in step by all
    assert len(driver.actions_of(WatchEndpoints)) == before + 2
    driver.receive_list(server_names(3))
    driver.feed(EndpointListReceived(ListKind.TIMED_OUT))
    assert len(driver.actions_of(WatchEndpoints)) == before + 3
