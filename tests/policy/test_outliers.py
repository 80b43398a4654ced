"""Outlier detection: ejection, trials and readmission."""

from __future__ import annotations

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, S, server_names
from sidecar_balancer.policy.actions import (
    LogEvent,
    Reject,
)
from sidecar_balancer.policy.events import ListedServer, ResponseStarted
from sidecar_balancer.policy.types import ListKind, Outcome


def _with_one_unresponsive_server(driver: BalancerDriver, rounds: int) -> tuple[str, list[int]]:
    """Serve traffic while one server does not respond; return its name and its unanswered requests."""
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    first = driver.request()
    unresponsive = driver.target_of(first)
    unanswered = [first]
    for _ in range(rounds):
        driver.advance(10 * MS)
        request = driver.request()
        if driver.target_of(request) == unresponsive:
            unanswered.append(request)
        else:
            driver.advance(30 * MS)
            driver.end_attempt(request)
    return unresponsive, unanswered


def test_an_unresponsive_server_is_ejected_and_its_idempotent_requests_are_hedged() -> None:
    driver = BalancerDriver()
    unresponsive, unanswered = _with_one_unresponsive_server(driver, 20)
    assert any(event.text.startswith(f"ejected {unresponsive}") for event in driver.actions_of(LogEvent))
    targets = [attempt.server for _, attempt in driver.attempts(unanswered[0])]
    assert len(targets) > 1
    assert unresponsive not in targets[1:]


def test_an_ejected_server_is_readmitted_by_a_single_successful_trial() -> None:
    driver = BalancerDriver()
    unresponsive, unanswered = _with_one_unresponsive_server(driver, 20)
    before = len([1 for _, attempt in driver.attempts() if attempt.server == unresponsive])
    for request in unanswered:
        driver.end_attempt(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        driver.advance(60 * MS)
        request = driver.request()
        if driver.target_of(request) != unresponsive:
            driver.end_attempt(request)
    trials = len([1 for _, attempt in driver.attempts() if attempt.server == unresponsive]) - before
    assert trials == 1
    trial = next(
        attempt.request for _, attempt in reversed(driver.attempts()) if attempt.server == unresponsive
    )
    driver.end_attempt(trial, attempt=0)
    assert driver.actions_of(LogEvent)[-1].text == f"readmitted {unresponsive}"


def test_no_more_than_a_third_of_the_servers_is_ejected_when_none_responds() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    for _ in range(200):
        driver.request("pay")
        driver.advance(15 * MS)
    ejected = [server for server in driver.balancer.servers.values() if server.ejected_until is not None]
    assert len(ejected) <= 2


@pytest.mark.parametrize("outcome", [Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED])
def test_connection_failures_eject_a_server_but_only_the_list_starts_its_slow_start(outcome: Outcome) -> None:
    # A server mistaken for a restarted one would get little traffic for the duration of a slow start.
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
    # A client with invalid requests must not get healthy servers ejected.
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    for _ in range(20):
        request = driver.request()
        driver.end_attempt(request, Outcome.INVALID_REQUEST)
        assert len(driver.attempts(request)) == 1
    assert len(driver.actions_of(Reject)) == 20
    assert all(
        server.ejected_until is None and server.relative_latency == 1.0
        for server in driver.balancer.servers.values()
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
    assert not any("ejected" in event.text for event in driver.actions_of(LogEvent))


def test_a_restarted_server_is_readmitted_and_warms_up() -> None:
    driver = BalancerDriver()
    unresponsive, _ = _with_one_unresponsive_server(driver, 20)
    driver.receive_list([ListedServer(unresponsive, "east", started_at=driver.now)], ListKind.DELTA)
    server = driver.balancer.servers[unresponsive]
    assert server.ejected_until is None
    assert driver.balancer.is_warming_up(server)


def test_a_response_may_end_after_its_ejected_server_has_left_the_list() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    requests_by_server: dict[str, list[int]] = {}
    for _ in range(12):
        request = driver.request("pay")
        requests_by_server.setdefault(driver.target_of(request), []).append(request)
    server = max(requests_by_server, key=lambda name: len(requests_by_server[name]))
    streamed, *failing = requests_by_server[server]
    driver.feed(ResponseStarted(streamed, 0, server, elapsed_us=MS))
    for request in failing:
        driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert [ejected.name for ejected in driver.balancer.ejected_servers] == [server]
    driver.receive_list([name for name in server_names(4) if name != server])
    assert server not in driver.balancer.servers
    driver.end_attempt(streamed, Outcome.DELIVERED, attempt=0)
    assert streamed not in driver.balancer.open_requests
