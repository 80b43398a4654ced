"""The admin API's views of a balancer."""

from __future__ import annotations

import pytest

from balancer_driver import BalancerDriver
from sidecar_balancer.admin.views import servers_view
from sidecar_balancer.policy.types import ServerVerdict


@pytest.mark.parametrize(
    ("verdict", "name"),
    [
        (ServerVerdict.EJECTED, "ejected"),
        (ServerVerdict.SLOW, "slow"),
        (ServerVerdict.REJECTING, "full"),
        (ServerVerdict.FAILING, "failing"),
        (ServerVerdict.CLEARED, "cleared"),
    ],
)
def test_published_verdicts_keep_their_names_in_the_api(verdict: ServerVerdict, name: str) -> None:
    driver = BalancerDriver()
    driver.receive_list(["s-1"])
    driver.balancer.servers["s-1"].published_verdicts["look"] = verdict
    assert servers_view(driver.balancer, driver.now)["s-1"]["told"] == {"look": name}


def test_a_verdict_on_all_classes_is_named_all() -> None:
    driver = BalancerDriver()
    driver.receive_list(["s-1"])
    driver.balancer.servers["s-1"].published_verdicts[None] = ServerVerdict.EJECTED
    assert servers_view(driver.balancer, driver.now)["s-1"]["told"] == {"all": "ejected"}
