"""Membership settings; the fields are the keys of the operators' `peer_plane` object."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_balancer.membership.errors import MembershipSettingsError
from sidecar_balancer.membership.messages import MEMBERS_MAX

_PERIOD_MAX_MS = 60_000
_INDIRECT_PROBES_MAX = 16


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of SWIM and of shared state; the defaults are memberlist's LAN profile, scaled to one host.

    Raises:
        MembershipSettingsError: a value is out of range.
    """

    period_ms: int = 200
    probe_timeout_ms: int = 80
    indirect: int = 3  # members asked for an indirect probe, or for their state
    suspicion_mult: float = 6.0
    retransmit_mult: int = 4
    health_most: int = 8  # maximum of the local health score
    rejoin_every: int = 8  # one in this many probes goes to a dead member, if there is one
    verdicts_most: int = 1024  # maximum number of entries of the verdict table
    ban_quorum: int = 1  # live peers whose operators must have disabled a server before this member does
    ban_most: int = 4  # servers that peers may disable at once; limits the effect of a faulty peer

    def __post_init__(self) -> None:
        if not 0 < self.probe_timeout_ms < self.period_ms <= _PERIOD_MAX_MS:
            raise MembershipSettingsError("peer_plane: expected 0 < probe_timeout_ms < period_ms <= 60000")
        if not 1 <= self.ban_quorum <= MEMBERS_MAX or not 0 <= self.ban_most <= MEMBERS_MAX:
            raise MembershipSettingsError(
                "peer_plane: expected ban_quorum in 1..1024 and ban_most in 0..1024"
            )
        is_indirect_in_range = 1 <= self.indirect <= _INDIRECT_PROBES_MAX
        if not is_indirect_in_range or self.suspicion_mult < 1 or self.retransmit_mult < 1:
            raise MembershipSettingsError(
                "peer_plane: expected indirect in 1..16, suspicion_mult >= 1 and retransmit_mult >= 1"
            )
