"""Settings of the membership plane: the operators' `peer_plane` object, with its keys."""

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
    indirect: int = 3  # members that are asked for an indirect probe, or for their state
    suspicion_mult: float = 6.0
    retransmit_mult: int = 4
    health_most: int = 8  # the local health score's maximum
    rejoin_every: int = 8  # one probe in so many goes to a dead member, where there is one
    verdicts_most: int = 1024  # entries of the verdict table
    ban_quorum: int = 1  # live peers whose operators must have disabled a server before this member does
    ban_most: int = 4  # servers that peers may disable at once: the bound on a faulty peer

    def __post_init__(self) -> None:
        if not 0 < self.probe_timeout_ms < self.period_ms <= _PERIOD_MAX_MS:
            raise MembershipSettingsError("peer_plane: 0 < probe_timeout_ms < period_ms <= 60000 is needed")
        if not 1 <= self.ban_quorum <= MEMBERS_MAX or not 0 <= self.ban_most <= MEMBERS_MAX:
            raise MembershipSettingsError(
                "peer_plane: ban_quorum in 1..1024 and ban_most in 0..1024 are needed"
            )
        indirect_fits = 1 <= self.indirect <= _INDIRECT_PROBES_MAX
        if not indirect_fits or self.suspicion_mult < 1 or self.retransmit_mult < 1:
            raise MembershipSettingsError(
                "peer_plane: indirect in 1..16, suspicion_mult and retransmit_mult >= 1 are needed"
            )
