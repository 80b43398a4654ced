"""What a sidecar is told, read and checked."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.sources import RelayAddress, rank_relays
from sidecar_balancer.observability.logs import LogConfig
from sidecar_balancer.policy.settings import Settings

if TYPE_CHECKING:  # loaded where the plane is on: a start without it costs no more CPU
    from sidecar_balancer.lease.protocol import LeaseTiming
    from sidecar_balancer.membership.settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class StateConfig:
    """What is kept across a crash, and where (docs/recovery.md)."""

    folder: Path
    max_bytes: int
    tier_folder: Path | None = None  # one that all sidecars of the tier see, for the tier's snapshot
    interval_ms: int = 1000
    warm_start_timeout_ms: int = 500  # how long a start with nothing kept waits for its peers' state


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """All that a sidecar is told."""

    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    settings: Settings
    initial_endpoints: ListUpdate
    memory_mb: int = 64
    overrides_folder: Path = Path()  # a folder that outlasts this process
    admin_address: Address | None = None  # where the operators call; None: nowhere
    inherited_listener_fd: int | None = None  # the listening socket, where the platform holds it
    membership_address: Address | None = None  # where peers' datagrams come in
    member_addresses: tuple[Address, ...] = ()  # the tier's, this one's own included, by number
    membership: MembershipSettings | None = None  # None: the peer plane is off
    logging: LogConfig = field(default_factory=LogConfig)
    state: StateConfig | None = None  # None: nothing is kept across a crash but the orders
    leases: LeaseTiming | None = None  # of the leases of the tier's duties; None: there are none
    identity: str = ""  # this sidecar's name, by which it spreads over the relays
    relays: tuple[RelayAddress, ...] = ()  # asked in place of discovery, where there are any

    def discovery_addresses(self) -> list[Address]:
        """Where the list of servers is asked for, in order of preference."""
        if not self.relays:
            return [self.discovery]
        identity = self.identity or "{}:{}".format(*self.listen)
        return rank_relays(self.relays, identity, self.settings.zone)
