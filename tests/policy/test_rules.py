"""The four rules, each by scripted events."""

from __future__ import annotations

import itertools

import pytest

from helpers import MS, START, S, Stage, names, settings
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
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay", remaining_us=900 * MS)
    stage.wait(899 * MS)
    assert [each.request for each in stage.said(Fail)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_answer() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("look", remaining_us=300 * MS)
    stage.wait(300 * MS)
    answers = len(stage.said(Reject))
    stage.end(request, Outcome.CANCELLED, answered=True)
    stage.wait(5 * S)
    assert answers == 1
    assert len(stage.said(Reject)) == 1
    assert len([1 for at, _ in stage.sends(request) if at > START + 300 * MS]) == 0


def test_a_request_whose_time_is_up_on_arrival_is_refused_unsent() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay", remaining_us=0)
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(Reject)] == [request]


def test_no_server_at_all_means_a_refusal_at_once() -> None:
    stage = Stage()
    request = stage.request("pay")
    assert [each.request for each in stage.said(Reject)] == [request]


def test_no_attempts_allowed_means_a_refusal() -> None:
    stage = Stage(settings(limits={"max_attempts": 0}))
    stage.servers(names(3))
    request = stage.request("look")
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(Reject)] == [request]


def test_late_and_unknown_news_is_ignored() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request()
    stage.end(request)
    before = len(stage.log)
    stage.play(ClientDisconnected(request))
    stage.play(ClientDisconnected(99))
    stage.play(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    stage.play(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(stage.log) == before


def test_a_client_that_left_is_owed_nothing_and_its_attempt_is_called_off() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    stage.play(ClientDisconnected(request))
    stage.wait(3 * S)
    assert [each.request for each in stage.said(CancelAttempt)] == [request]
    assert stage.said(Fail) == [] and stage.said(Reject) == []


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
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]
    assert stage.said(Reject) == []


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.UNSENT])
def test_an_unsafe_request_that_never_ran_goes_to_another_server(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    targets = [each.server for _, each in stage.sends(request)]
    assert len(targets) == 2 and targets[0] != targets[1]


def cells() -> list[ListedServer]:
    return [ListedServer(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]


def test_a_keyed_request_that_may_have_run_is_not_sent_again() -> None:
    # This deployment has no keyed class: one would be held to the strictest reading.
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("amend", remaining_us=4 * S)
    stage.end(request, Outcome.APPLICATION_ERROR)
    assert len(stage.sends(request)) == 1 and [each.request for each in stage.said(Fail)] == [request]


def test_a_keyed_request_is_not_sent_again_once_servers_forget() -> None:
    stage = Stage()
    stage.servers(cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(2 * S)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]


def test_a_second_copy_waits_for_the_first_where_only_one_may_be_out() -> None:
    stage = Stage(settings(limits={"may_hedge": False}))
    stage.servers(names(6))
    stage.serve(100)
    request = stage.request("look")
    hung = stage.target(request)
    for _ in range(60):
        stage.wait(10 * MS)
        other = stage.request("look")
        if stage.target(other) != hung:
            stage.end(other)
    assert [each.request for each in stage.said(CancelAttempt)][:1] == [request]
    assert len(stage.sends(request)) == 1
    stage.end(request, Outcome.CANCELLED, answered=False)
    assert len(stage.sends(request)) == 2


# Rule 3: drains are kept


def test_a_drained_or_vanished_server_gets_nothing_from_the_moment_of_hearing() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = {each.server for _, each in stage.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_list_that_brings_a_server_back_makes_it_ready_again() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", ServerState.REMOVED)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], ListKind.DELTA)
    assert len(stage.sends(stage.request())) == 1


def test_many_deploys_in_a_row_leave_bounded_state() -> None:
    stage = Stage()
    for deploy in range(50):
        stage.servers([f"10.0.{deploy}.{number}:80" for number in range(10)])
        for _ in range(20):
            request = stage.request()
            stage.wait(20 * MS)
            stage.end(request, Outcome.CONNECTION_LOST if deploy % 2 else Outcome.DELIVERED, answered=True)
    late = stage.request()  # its server leaves while it is out
    stage.servers(names(3))
    assert len(stage.balancer.servers) == 4
    stage.end(late)
    stage.servers(names(3))
    stage.wait(60 * S)
    assert len(stage.balancer.servers) == 3
    assert stage.balancer.ejected_servers == [] and stage.balancer.load == 0
    assert stage.sends(stage.request())


def test_the_list_is_followed_from_the_first_event() -> None:
    stage = Stage()
    stage.servers(names(2), ListKind.CACHED)
    stage.wait(0)
    assert stage.said(WatchEndpoints) == [WatchEndpoints(True)]


def test_a_small_group_asks_discovery_at_once() -> None:
    for seed in range(8):
        stage = Stage(settings(fleet_size=8), seed=seed)
        stage.servers(names(2), ListKind.CACHED)
        stage.wait(0)  # what it remembers may be old, and requests come at once
        assert stage.said(WatchEndpoints) == [WatchEndpoints(True)]


def test_a_large_group_asks_discovery_spread_out_at_the_start_and_after_failures() -> None:
    first, again = [], []
    for seed in range(40):
        stage = Stage(settings(fleet_size=40), seed=seed)
        stage.servers(names(2), ListKind.CACHED)
        stage.wait(4 * S)
        asked = [at for at, each in stage.log if isinstance(each, WatchEndpoints)]
        first.append(asked[0] - START)
        stage.now = max(stage.now, asked[0] + 2 * S)
        failed = stage.now
        stage.play(EndpointListReceived(ListKind.FAILED))
        stage.wait(4 * S)
        again.append(
            next(at for at, each in stage.log if isinstance(each, WatchEndpoints) and at > failed) - failed
        )
    for waits in (first, again):
        busiest = max(sum(at <= each < at + S for each in waits) for at in waits)
        assert busiest <= 25  # of 40 in any second
    assert min(again) > 500 * MS


def test_nothing_is_asked_where_changes_come_unasked() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(2), ListKind.CACHED)
    stage.wait(60 * S)
    assert stage.said(WatchEndpoints) == [] and stage.said(FetchEndpoints) == []


def test_failed_calls_are_repeated_with_growing_waits_and_never_given_up() -> None:
    stage = Stage()
    asked = []
    stage.servers(names(2), ListKind.CACHED)
    for _ in range(12):
        asked.append(stage.now)
        count = len(stage.said(WatchEndpoints))
        stage.play(EndpointListReceived(ListKind.FAILED))
        while len(stage.said(WatchEndpoints)) == count:
            stage.wait(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(asked)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_a_call_that_is_never_answered_is_made_again_in_time() -> None:
    stage = Stage()
    stage.servers(names(2), ListKind.CACHED)
    stage.wait(10 * S)
    times = [at for at, each in stage.log if isinstance(each, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


# Rule 4: a cold server is not pushed over


@pytest.mark.parametrize(("every_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_a_cold_server_gets_no_more_than_its_part(every_us: int, burst: int) -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(300, every_us=10 * MS)
    warm_per_s = 100 / 6
    began = stage.now
    cold = ListedServer("10.0.0.6:80", zone="east", started_at=began)
    stage.servers([cold], ListKind.DELTA)
    while stage.now < began + 10 * S:
        requests = [stage.request() for _ in range(burst)]
        stage.wait(every_us)
        for each in requests:
            if stage.sends(each):
                stage.end(each)
    times = [at for at, each in stage.sends() if each.server == "10.0.0.6:80" and at >= began]
    for end in times:
        warmth = 0.2 + 0.8 * max(end - 2 * S - began, 0) / (10 * S)
        inside = sum(1 for at in times if end - 2 * S < at <= end)
        assert inside <= max(1.0, 3 * warmth * warm_per_s * 2)
    assert times or burst == 1  # singly, the quickest known server takes all


def test_what_warm_peers_serve_is_counted_by_work_not_by_number() -> None:
    rates = []
    for served_us in (100_000, 20_000):  # overload refuses the heavy ones, and the rest is light
        stage = Stage()
        stage.servers(names(4))
        for _ in range(60):
            stage.wait(20 * MS)
            stage.end(stage.request(cost_us=served_us))
            stage.request(remaining_us=0, cost_us=200_000 - served_us)  # too late to be sent
        rates.append(stage.balancer.slow_start.estimate_capacity(stage.now))
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_a_cold_server_is_sent_no_less_when_the_warm_ones_stop_answering() -> None:
    stage = Stage()
    stage.servers(names(5))
    stage.serve(200, every_us=10 * MS)
    stage.servers([ListedServer("10.0.0.9:80", zone="east", started_at=stage.now)], ListKind.DELTA)
    stage.request()
    served = stage.balancer.slow_start.estimate_capacity(stage.now)
    stage.wait(5 * S)  # more than the span over which rates are averaged
    assert stage.balancer.slow_start.estimate_capacity(stage.now) > 0.5 * served > 0.0


def test_a_cold_server_is_sent_what_its_warmth_bears_and_little_more() -> None:
    stage = Stage()
    stage.servers(names(5))
    cold = ListedServer("10.0.0.9:80", zone="east", started_at=START + 15 * S)
    while stage.now < START + 25 * S:
        if stage.now == START + 20 * S:
            stage.servers([cold], ListKind.DELTA)
        requests = [stage.request() for _ in range(10)]
        stage.wait(50 * MS)
        for each in requests:
            stage.end(each)
    sent = [each.server for at, each in stage.sends() if at >= START + 20 * S]
    warm_each = sum(name != cold.server for name in sent) / 5
    warmth = 0.2 + 0.8 * 7.5 / 10  # on average
    assert 1.0 < sent.count(cold.server) / (warm_each * warmth) < 1.6


def test_small_balancers_begin_to_send_to_a_cold_server_one_after_the_other() -> None:
    room = []
    for seed in range(40):
        stage = Stage(seed=seed)
        stage.servers(names(5))
        stage.serve(40, every_us=200 * MS)  # one request a second to each server
        stage.servers([ListedServer("10.0.0.9:80", zone="east", started_at=stage.now)], ListKind.DELTA)
        began, server = stage.now, stage.balancer.servers["10.0.0.9:80"]
        while not stage.balancer.slow_start.has_capacity(stage.now, server, 1.0):
            stage.wait(100 * MS)
        room.append(stage.now - began)
    # Of 40 requests a second at a warm server, this cold one bears 8, and is pushed over by 48 in 2 s.
    assert 1 <= sum(each <= S for each in room) <= 24
    assert max(sum(at <= each < at + 2 * S for each in room) for at in room) <= 36


def test_a_warm_server_is_not_held_back() -> None:
    stage = Stage()
    stage.servers(names(2))
    for _ in range(50):
        stage.request()
    assert len({each.server for _, each in stage.sends()}) == 2


# The gate itself, whatever the code around it wishes


def test_the_gate_lets_nothing_out_to_a_draining_or_gone_server() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.balancer.open_requests[stage.request()]
    server = next(each for each in stage.balancer.servers.values() if each is not request.attempts[0].server)
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        stage.drain(server.name, state)
        assert not stage.balancer.gate.send(stage.now, request, server)
    stage.servers([server.name], ListKind.DELTA)
    assert stage.balancer.gate.send(stage.now, request, stage.balancer.servers[server.name])


def test_the_gate_lets_no_second_copy_out_where_only_one_is_allowed() -> None:
    for allowed in (False, True):
        stage = Stage(settings(limits={"may_hedge": allowed}))
        stage.servers(names(3))
        request = stage.balancer.open_requests[stage.request()]
        server = next(
            each for each in stage.balancer.servers.values() if each is not request.attempts[0].server
        )
        assert stage.balancer.gate.send(stage.now, request, server) is allowed


# Full is no proof, where that is stated


def test_where_full_is_no_proof_an_unsafe_request_fails_after_it_and_is_not_sent_again() -> None:
    stage = Stage(settings(rules={"late_shedding": True}))
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, Outcome.REJECTED)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]
    assert stage.said(Reject) == []


# Long bodies


def test_an_answer_under_way_is_not_ended_by_the_deadline_and_calls_the_other_copy_off() -> None:
    stage = Stage()
    stage.servers(names(4))
    request = stage.request()
    live = stage.balancer.open_requests[request]
    server = next(each for each in stage.balancer.servers.values() if each is not live.attempts[0].server)
    assert stage.balancer.gate.send(stage.now, live, server)
    stage.play(ResponseStarted(request, 1, server.name, 30 * MS))
    assert [(each.request, each.attempt) for each in stage.said(CancelAttempt)] == [(request, 0)]
    stage.end(request, Outcome.CANCELLED, attempt=0, answered=True)
    stage.wait(10 * S)
    assert not stage.said(Reject) and not stage.said(Fail)
    stage.play(AttemptEnded(request, 1, server.name, Outcome.CONNECTION_LOST, 30 * MS, True))
    assert len(live.attempts) == 2 and request not in stage.balancer.open_requests


def test_an_answer_under_way_is_no_load_and_its_length_is_no_slowness() -> None:
    stage = Stage()
    stage.servers(names(3))
    stage.serve(60)
    spent = stage.balancer.typical_latency_ratio
    for _ in range(20):
        request = stage.request()
        stage.wait(50 * MS)
        stage.play(ResponseStarted(request, 0, stage.target(request), 50 * MS))
    assert stage.balancer.load == 0
    assert all(each.in_flight == 0 for each in stage.balancer.servers.values())
    stage.wait(30 * S)
    for request in list(stage.balancer.open_requests):
        target = stage.target(request)
        stage.play(AttemptEnded(request, 0, target, Outcome.DELIVERED, 50 * MS, True))
    assert stage.balancer.typical_latency_ratio <= spent + 0.05 and not stage.balancer.open_requests


def test_while_its_body_comes_a_request_has_all_the_time_and_then_its_own() -> None:
    stage = Stage()
    stage.servers(names(3))
    number = 77
    stage.play(RequestReceived(number, "pay", None, None, 1 * S, body_open=True))
    stage.wait(60 * S)
    assert not stage.said(Reject) and not stage.said(Fail) and not stage.balancer.ejected_servers
    stage.play(RequestBodyEnded(number, 1 * S))
    ended = stage.now
    stage.wait(2 * S)
    assert [each.request for each in stage.said(Fail)] == [number]
    assert ended < next(at for at, each in stage.log if isinstance(each, Fail)) <= ended + 1 * S


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_request_whose_body_is_spent_is_refused_and_not_sent_again(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(3))
    stage.play(RequestReceived(77, "pay", None, None, 1 * S, body_open=True))
    stage.wait(20 * MS)
    stage.play(AttemptEnded(77, 0, stage.target(77), outcome, 20 * MS, False, None, body_consumed=True))
    assert len(stage.sends(77)) == 1 and [each.request for each in stage.said(Reject)] == [77]


def test_a_watch_that_fell_silent_is_opened_anew_twice_at_once_and_then_as_after_a_failed_call() -> None:
    # join+mass: 11 of 200 sidecars asked again only 13 s later, and sent to servers that had left meanwhile.
    stage = Stage(settings(fleet_size=200))
    stage.servers(names(3))
    before = len(stage.said(WatchEndpoints))
    for silent in (
        1,
        2,
    ):  # the first call after a silent watch may be silent too: its news soon counts as told
        stage.play(EndpointListReceived(ListKind.TIMED_OUT))
        assert len(stage.said(WatchEndpoints)) == before + silent
    stage.play(
        EndpointListReceived(ListKind.TIMED_OUT)
    )  # a service that is overbooked is not asked in step by all
    assert len(stage.said(WatchEndpoints)) == before + 2
    stage.servers(names(3))
    stage.play(EndpointListReceived(ListKind.TIMED_OUT))
    assert len(stage.said(WatchEndpoints)) == before + 3
