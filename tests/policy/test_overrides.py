"""Servers disabled by the operators, regardless of the endpoint list."""

from __future__ import annotations

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, S, server_names, settings
from sidecar_balancer.policy.actions import ApplyDisabledServers, SendAttempt
from sidecar_balancer.policy.events import DisabledServersChanged, ListedServer, ServerOverrideRequested
from sidecar_balancer.policy.types import ListKind, Outcome, ServerState

SERVERS = server_names(3)


def driver_with_servers(count: int = 3) -> BalancerDriver:
    driver = BalancerDriver()
    driver.receive_list(server_names(count))
    return driver


def override(driver: BalancerDriver, server: str, disabled: bool) -> bool:
    """Request the override; return whether it was applied."""
    return any(
        isinstance(each, ApplyDisabledServers)
        for each in driver.feed(ServerOverrideRequested(server, disabled))
    )


def servers_used(driver: BalancerDriver) -> set[str]:
    """Serve traffic with a few requests in flight; return the servers used."""
    before = len(driver.timeline)
    driver.serve_traffic(80)
    return {attempt.server for _, attempt in driver.timeline[before:] if isinstance(attempt, SendAttempt)}


@pytest.mark.parametrize("kind", [ListKind.SNAPSHOT, ListKind.DELTA, ListKind.CACHED])
def test_a_disabled_server_gets_no_requests_whatever_list_is_received(kind: ListKind) -> None:
    driver = driver_with_servers()
    assert override(driver, SERVERS[0], True)
    assert servers_used(driver) == set(SERVERS[1:])
    entries = [ListedServer(each, zone="east", started_at=driver.now) for each in SERVERS[:1]]
    driver.receive_list([*entries, *SERVERS[1:]], kind)
    driver.advance(20 * S)  # its slow start is over
    assert servers_used(driver) == set(SERVERS[1:])


def test_retries_and_trials_avoid_a_disabled_server() -> None:
    driver = driver_with_servers(2)
    for _ in range(2):  # two failures eject the first server
        request = driver.request()
        while driver.target_of(request) != SERVERS[0]:
            driver.end_attempt(request)
            request = driver.request()
        driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert driver.balancer.ejected_servers
    assert override(driver, SERVERS[0], True)
    driver.advance(60 * S)  # its trial is overdue
    assert servers_used(driver) == {SERVERS[1]}
    request = driver.request()
    driver.end_attempt(request, Outcome.REJECTED)
    assert {attempt.server for _, attempt in driver.attempts(request)} == {SERVERS[1]}


def test_a_server_that_is_enabled_after_repeated_overrides_warms_up() -> None:
    driver = driver_with_servers()
    driver.serve_traffic(60)
    for _ in range(3):
        assert override(driver, SERVERS[0], True)
    assert override(driver, SERVERS[0], False)
    server = driver.balancer.servers[SERVERS[0]]
    assert driver.balancer.is_warming_up(server)
    driver.advance(11 * S)
    assert servers_used(driver) == set(SERVERS)
    assert not driver.balancer.is_warming_up(server)


@pytest.mark.parametrize("seed", range(10))
def test_a_server_is_used_within_five_seconds_of_being_enabled(seed: int) -> None:
    driver = BalancerDriver(seed=seed)
    driver.receive_list(SERVERS)
    driver.serve_traffic(100)
    override(driver, SERVERS[0], True)
    driver.serve_traffic(100)
    override(driver, SERVERS[0], False)
    assert SERVERS[0] in servers_used(driver)  # 1.6 s at fifty requests a second


@pytest.mark.parametrize(("is_listed", "waited_s"), [(False, 10), (True, 5)])
def test_an_enabled_server_warms_up_from_its_listed_restart_or_else_from_now(
    is_listed: bool, waited_s: int
) -> None:
    driver = driver_with_servers()
    driver.receive_list([ListedServer(SERVERS[0], "east", started_at=driver.now - 1 * S)], ListKind.DELTA)
    override(driver, SERVERS[0], True)
    if is_listed:
        driver.receive_list([ListedServer(SERVERS[0], "east", started_at=driver.now)], ListKind.DELTA)
    driver.advance(5 * S)
    override(driver, SERVERS[0], False)
    server = driver.balancer.servers[SERVERS[0]]
    assert server.warming_since is not None
    assert server.warming_since + 10 * S == driver.now + waited_s * S


@pytest.mark.parametrize("seed", range(10))
def test_an_enabled_server_is_used_with_few_requests_and_faster_servers_beside_it(seed: int) -> None:
    driver = BalancerDriver(seed=seed)
    driver.receive_list(server_names(8))
    driver.serve_traffic(60)
    server = driver.balancer.servers[SERVERS[0]]
    server.relative_latency = 3.0
    override(driver, server.name, True)
    driver.advance(1 * S)
    override(driver, server.name, False)
    before = len(driver.timeline)
    for _ in range(100):  # one at a time: all servers are idle, and the faster ones are selected
        driver.advance(50 * MS)
        request = driver.request()
        driver.advance(20 * MS)
        driver.end_attempt(request)
    sent = [attempt.server for _, attempt in driver.timeline[before:] if isinstance(attempt, SendAttempt)]
    assert server.name in sent
    assert server not in driver.balancer.components.disabled.awaiting_first_request


def test_an_enabled_server_has_the_state_that_the_list_gives_it() -> None:
    driver = driver_with_servers()
    override(driver, SERVERS[0], True)
    driver.drain(SERVERS[0])
    override(driver, SERVERS[0], False)
    driver.advance(20 * S)
    assert servers_used(driver) == set(SERVERS[1:])
    driver.drain(SERVERS[0], ServerState.READY)
    assert servers_used(driver) == set(SERVERS)


def test_only_overrides_of_servers_that_were_never_listed_are_ignored() -> None:
    driver = driver_with_servers()
    for disabled in (True, False):
        assert not override(driver, "10.9.9.9:80", disabled)
    driver.receive_list(SERVERS[1:])  # the first server is removed and dropped
    assert SERVERS[0] not in driver.balancer.servers
    assert override(driver, SERVERS[0], True)
    driver.receive_list(SERVERS)
    assert servers_used(driver) == set(SERVERS[1:])


def test_a_disabled_server_that_is_removed_and_listed_again_stays_disabled() -> None:
    driver = driver_with_servers()
    override(driver, SERVERS[0], True)
    driver.receive_list(SERVERS[1:])
    driver.receive_list(SERVERS)
    assert servers_used(driver) == set(SERVERS[1:])


def test_a_set_of_disabled_servers_replaces_the_previous_one_and_applies_to_later_lists() -> None:
    driver = BalancerDriver()
    driver.feed(DisabledServersChanged([SERVERS[0]]))
    driver.receive_list(SERVERS)
    assert servers_used(driver) == set(SERVERS[1:])
    driver.feed(DisabledServersChanged([SERVERS[1]]))
    driver.advance(20 * S)
    assert servers_used(driver) == {SERVERS[0], SERVERS[2]}


def test_the_names_of_removed_servers_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sidecar_balancer.policy.endpoint_table.FORMER_NAMES_MAX", 20)
    driver = BalancerDriver(settings())
    for deploy in range(10):
        driver.receive_list([f"{deploy}-{each}" for each in SERVERS])
    driver.receive_list([])
    assert len(driver.balancer.components.endpoints.former_names) == 20
    assert not driver.balancer.servers
    assert override(driver, f"9-{SERVERS[0]}", True)


@pytest.mark.parametrize("seed", range(5))
def test_both_processes_of_an_upgrade_send_a_warming_server_no_more_than_one_alone(seed: int) -> None:
    def attempts_at_warming_server(drivers: list[BalancerDriver]) -> int:
        """Return the attempts at one warming server of four in ten seconds of a hundred requests a second.

        The drivers receive the requests in turn.
        """
        until, count = drivers[0].now + 10 * S, 0
        in_flight: list[tuple[BalancerDriver, int]] = []
        warming = ListedServer("cold", zone="east", started_at=drivers[0].now)
        for driver in drivers:
            driver.receive_list([warming], ListKind.DELTA)
        while drivers[0].now < until:
            for receiver in drivers:
                request = receiver.request()
                count += bool(receiver.attempts(request)) and receiver.target_of(request) == "cold"
                for driver in drivers:
                    driver.advance(10 * MS)
                in_flight.append((receiver, request))
                if len(in_flight) > 8:  # number of requests in flight at any time
                    owner, finished = in_flight.pop(0)
                    if owner.attempts(finished):
                        owner.end_attempt(finished)
        return count

    def driver_after_traffic(seed: int) -> BalancerDriver:
        driver = BalancerDriver(seed=seed)
        driver.receive_list(SERVERS)
        driver.serve_traffic(300, interval_us=10 * MS)
        return driver

    alone = attempts_at_warming_server([driver_after_traffic(seed)])
    old, new = driver_after_traffic(seed), BalancerDriver(seed=seed + 100, now=driver_after_traffic(seed).now)
    new.receive_list(SERVERS)
    assert 0 < attempts_at_warming_server([old, new]) <= 1.15 * alone
