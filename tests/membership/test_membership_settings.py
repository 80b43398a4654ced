"""The membership settings: values out of range raise an error."""

from __future__ import annotations

from typing import Any

import pytest

from sidecar_balancer.membership.errors import MembershipSettingsError
from sidecar_balancer.membership.settings import MembershipSettings


@pytest.mark.parametrize("values", [{"probe_timeout_ms": 500}, {"indirect": 0}, {"suspicion_mult": 0.5}])
def test_a_setting_out_of_range_is_rejected(values: dict[str, Any]) -> None:
    with pytest.raises(MembershipSettingsError):
        MembershipSettings(**values)
