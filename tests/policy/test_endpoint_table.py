"""The endpoint list: draining, removed and returning servers."""

from __future__ import annotations

from balancer_driver import BalancerDriver
from policy_settings import MS, S, server_names
from sidecar_balancer.policy.types import ListKind, Outcome, ServerState


def test_a_draining_or_removed_server_gets_no_further_attempts() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.drain("10.0.0.1:80")
    driver.receive_list([*server_names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        driver.request()
    targets = {attempt.server for _, attempt in driver.attempts()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_server_that_is_listed_again_is_ready_again() -> None:
    driver = BalancerDriver()
    driver.receive_list(["10.0.0.1:80"])
    driver.drain("10.0.0.1:80", ServerState.REMOVED)
    assert driver.attempts(driver.request()) == []
    driver.receive_list(["10.0.0.1:80"], ListKind.DELTA)
    assert len(driver.attempts(driver.request())) == 1


def test_state_is_bounded_over_many_deploys() -> None:
    driver = BalancerDriver()
    for deploy in range(50):
        driver.receive_list([f"10.0.{deploy}.{number}:80" for number in range(10)])
        for _ in range(20):
            request = driver.request()
            driver.advance(20 * MS)
            driver.end_attempt(
                request, Outcome.CONNECTION_LOST if deploy % 2 else Outcome.DELIVERED, answered=True
            )
    pending = driver.request()  # its server is removed while it is in flight
    driver.receive_list(server_names(3))
    assert len(driver.balancer.servers) == 4
    driver.end_attempt(pending)
    driver.receive_list(server_names(3))
    driver.advance(60 * S)
    assert len(driver.balancer.servers) == 3
    assert driver.balancer.ejected_servers == []
    assert driver.balancer.load == 0
    assert driver.attempts(driver.request())
