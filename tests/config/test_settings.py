"""The balancer's settings: which keys are ignored, which defaults hold, and which values are faults."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from sidecar_balancer.config.settings import read_settings
from sidecar_balancer.config.values import ConfigurationError
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import RequestReceived
from sidecar_balancer.policy.settings import DiscoveryMode, Idempotency

MINIMAL = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_absent_keys_get_the_strictest_default() -> None:
    given = read_settings(MINIMAL)
    assert given.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    assert given.classes[0].latency_objective_us == 1_000_000
    assert given.discovery is DiscoveryMode.POLL
    assert not given.limits.may_hedge
    assert given.limits.max_attempts == 1
    assert given.rules.drain_grace_us == 0


def test_unknown_keys_are_ignored_and_null_counts_as_absent() -> None:
    assert read_settings({**MINIMAL, "news": 1, "limits": {"x": 2}, "rules": None}) == read_settings(MINIMAL)


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ({}, "classes"),
        ({"classes": 5}, "classes"),
        ({"classes": [{"name": "a"}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 0}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": float("nan")}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 9, "idempotency": "maybe"}]}, "classes[0].idempotency"),
        ({"classes": [*MINIMAL["classes"], *MINIMAL["classes"]]}, "classes"),
        ({**MINIMAL, "limits": {"max_attempts": -1}}, "limits.max_attempts"),
        ({**MINIMAL, "limits": {"may_hedge": 1}}, "limits.may_hedge"),
        ({**MINIMAL, "rules": {"slow_start_min_ratio": 2}}, "rules.slow_start_min_ratio"),
        ({**MINIMAL, "rules": {"overload_window_us": "long"}}, "rules.overload_window_us"),
        ({**MINIMAL, "report": {"columns": "util"}}, "report.columns"),
        ({**MINIMAL, "tenants": [3]}, "tenants[0]"),
        ({**MINIMAL, "fleet_size": 0}, "fleet_size"),
        ({**MINIMAL, "prices": []}, "prices"),
    ],
)
def test_a_value_out_of_range_is_a_fault_that_names_its_key(given: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigurationError) as raised:
        read_settings(given)
    assert str(raised.value).startswith(key + ":")


values = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats()
    | st.sampled_from(["idempotent", "cell", "x"])
)


@how(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "deadline_us",
                "latency_objective_us",
                "priority_weight",
                "idempotency",
                "deduplication_scope",
                "deduplication_window_us",
                "streaming",
            ]
        ),
        values,
    ),
    st.dictionaries(
        st.sampled_from(
            [
                "max_attempts",
                "may_hedge",
                "may_cancel",
                "slow_start_min_ratio",
                "slow_start_us",
                "overload_window_us",
            ]
        ),
        values,
    ),
)
def test_any_settings_give_a_working_balancer_or_a_configuration_error(
    class_keys: dict[str, Any], bounds: dict[str, Any]
) -> None:
    try:
        given = read_settings({"classes": [{"name": "a", **class_keys}], "limits": bounds, "rules": bounds})
    except ConfigurationError:
        return
    balancer = Balancer(given, 1)
    assert len(balancer.handle(5_000_000, RequestReceived(1, "a", None, None, 500_000))) > 0
