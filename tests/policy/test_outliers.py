"""Outlier detection: ejection, trials and readmission."""

from __future__ import annotations

import pytest

from helpers import (
    MS,
    BalancerDriver,
    S,
    server_names,
)
from sidecar_balancer.policy.actions import (
    LogEvent,
    Reject,
)
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import ListKind, Outcome


def _with_one_unresponsive_server(driver: BalancerDriver, rounds: int) -> tuple[str, list[int]]:
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


def test_an_unresponsive_server_is_ejected_and_its_idempotent_requests_are_hedged() -> None:
    driver = BalancerDriver()
    hung, stuck = _with_one_unresponsive_server(driver, 20)
    assert any(each.text.startswith(f"ejected {hung}") for each in driver.actions_of(LogEvent))
    copies = [each.server for _, each in driver.attempts(stuck[0])]
    assert len(copies) > 1
    assert hung not in copies[1:]


def test_an_ejected_server_is_readmitted_by_a_single_successful_trial() -> None:
    driver = BalancerDriver()
    hung, stuck = _with_one_unresponsive_server(driver, 20)
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


def test_no_more_than_a_third_of_the_servers_is_ejected_when_none_responds() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    for _ in range(200):
        driver.request("pay")
        driver.advance(15 * MS)
    ejected = [each for each in driver.balancer.servers.values() if each.ejected_until is not None]
    assert len(ejected) <= 2


@pytest.mark.parametrize("outcome", [Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED])
def test_connection_failures_eject_a_server_but_only_the_list_starts_its_slow_start(outcome: Outcome) -> None:
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


def test_an_invalid_request_neither_counts_against_its_server_nor_is_retried() -> None:
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


def test_a_timeout_does_not_count_as_a_failure_while_the_server_answers_others() -> None:
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


def test_a_restarted_server_is_readmitted_and_warms_up() -> None:
    driver = BalancerDriver()
    hung, _ = _with_one_unresponsive_server(driver, 20)
    driver.receive_list([ListedServer(hung, "east", started_at=driver.now)], ListKind.DELTA)
    server = driver.balancer.servers[hung]
    assert server.ejected_until is None
    assert driver.balancer.is_warming_up(server)
