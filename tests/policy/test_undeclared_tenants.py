"""Tenants that the settings do not declare."""

from __future__ import annotations

from balancer_driver import BalancerDriver
from sidecar_balancer.policy.intake import MAX_UNDECLARED_TENANTS


def test_state_is_kept_for_a_bounded_number_of_tenants_that_clients_make_up() -> None:
    driver = BalancerDriver()
    driver.receive_list(["s-1", "s-2"])
    for number in range(3 * MAX_UNDECLARED_TENANTS):
        driver.request(tenant=f"tenant-{number}")
    demand = driver.balancer.components.priorities.demand_by_flow
    assert 1 < len(demand) <= MAX_UNDECLARED_TENANTS + 1
