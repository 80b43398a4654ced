"""Retries and hedged requests, and when they are not permitted."""

from __future__ import annotations

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, S, server_names, settings
from sidecar_balancer.policy.actions import (
    CancelAttempt,
    Fail,
    Reject,
)
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ListedServer,
    RequestBodyEnded,
    RequestReceived,
)
from sidecar_balancer.policy.types import Outcome


def test_the_retry_budget_bounds_retries_after_failures() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(40))
    for _ in range(400):
        driver.advance(MS)
        request = driver.request()
        while driver.balancer.open_requests.get(request) is not None:
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.attempts()) <= 400 * 1.25 + 10


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
def test_a_non_idempotent_request_that_may_have_run_fails_without_a_retry(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, outcome)
    assert len(driver.attempts(request)) == 1
    assert [action.request for action in driver.actions_of(Fail)] == [request]
    assert driver.actions_of(Reject) == []


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.UNSENT])
def test_a_non_idempotent_request_that_never_ran_is_retried_elsewhere(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, outcome)
    targets = [attempt.server for _, attempt in driver.attempts(request)]
    assert len(targets) == 2
    assert targets[0] != targets[1]


def _servers_in_cells() -> list[ListedServer]:
    return [ListedServer(name, zone="east", cell=index % 2) for index, name in enumerate(server_names(8))]


def test_a_request_with_an_idempotency_key_that_may_have_run_is_not_retried() -> None:
    # This deployment has no classes with idempotency keys, so they are treated as non-idempotent.
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.request("amend", remaining_us=4 * S)
    driver.end_attempt(request, Outcome.APPLICATION_ERROR)
    assert len(driver.attempts(request)) == 1
    assert [action.request for action in driver.actions_of(Fail)] == [request]


def test_a_request_with_an_idempotency_key_is_not_retried_after_its_deduplication_window() -> None:
    driver = BalancerDriver()
    driver.receive_list(_servers_in_cells())
    request = driver.request("amend", remaining_us=4 * S)
    driver.advance(2 * S)
    driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.attempts(request)) == 1
    assert [action.request for action in driver.actions_of(Fail)] == [request]


def test_an_unresponsive_attempt_is_cancelled_before_the_retry_where_hedging_is_not_permitted() -> None:
    driver = BalancerDriver(settings(limits={"may_hedge": False}))
    driver.receive_list(server_names(6))
    driver.serve_traffic(100)
    request = driver.request("look")
    unresponsive = driver.target_of(request)
    for _ in range(60):
        driver.advance(10 * MS)
        other = driver.request("look")
        if driver.target_of(other) != unresponsive:
            driver.end_attempt(other)
    assert [action.request for action in driver.actions_of(CancelAttempt)][:1] == [request]
    assert len(driver.attempts(request)) == 1
    driver.end_attempt(request, Outcome.CANCELLED, answered=False)
    assert len(driver.attempts(request)) == 2


def test_with_late_shedding_a_rejected_non_idempotent_request_fails_without_a_retry() -> None:
    driver = BalancerDriver(settings(rules={"late_shedding": True}))
    driver.receive_list(server_names(5))
    request = driver.request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, Outcome.REJECTED)
    assert len(driver.attempts(request)) == 1
    assert [action.request for action in driver.actions_of(Fail)] == [request]
    assert driver.actions_of(Reject) == []


# Guards against a hedge that sends only what the first attempt has left of a streamed body.
@pytest.mark.parametrize("is_streamed", [False, True])
def test_only_a_request_with_a_buffered_body_is_hedged(is_streamed: bool) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    number = 77
    driver.feed(RequestReceived(number, "look", None, None, 2 * S, body_open=is_streamed))
    if is_streamed:
        driver.feed(RequestBodyEnded(number, 2 * S))
    for _ in range(10):  # responses of others show that its server alone does not respond
        driver.advance(50 * MS)
        other = driver.request()
        if driver.target_of(other) != driver.target_of(number):
            driver.end_attempt(other, Outcome.DELIVERED, answered=True)
    assert (len(driver.attempts(number)) == 1) is is_streamed


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_request_whose_body_is_consumed_is_rejected_without_a_retry(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    driver.feed(RequestReceived(77, "pay", None, None, 1 * S, body_open=True))
    driver.advance(20 * MS)
    driver.feed(AttemptEnded(77, 0, driver.target_of(77), outcome, 20 * MS, False, None, body_consumed=True))
    assert len(driver.attempts(77)) == 1
    assert [action.request for action in driver.actions_of(Reject)] == [77]
