"""Servers that reject or fail one class and tenant."""

from __future__ import annotations

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, S, server_names, settings
from sidecar_balancer.policy.actions import (
    Reject,
)
from sidecar_balancer.policy.types import Outcome


@pytest.mark.parametrize("errors", [1, 2])
def test_a_server_that_fails_a_class_twice_is_avoided_by_that_class_alone(errors: int) -> None:
    # Guards against responses to other classes hiding errors of requests that can't be retried.
    driver = BalancerDriver()
    faulty = server_names(6)[0]
    driver.receive_list([faulty])  # the only server gets all requests
    for _ in range(errors):
        driver.end_attempt(driver.request("pay"), Outcome.APPLICATION_ERROR)
        driver.end_attempt(driver.request())
    driver.receive_list(server_names(6))
    # All requests stay in flight, so all servers are sampled.
    pays = {driver.target_of(driver.request("pay")) for _ in range(24)}
    looks = {driver.target_of(driver.request()) for _ in range(24)}
    assert (faulty in pays) == (errors == 1)
    assert faulty in looks


def test_a_rejection_diverts_the_rejected_class_alone() -> None:
    driver = BalancerDriver(settings(rules={"late_shedding": True}))
    driver.receive_list(server_names(5))  # four others: as many as are sampled
    rejected_request = driver.request("pay")
    rejecting = driver.target_of(rejected_request)
    driver.end_attempt(rejected_request, Outcome.REJECTED)
    for _ in range(24):
        driver.request("pay")
        driver.request("look")
    pays = {attempt.server for _, attempt in driver.attempts() if attempt.request % 2 == 0}
    looks = {
        attempt.server
        for _, attempt in driver.attempts()
        if attempt.request % 2 == 1 and attempt.request != rejected_request
    }
    assert rejecting in looks
    assert rejecting not in pays


def test_a_server_is_used_again_after_its_rejection_backoff() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))  # four others: as many as are sampled
    driver.serve_traffic(40)  # one rejection among these does not count as overload
    request = driver.request("amend")
    rejecting = driver.target_of(request)
    driver.end_attempt(request, Outcome.REJECTED)
    driver.end_attempt(request)
    for wait_us, is_used in ((100 * MS, False), (20 * S, True)):
        driver.advance(wait_us)
        # Each request goes to the server with the lowest load.
        targets = {driver.target_of(driver.request("amend")) for _ in range(4)}
        assert (rejecting in targets) is is_used
        for number in range(driver.attempts()[-1][1].request - 3, driver.attempts()[-1][1].request + 1):
            driver.end_attempt(number)


def test_requests_are_sent_to_rejecting_servers_if_there_are_no_others() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    driver.serve_traffic(40)  # three rejections among these do not count as overload
    request = driver.request("pay")
    for _ in range(3):
        driver.end_attempt(request, Outcome.REJECTED)
    assert [action.request for action in driver.actions_of(Reject)] == [request]
    assert len(driver.attempts(driver.request("pay"))) == 1
