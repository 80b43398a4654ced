"""Settings of the membership plane: the operators' `peer_plane` object, with its keys."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_balancer.membership import codec


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """The plane's knobs; times in ms.  Defaults: memberlist's LAN profile, scaled to a tier on one host."""

    period_ms: int = 200
    probe_timeout_ms: int = 80
    indirect: int = 3  # members asked to ping for us
    suspicion_mult: float = 6.0
    retransmit_mult: int = 4
    health_most: int = 8
    rejoin_every: int = 8  # one probe in so many goes to a dead member, where there is one
    verdicts_most: int = 1024
    ban_quorum: int = 1  # live peers that must hold a ban before this sidecar takes it
    ban_most: int = 4  # servers that peers' bans may leave out at once: what a lying peer can do

    def __post_init__(self) -> None:
        if not 0 < self.probe_timeout_ms < self.period_ms <= 60_000:
            raise ValueError("peer_plane: 0 < probe_timeout_ms < period_ms <= 60000 is needed")
        if not 1 <= self.ban_quorum <= codec.MEMBERS_MOST or not 0 <= self.ban_most <= codec.MEMBERS_MOST:
            raise ValueError("peer_plane: ban_quorum in 1..1024 and ban_most in 0..1024 are needed")
        if not 1 <= self.indirect <= 16 or self.suspicion_mult < 1 or self.retransmit_mult < 1:
            raise ValueError(
                "peer_plane: indirect in 1..16, suspicion_mult and retransmit_mult >= 1 are needed"
            )
