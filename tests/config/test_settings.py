"""The balancer's settings: ignored keys, defaults and rejected values."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar_balancer.config.settings import read_settings
from sidecar_balancer.config.values import ConfigurationError
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import RequestReceived
from sidecar_balancer.policy.settings import DiscoveryMode, Idempotency

MINIMAL = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_absent_keys_get_the_strictest_default() -> None:
    settings = read_settings(MINIMAL)
    assert settings.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    assert settings.classes[0].latency_objective_us == 1_000_000
    assert settings.discovery is DiscoveryMode.POLL
    assert not settings.limits.may_hedge
    assert settings.limits.max_attempts == 1
    assert settings.rules.drain_grace_us == 0


def test_unknown_keys_are_ignored_and_null_counts_as_absent() -> None:
    assert read_settings({**MINIMAL, "news": 1, "limits": {"x": 2}, "rules": None}) == read_settings(MINIMAL)


@pytest.mark.parametrize(
    ("raw_settings", "key"),
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
def test_an_invalid_value_raises_an_error_that_names_its_key(raw_settings: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigurationError) as raised:
        read_settings(raw_settings)
    assert str(raised.value).startswith(key + ":")


values = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats()
    | st.sampled_from(["idempotent", "cell", "x"])
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
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
    class_keys: dict[str, Any], limit_and_rule_keys: dict[str, Any]
) -> None:
    try:
        given = read_settings(
            {
                "classes": [{"name": "a", **class_keys}],
                "limits": limit_and_rule_keys,
                "rules": limit_and_rule_keys,
            }
        )
    except ConfigurationError:
        return
    balancer = Balancer(given, 1)
    assert len(balancer.handle(5_000_000, RequestReceived(1, "a", None, None, 500_000))) > 0
