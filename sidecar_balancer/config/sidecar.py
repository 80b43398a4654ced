"""The configuration of a sidecar."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.sources import RelayAddress, rank_relays
from sidecar_balancer.observability.logs import LogConfig
from sidecar_balancer.policy.settings import Settings

if TYPE_CHECKING:  # loaded only where membership is configured: starts cost CPU
    from sidecar_balancer.lease.protocol import LeaseTiming
    from sidecar_balancer.membership.settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class StateConfig:
    """What is persisted across a crash, and where (docs/recovery.md)."""

    folder: Path
    max_bytes: int
    tier_folder: Path | None = None  # shared by all sidecars of the tier, for the tier's snapshot
    interval_ms: int = 1_000
    warm_start_timeout_ms: int = 500  # how long a start without state on disk waits for that of its peers


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """The configuration of a sidecar; what is None is off."""

    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    settings: Settings
    initial_endpoints: ListUpdate
    memory_mb: int = 64
    overrides_folder: Path = Path()  # survives this process
    admin_address: Address | None = None
    inherited_listener_fd: int | None = None  # the listening socket, where the platform holds it
    membership_address: Address | None = None  # where peers' datagrams arrive
    member_addresses: tuple[Address, ...] = ()  # of all members, this one included, by member number
    membership: MembershipSettings | None = None
    logging: LogConfig = field(default_factory=LogConfig)
    state: StateConfig | None = None
    leases: LeaseTiming | None = None
    identity: str = ""  # this sidecar's name, by which the sidecars spread over the relays
    relays: tuple[RelayAddress, ...] = ()  # used in place of `discovery`, where there are any

    def discovery_addresses(self) -> list[Address]:
        """Return where the endpoint list is fetched, in order of preference."""
        if not self.relays:
            return [self.discovery]
        identity = self.identity or "{}:{}".format(*self.listen)
        return rank_relays(self.relays, identity, self.settings.zone)
