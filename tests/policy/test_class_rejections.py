"""Servers that reject or fail one class and tenant."""

from __future__ import annotations

import pytest

from helpers import (
    MS,
    BalancerDriver,
    S,
    server_names,
    settings,
)
from sidecar_balancer.policy.actions import (
    Reject,
)
from sidecar_balancer.policy.types import Outcome


@pytest.mark.parametrize("errors", [1, 2])
def test_a_server_that_fails_a_class_twice_is_avoided_by_that_class_alone(errors: int) -> None:
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


def test_a_rejection_diverts_the_rejected_class_alone() -> None:
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


def test_a_server_is_used_again_after_its_rejection_backoff() -> None:
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


def test_requests_are_sent_to_rejecting_servers_if_there_are_no_others() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    driver.serve_traffic(40)  # three full answers among these tell of no overload
    request = driver.request("pay")
    for _ in range(3):
        driver.end_attempt(request, Outcome.REJECTED)
    assert [each.request for each in driver.actions_of(Reject)] == [request]
    assert len(driver.attempts(driver.request("pay"))) == 1
