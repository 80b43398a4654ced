"""Reader of the operators' `peer_plane` object: the membership between sidecars (docs/membership.md)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from sidecar_balancer.config.values import ConfigurationError, ValueReader

if TYPE_CHECKING:
    from sidecar_balancer.membership.settings import MembershipSettings


def read_membership(raw_config: Mapping[str, Any]) -> MembershipSettings | None:
    """Return the membership settings, or None if membership is off; raises ConfigurationError."""
    if raw_config.get("peer_plane") is None:
        return None
    from sidecar_balancer.membership.settings import MembershipSettings  # imported only if configured

    defaults = asdict(MembershipSettings())
    reader = ValueReader(raw_config["peer_plane"], "peer_plane")
    reader.reject_unknown(("on", *defaults))
    numbers = {key: reader.any_number(key) for key in defaults if key in reader}
    if not reader.is_true("on"):
        return None
    try:
        return MembershipSettings(**{key: type(defaults[key])(value) for key, value in numbers.items()})
    except (ValueError, OverflowError) as error:  # int() raises both, for NaN and infinity
        raise ConfigurationError(str(error)) from None
