"""Between the balancer and the membership plane: its verdicts go out, those of the peers come in as events.

Nothing is decided here: the balancer weighs `PeerVerdictsReceived`, `TierDemandReceived`,
`ZoneHealthCheckerChanged` and `ZoneRecovered`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from itertools import islice
from typing import Any

from sidecar_balancer.lease.fencing import CommandVerb, FencedCommand
from sidecar_balancer.lease.manager import TierLease
from sidecar_balancer.membership import admin_view
from sidecar_balancer.membership.messages import RELATIVE_LATENCY_MAX_PERCENT, WireVerdict
from sidecar_balancer.membership.tier_view import TierVerdict
from sidecar_balancer.membership.transport import MembershipTransport
from sidecar_balancer.membership.verdict_publisher import (
    RENEWAL_INTERVAL_MS,
    WIRE_VERDICTS,
    VerdictPublisher,
)
from sidecar_balancer.policy.actions import PublishServerVerdict, PublishZoneVerdict
from sidecar_balancer.policy.events import (
    Event,
    PeerServerVerdict,
    PeerVerdictsReceived,
    RestoredServer,
    StateRestored,
    TierDemandReceived,
    ZoneHealthCheckerChanged,
    ZoneRecovered,
)

log = logging.getLogger(__name__)

_STEP_S = 0.1  # how often the peers' verdicts are handed to the balancer
_STEPS_PER_RENEWAL = int(RENEWAL_INTERVAL_MS / 1000 / _STEP_S)
_STEPS_PER_EXCHANGE = 10  # of demand and latencies
_BIND_RETRY_S = 1.0
_STATE_POLL_S = 0.005  # how often a start checks whether a peer's state has come
_STATE_REQUESTS = 3  # of one start: datagrams get lost
_LATENCIES_MAX = 256  # servers whose latency is passed to a peer that starts

_SERVER_VERDICTS = {wire: verdict for verdict, wire in WIRE_VERDICTS.items()}


class MembershipBridge:
    """One sidecar's bridge.

    `handle_event` takes events for the balancer, `demand_rps` gives recent requests a second by tenant and
    `relative_latencies` the latency of each server relative to the usual one.
    """

    def __init__(
        self,
        transport: MembershipTransport,
        classes: list[str],
        handle_event: Callable[[Event], None],
        demand_rps: Callable[[], Mapping[str, float]],
        relative_latencies: Callable[[], Mapping[str, float]],
        zone_check_interval_us: int,
    ) -> None:
        self.transport = transport
        self._classes = classes
        self._handle_event = handle_event
        self._demand_rps = demand_rps
        self._relative_latencies = relative_latencies
        self._publisher = VerdictPublisher(transport, classes)
        self._tier_verdicts: list[TierVerdict] = []
        self._tier_demand: dict[str, float] = {}
        self._checks_zones: bool | None = None
        self._steps = 0
        self._steps_per_zone_check = max(round(zone_check_interval_us / 1e6 / _STEP_S), 1)
        self._timer: asyncio.TimerHandle | None = None
        self._bind_task: asyncio.Future[None] | None = None
        transport.listen_for_commands(self._receive_command)

    # -- Lifecycle --------------------------------------------------------------------------------------

    async def start(self, on_bound: Callable[[], None], failed_attempts: int = 0) -> None:
        """Bind the plane's address, then call `on_bound`.

        Retried each second: the older process of an upgrade may still have the address.
        """
        try:
            await self.transport.start()
        except OSError as error:
            if failed_attempts == 0:
                log.warning(
                    "the peer plane can't bind yet, it is tried each second: %s",
                    error,
                    extra={"event": "membership_bind_failed"},
                )
            self._timer = asyncio.get_running_loop().call_later(
                _BIND_RETRY_S, self._retry_start, on_bound, failed_attempts + 1
            )
            return
        members = self.transport.swim.members
        log.info(
            "the peer plane is bound, member %d of %d",
            members.member,
            members.size,
            extra={"event": "membership_bound"},
        )
        on_bound()
        self._step()

    def _retry_start(self, on_bound: Callable[[], None], failed_attempts: int) -> None:
        self._bind_task = asyncio.ensure_future(self.start(on_bound, failed_attempts))

    def stop(self) -> None:
        """Stop the timer and the transport."""
        if self._timer is not None:
            self._timer.cancel()
        self.transport.stop()

    async def fetch_initial_state(self, stop: asyncio.Event, timeout_s: float) -> StateRestored:
        """Request the peers' state and wait until one has answered entirely, `timeout_s` at most.

        Their verdicts go to the balancer at once.  The latencies that they learned count half, as another
        sidecar's may differ.
        """
        loop = asyncio.get_running_loop()
        transfer = self.transport.swim.transfer
        started_s, requests = loop.time(), 0
        while not transfer.complete and not stop.is_set():
            waited_s = loop.time() - started_s
            if waited_s >= timeout_s:
                break
            if waited_s >= requests * timeout_s / _STATE_REQUESTS:
                requests += 1
                self.transport.request_state()
            await asyncio.sleep(min(_STATE_POLL_S, timeout_s))
        took_ms = 1000 * (loop.time() - started_s)
        log.info(
            "warm start: %s in %.0f ms",
            "all that a peer held" if transfer.complete else "no whole answer",
            took_ms,
            extra={"event": "initial_state_fetched", "took_ms": took_ms},
        )
        self._forward_verdicts()
        latencies = {
            server: 1.0 + (percent / 100 - 1.0) / 2 for server, percent in transfer.received_latencies.items()
        }
        ejected = self.transport.swim.tier_view.ejected_servers(self.transport.now_us())
        return StateRestored(
            {
                server: RestoredServer(latencies.get(server, 1.0), int(server in ejected))
                for server in sorted({*latencies, *ejected})
            }
        )

    # -- From the balancer and the operators to the peers -----------------------------------------------

    def publish_server_verdict(self, action: PublishServerVerdict) -> None:
        """Publish what the balancer holds against a server, for one service class or all."""
        self._publisher.publish_server_verdict(action)

    def publish_zone_verdict(self, action: PublishZoneVerdict) -> None:
        """Publish that the balancer has evacuated a zone, or uses it again."""
        self._publisher.publish_zone_verdict(action)

    def set_disabled_servers(self, servers: frozenset[str]) -> None:
        """Publish which servers this sidecar's operators have disabled."""
        self._publisher.set_disabled_servers(servers)

    def _exchange_demand(self) -> None:
        self._publisher.publish_demand(self._demand_rps())
        latencies = islice(self._relative_latencies().items(), _LATENCIES_MAX)
        percentages = {
            server: max(1, min(int(ratio * 100), RELATIVE_LATENCY_MAX_PERCENT)) for server, ratio in latencies
        }
        self.transport.swim.transfer.report_latencies(percentages)
        tier_demand = self.transport.swim.tier_view.demand_rps(self.transport.now_us())
        if tier_demand != self._tier_demand:
            self._tier_demand = tier_demand
            self._handle_event(TierDemandReceived(tier_demand))

    # -- From the peers to the balancer -----------------------------------------------------------------

    def disabled_servers(self) -> frozenset[str]:
        """The servers that operators at other sidecars of the tier have disabled."""
        return self.transport.swim.tier_view.disabled_servers(self.transport.now_us())

    def _step(self) -> None:
        self._steps += 1
        if self._steps % _STEPS_PER_RENEWAL == 0:
            self._publisher.renew()
        if self._steps % _STEPS_PER_EXCHANGE == 0:
            self._exchange_demand()
        self._forward_verdicts()
        self._forward_zone_checker()
        self._timer = asyncio.get_running_loop().call_later(_STEP_S, self._step)

    def _forward_verdicts(self) -> None:
        verdicts = self.transport.swim.tier_view.verdicts(self.transport.now_us(), len(self._classes))
        if verdicts != self._tier_verdicts:
            self._tier_verdicts = verdicts
            self._handle_event(self._verdicts_event(verdicts))

    def _verdicts_event(self, verdicts: list[TierVerdict]) -> PeerVerdictsReceived:
        servers = [
            PeerServerVerdict(
                server=tier.subject,
                verdict=_SERVER_VERDICTS[tier.verdict],
                service_class=self._classes[tier.scope] if tier.scope >= 0 else None,
                peers=tier.members,
            )
            for tier in verdicts
            if tier.verdict in _SERVER_VERDICTS
        ]
        zones = {
            tier.subject: tier.members for tier in verdicts if tier.verdict is WireVerdict.ZONE_EVACUATED
        }
        return PeerVerdictsReceived(servers, zones)

    def _forward_zone_checker(self) -> None:
        if self.transport.leases is None:
            return
        checks_zones = self.transport.lease_token(TierLease.ZONES) > 0
        changed = checks_zones != self._checks_zones
        if changed:
            log.info(
                "zones are probed %s",
                "by this sidecar, for the tier" if checks_zones else "by another",
                extra={"event": "zone_health_checker_changed"},
            )
        if changed or (checks_zones and self._steps % self._steps_per_zone_check == 0):
            self._checks_zones = checks_zones
            self._handle_event(ZoneHealthCheckerChanged(checks_zones))

    def _receive_command(self, command: FencedCommand) -> None:
        if command.lease == TierLease.ZONES and command.verb == CommandVerb.ZONE_RECOVERED:
            self._handle_event(ZoneRecovered(command.subject))

    # -- For the operators ------------------------------------------------------------------------------

    def describe(self) -> dict[str, Any]:
        """The admin API's view of the members and verdicts."""
        transport = self.transport
        return admin_view.describe_membership(transport.swim, self._publisher, transport.now_us())

    def describe_leases(self) -> dict[str, Any] | None:
        """The admin API's view of the leases; None where there are none."""
        leases = self.transport.leases
        return admin_view.describe_leases(leases, self.transport.now_us()) if leases is not None else None
