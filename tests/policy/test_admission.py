"""Load shedding, with many requests and with few."""

from __future__ import annotations

import math

import pytest

from balancer_driver import BalancerDriver, serve_one_at_a_time
from policy_settings import IDEMPOTENT, MS, NON_IDEMPOTENT, S, server_names, settings
from sidecar_balancer.policy.actions import (
    CancelAttempt,
    Fail,
    Reject,
)
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import RequestBodyEnded, RequestReceived
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.types import Outcome

FIRST_BODY = 100_000  # number of the first request whose body is still arriving
BODIES = 40


def _overload(driver: BalancerDriver, ticks: int) -> None:
    """Send four requests for each response, so that latency keeps growing."""
    driver.receive_list(server_names(4))
    outstanding: list[int] = []
    for tick in range(ticks):
        driver.advance(10 * MS)
        for name in ("look", "pay"):
            request = driver.request(name)
            if driver.attempts(request):
                outstanding.append(request)
        if tick % 2 and outstanding:  # one response for four requests, oldest first
            request = outstanding.pop(0)
            if (
                request in driver.balancer.open_requests
                and not driver.balancer.open_requests[request].answered
            ):
                driver.end_attempt(request, attempt=0)


def _driver_after_an_overload() -> BalancerDriver:
    driver = BalancerDriver()
    driver.serve_traffic(1)
    _overload(driver, 400)
    driver.advance(10 * S)
    for request in list(driver.balancer.open_requests.values()):
        for attempt in request.attempts:
            if attempt.pending:
                driver.end_attempt(request.request_id, Outcome.CANCELLED, attempt.index, answered=True)
    driver.advance(11 * S)  # abandoned attempts count as load for their duration again
    driver.serve_traffic(150)  # a small window takes several objectives to grow
    return driver


def _receive_bodies(driver: BalancerDriver, count: int) -> list[int]:
    """Feed requests whose bodies are still arriving; return their numbers."""
    numbers = list(range(FIRST_BODY, FIRST_BODY + count))
    for number in numbers:
        driver.feed(RequestReceived(number, "pay", None, None, 1 * S, body_open=True))
    return numbers


# Guards against clients that stop within their bodies and fill the concurrency window: all others were shed.
def test_requests_are_admitted_beside_bodies_that_do_not_end() -> None:
    driver = _driver_after_an_overload()
    assert driver.balancer.window < BODIES
    rejections_before = len(driver.actions_of(Reject))
    _receive_bodies(driver, BODIES)
    for _ in range(50):
        driver.advance(20 * MS)
        request = driver.request()
        assert driver.attempts(request)
        driver.end_attempt(request)
    assert len(driver.actions_of(Reject)) == rejections_before


def test_bodies_count_as_load_once_they_have_ended() -> None:
    driver = _driver_after_an_overload()
    numbers = _receive_bodies(driver, BODIES)
    load_before = driver.balancer.load
    for number in numbers:
        driver.feed(RequestBodyEnded(number, 1 * S))
    assert driver.balancer.load == load_before + BODIES
    assert not driver.attempts(driver.request())
    for number in numbers:
        driver.end_attempt(number)
    assert driver.balancer.load == load_before
    assert driver.balancer.components.load.awaiting_body == 0


@pytest.mark.parametrize("body_ends", [False, True])
def test_load_at_an_ejected_server_leaves_out_bodies_that_are_still_arriving(body_ends: bool) -> None:
    server = Server("s-0", order_key=0.5)
    load = LoadTracker(1 * S)
    load.attempt_sent(server, True)
    load.attempt_sent(server, False)
    load.server_ejected(server)
    server.ejected_until = 1 * S
    if body_ends:
        load.body_completed(server)
    assert load.current(0) == 0
    load.attempt_released(server, not body_ends)
    load.attempt_released(server, False)
    server.ejected_until = None
    load.server_readmitted(server)
    counters = (load.pending, load.awaiting_body, load.pending_at_ejected, load.current(0))
    assert counters == (0, 0, 0, 0)


def test_a_surge_is_rejected_before_sending_and_low_priorities_are_shed_more() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    _overload(driver, 600)
    rejected_requests = {action.request for action in driver.actions_of(Reject)}
    # Classes alternate, so half of the rejected requests would show no preference.
    rejected_looks = sum(1 for each in rejected_requests if each % 2)
    assert len(rejected_requests) > 300
    assert rejected_looks > 0.5 * len(rejected_requests)
    unsent = [action.request for action in driver.actions_of(Reject) if not driver.attempts(action.request)]
    assert len(unsent) > 0.5 * len(driver.actions_of(Reject))


def test_everything_is_admitted_once_the_load_has_fallen() -> None:
    driver = _driver_after_an_overload()
    rejected = len(driver.actions_of(Reject))
    driver.serve_traffic(300)
    assert len(driver.actions_of(Reject)) == rejected


def test_nothing_is_rejected_without_overload() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(800)
    assert driver.actions_of(Reject) == []
    assert driver.actions_of(CancelAttempt) == []


def test_a_balancer_with_little_traffic_sheds_a_part_while_every_response_is_late() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    for _ in range(120):  # rarely two in flight, so a window of two would never reject
        driver.advance(900 * MS)
        request = driver.request()
        if driver.attempts(request):
            driver.advance(700 * MS)
            driver.end_attempt(request)
    rejected = len(driver.actions_of(Reject))
    assert 20 <= rejected < 120
    driver.advance(10 * S)
    serve_one_at_a_time(driver, 60)
    rejected = len(driver.actions_of(Reject))
    serve_one_at_a_time(driver, 60)
    assert len(driver.actions_of(Reject)) == rejected


def test_two_concurrent_requests_do_not_count_as_overload_with_little_traffic() -> None:
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


def test_missing_responses_count_as_overload() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    for _ in range(20):
        driver.advance(50 * MS)
        request = driver.request()
        driver.advance(50 * MS)
        driver.end_attempt(request, attempt=0)
    for _ in range(400):
        driver.advance(20 * MS)
        driver.request("pay")  # none of these gets a response
    assert len(driver.actions_of(Reject)) > 100


def test_few_late_responses_cause_shedding_that_ends_with_time_alone() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    for _ in range(30):
        request = driver.request("look")
        driver.advance(600 * MS)
        if driver.attempts(request):
            driver.end_attempt(request)
    rejected = len(driver.actions_of(Reject))
    assert rejected > 3
    driver.advance(10 * S)
    assert all(driver.attempts(driver.request("look")) for _ in range(2))


def test_connection_failures_do_not_count_as_overload() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    for _ in range(12):
        request = driver.request("pay")
        driver.advance(200 * MS)
        driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert driver.actions_of(Reject) == []
    assert len(driver.actions_of(Fail)) == 12


def test_the_first_late_responses_after_a_start_cause_no_shedding() -> None:
    # In an upgrade the new process starts under full traffic, and its startup delays the first responses.
    slow = {**NON_IDEMPOTENT, "deadline_us": 4 * S, "latency_objective_us": 2 * S}
    driver = BalancerDriver(settings(classes=[IDEMPOTENT, slow]))
    driver.receive_list(server_names(8))
    assert _serve_late(driver, 1 * S)
    assert not driver.actions_of(Reject)
    assert driver.balancer.window == math.inf
    _serve_late(driver, 4 * S)
    assert driver.balancer.window < math.inf  # after that, late responses indicate overload


def _serve_late(driver: BalancerDriver, span_us: int) -> int:
    """Serve traffic with late responses only; return their number."""
    until, outstanding, served = driver.now + span_us, [], 0
    while driver.now < until:
        outstanding.append((driver.now + 600 * MS, driver.request()))
        driver.advance(5 * MS)
        while outstanding and outstanding[0][0] <= driver.now:
            request = outstanding.pop(0)[1]
            if driver.attempts(request):
                driver.end_attempt(request)
                served += 1
    for _, request in outstanding:
        if driver.attempts(request):
            driver.end_attempt(request)
    return served
