"""Each request gets one final answer in time."""

from __future__ import annotations

from balancer_driver import BalancerDriver
from policy_settings import MS, START, S, server_names, settings
from sidecar_balancer.policy.actions import (
    CancelAttempt,
    Fail,
    Reject,
)
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    RequestBodyEnded,
    RequestBodyOverdue,
    RequestReceived,
    ResponseStarted,
)
from sidecar_balancer.policy.types import Outcome


def test_a_request_without_a_response_fails_before_its_deadline() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay", remaining_us=900 * MS)
    driver.advance(899 * MS)
    assert [action.request for action in driver.actions_of(Fail)] == [request]


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


def test_a_request_that_arrives_after_its_deadline_is_rejected_without_an_attempt() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.request("pay", remaining_us=0)
    assert driver.attempts(request) == []
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_a_request_is_rejected_at_once_without_servers() -> None:
    driver = BalancerDriver()
    request = driver.request("pay")
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_a_request_is_rejected_if_no_attempts_are_allowed() -> None:
    driver = BalancerDriver(settings(limits={"max_attempts": 0}))
    driver.receive_list(server_names(3))
    request = driver.request("look")
    assert driver.attempts(request) == []
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_events_of_unknown_and_completed_requests_are_ignored() -> None:
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


def test_the_attempt_of_a_disconnected_client_is_cancelled_without_an_answer() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.request("pay")
    driver.feed(ClientDisconnected(request))
    driver.advance(3 * S)
    assert [action.request for action in driver.actions_of(CancelAttempt)] == [request]
    assert driver.actions_of(Fail) == []
    assert driver.actions_of(Reject) == []


def test_a_started_response_outlasts_the_deadline_and_cancels_the_hedge() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    request = driver.request()
    open_request = driver.balancer.open_requests[request]
    server = next(
        server for server in driver.balancer.servers.values() if server is not open_request.attempts[0].server
    )
    assert driver.balancer.components.gate.send(driver.now, open_request, server)
    driver.feed(ResponseStarted(request, 1, server.name, 30 * MS))
    assert [(action.request, action.attempt) for action in driver.actions_of(CancelAttempt)] == [(request, 0)]
    driver.end_attempt(request, Outcome.CANCELLED, attempt=0, answered=True)
    driver.advance(10 * S)
    assert not driver.actions_of(Reject)
    assert not driver.actions_of(Fail)
    driver.feed(AttemptEnded(request, 1, server.name, Outcome.CONNECTION_LOST, 30 * MS, True))
    assert len(open_request.attempts) == 2
    assert request not in driver.balancer.open_requests


def test_a_started_response_counts_neither_as_load_nor_as_latency() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    driver.serve_traffic(60)
    ratio_before = driver.balancer.median_latency_ratio
    for _ in range(20):
        request = driver.request()
        driver.advance(50 * MS)
        driver.feed(ResponseStarted(request, 0, driver.target_of(request), 50 * MS))
    assert driver.balancer.load == 0
    assert all(server.in_flight == 0 for server in driver.balancer.servers.values())
    driver.advance(30 * S)
    for request in list(driver.balancer.open_requests):
        target = driver.target_of(request)
        driver.feed(AttemptEnded(request, 0, target, Outcome.DELIVERED, 50 * MS, True))
    assert driver.balancer.median_latency_ratio <= ratio_before + 0.05
    assert not driver.balancer.open_requests


def test_the_deadline_counts_from_the_end_of_the_body() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    number = 77
    driver.feed(RequestReceived(number, "pay", None, None, 1 * S, body_open=True))
    driver.advance(60 * S)
    assert not driver.actions_of(Reject)
    assert not driver.actions_of(Fail)
    assert not driver.balancer.ejected_servers
    driver.feed(RequestBodyEnded(number, 1 * S))
    ended_at = driver.now
    driver.advance(2 * S)
    assert [action.request for action in driver.actions_of(Fail)] == [number]
    assert ended_at < next(at for at, each in driver.timeline if isinstance(each, Fail)) <= ended_at + 1 * S


# Guards against a request that is never answered because its server does not read its body.
def test_a_request_whose_body_is_overdue_is_rejected_as_no_server_has_all_of_it() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    number = 77
    driver.feed(RequestReceived(number, "pay", None, None, 1 * S, body_open=True))
    driver.advance(1 * S)
    driver.feed(RequestBodyOverdue(number))
    driver.feed(RequestBodyOverdue(number))
    assert [action.request for action in driver.actions_of(Reject)] == [number]
    assert [action.request for action in driver.actions_of(CancelAttempt)] == [number]
    assert not driver.actions_of(Fail)


def test_a_request_whose_body_has_ended_is_not_overdue_before_its_deadline() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    number = 77
    driver.feed(RequestReceived(number, "pay", None, None, 1 * S, body_open=True))
    driver.feed(RequestBodyEnded(number, 1 * S))
    driver.feed(RequestBodyOverdue(number))
    assert not driver.actions_of(Reject)
    assert not driver.actions_of(Fail)
