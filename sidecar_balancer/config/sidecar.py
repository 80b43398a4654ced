"""Configuration of a sidecar."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.sources import RelayAddress, rank_relays
from sidecar_balancer.observability.logs import LogConfig
from sidecar_balancer.policy.settings import Settings

if TYPE_CHECKING:  # imported at run time only if membership is configured, to save CPU at startup
    from sidecar_balancer.lease.protocol import LeaseTiming
    from sidecar_balancer.membership.settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class StateConfig:
    """Settings of the state that is persisted across a crash (docs/recovery.md)."""

    folder: Path
    max_bytes: int
    tier_folder: Path | None = None  # shared by all sidecars of the tier; holds the tier snapshot
    interval_ms: int = 1_000
    warm_start_timeout_ms: int = 500  # how long startup without state on disk waits for that of its peers


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """Configuration of a sidecar; an optional subsystem whose field is None is off."""

    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    settings: Settings
    initial_endpoints: ListUpdate
    memory_mb: int = 64
    overrides_folder: Path = Path()  # folder of the operator overrides, which outlive this process
    shared_folder: Path | None = None  # shared by both processes of an upgrade
    admin_address: Address | None = None
    inherited_listener_fd: int | None = None  # the listening socket, if the platform holds it
    membership_address: Address | None = None  # address that receives peers' datagrams
    member_addresses: tuple[Address, ...] = ()  # all members, including this one, indexed by member number
    membership: MembershipSettings | None = None
    logging: LogConfig = field(default_factory=LogConfig)
    state: StateConfig | None = None
    leases: LeaseTiming | None = None
    identity: str = ""  # this sidecar's name, used to spread the sidecars over the relays
    relays: tuple[RelayAddress, ...] = ()  # used in place of `discovery` if not empty

    def discovery_addresses(self) -> list[Address]:
        """Return the addresses to fetch the endpoint list from, in order of preference."""
        if not self.relays:
            return [self.discovery]
        identity = self.identity or "{}:{}".format(*self.listen)
        return rank_relays(self.relays, identity, self.settings.zone)
