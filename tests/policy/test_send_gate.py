"""The send gate enforces its rules whatever its callers decide."""

from __future__ import annotations

from balancer_driver import BalancerDriver
from policy_settings import server_names, settings
from sidecar_balancer.policy.types import ListKind, ServerState


def test_the_gate_sends_nothing_to_a_draining_or_removed_server() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.balancer.open_requests[driver.request()]
    server = next(
        server for server in driver.balancer.servers.values() if server is not request.attempts[0].server
    )
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        driver.drain(server.name, state)
        assert not driver.balancer.components.gate.send(driver.now, request, server)
    driver.receive_list([server.name], ListKind.DELTA)
    assert driver.balancer.components.gate.send(driver.now, request, driver.balancer.servers[server.name])


def test_the_gate_sends_a_hedge_only_where_hedging_is_permitted() -> None:
    for allowed in (False, True):
        driver = BalancerDriver(settings(limits={"may_hedge": allowed}))
        driver.receive_list(server_names(3))
        request = driver.balancer.open_requests[driver.request()]
        server = next(
            server for server in driver.balancer.servers.values() if server is not request.attempts[0].server
        )
        assert driver.balancer.components.gate.send(driver.now, request, server) is allowed
