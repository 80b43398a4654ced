"""Bridge between the balancer and its peers: publishes its verdicts, delivers the peers' verdicts as events.

It makes no decisions: the balancer evaluates `PeerVerdictsReceived`, `TierDemandReceived`,
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

_TICK_INTERVAL_S = 0.1  # interval at which the peers' verdicts are passed to the balancer
_TICKS_PER_RENEWAL = int(RENEWAL_INTERVAL_MS / 1000 / _TICK_INTERVAL_S)
_TICKS_PER_EXCHANGE = 10  # ticks between two exchanges of demand and relative latencies
_BIND_RETRY_S = 1.0
_STATE_POLL_INTERVAL_S = 0.005  # interval at which a starting member checks for a peer's state
_STATE_REQUESTS_MAX = 3  # maximum number of state requests per start, as datagrams may be lost
_LATENCIES_MAX = 256  # maximum number of servers whose relative latency is sent to a starting peer

_SERVER_VERDICTS = {wire: verdict for verdict, wire in WIRE_VERDICTS.items()}


class MembershipBridge:
    """Bridge of one sidecar.

    `handle_event` passes events to the balancer, `demand_rps` returns the recent requests per second by
    tenant and `relative_latencies` the latency of each server relative to the baseline latency.
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
        self._is_zone_health_checker: bool | None = None
        self._tick_count = 0
        self._ticks_per_zone_check = max(round(zone_check_interval_us / 1e6 / _TICK_INTERVAL_S), 1)
        self._timer: asyncio.TimerHandle | None = None
        self._bind_task: asyncio.Future[None] | None = None
        transport.listen_for_commands(self._receive_command)

    # -- Lifecycle --------------------------------------------------------------------------------------

    async def start(self, on_bound: Callable[[], None], failed_attempts: int = 0) -> None:
        """Bind the membership address, then call `on_bound`.

        A failed bind is retried every second: the old process of an upgrade may still hold the address.
        """
        try:
            await self.transport.start()
        except OSError as error:
            if failed_attempts == 0:
                log.warning(
                    "cannot bind the membership address, retrying every second: %s",
                    error,
                    extra={"event": "membership_bind_failed"},
                )
            self._timer = asyncio.get_running_loop().call_later(
                _BIND_RETRY_S, self._retry_start, on_bound, failed_attempts + 1
            )
            return
        members = self.transport.swim.members
        log.info(
            "bound the membership address as member %d of %d",
            members.member,
            members.size,
            extra={"event": "membership_bound"},
        )
        on_bound()
        self._tick()

    def _retry_start(self, on_bound: Callable[[], None], failed_attempts: int) -> None:
        self._bind_task = asyncio.ensure_future(self.start(on_bound, failed_attempts))

    def stop(self) -> None:
        """Stop the timer and the transport."""
        if self._timer is not None:
            self._timer.cancel()
        self.transport.stop()

    async def fetch_initial_state(self, stop: asyncio.Event, timeout_s: float) -> StateRestored:
        """Request the peers' state and wait, for at most `timeout_s`, until one has answered in full.

        Their verdicts are passed to the balancer at once.  The deviations of their relative latencies from 1
        are halved, as another sidecar's latencies may differ.
        """
        loop = asyncio.get_running_loop()
        transfer = self.transport.swim.transfer
        started_s, requests = loop.time(), 0
        while not transfer.complete and not stop.is_set():
            waited_s = loop.time() - started_s
            if waited_s >= timeout_s:
                break
            if waited_s >= requests * timeout_s / _STATE_REQUESTS_MAX:
                requests += 1
                self.transport.request_state()
            await asyncio.sleep(min(_STATE_POLL_INTERVAL_S, timeout_s))
        took_ms = 1000 * (loop.time() - started_s)
        log.info(
            "initial state from peers is %s after %.0f ms",
            "complete" if transfer.complete else "incomplete",
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
        """Publish the balancer's verdict on a server, for one service class or all."""
        self._publisher.publish_server_verdict(action)

    def publish_zone_verdict(self, action: PublishZoneVerdict) -> None:
        """Publish that the balancer has evacuated a zone or uses it again."""
        self._publisher.publish_zone_verdict(action)

    def set_disabled_servers(self, servers: frozenset[str]) -> None:
        """Publish the servers that this sidecar's operators have disabled."""
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
        """Return the servers that operators of other sidecars in the tier have disabled."""
        return self.transport.swim.tier_view.disabled_servers(self.transport.now_us())

    def _tick(self) -> None:
        self._tick_count += 1
        if self._tick_count % _TICKS_PER_RENEWAL == 0:
            self._publisher.renew()
        if self._tick_count % _TICKS_PER_EXCHANGE == 0:
            self._exchange_demand()
        self._forward_verdicts()
        self._forward_zone_health_checker()
        self._timer = asyncio.get_running_loop().call_later(_TICK_INTERVAL_S, self._tick)

    def _forward_verdicts(self) -> None:
        verdicts = self.transport.swim.tier_view.verdicts(self.transport.now_us(), len(self._classes))
        if verdicts != self._tier_verdicts:
            self._tier_verdicts = verdicts
            self._handle_event(self._verdicts_event(verdicts))

    def _verdicts_event(self, verdicts: list[TierVerdict]) -> PeerVerdictsReceived:
        servers = [
            PeerServerVerdict(
                server=tier_verdict.subject,
                verdict=_SERVER_VERDICTS[tier_verdict.verdict],
                service_class=self._classes[tier_verdict.scope] if tier_verdict.scope >= 0 else None,
                peers=tier_verdict.members,
            )
            for tier_verdict in verdicts
            if tier_verdict.verdict in _SERVER_VERDICTS
        ]
        zones = {
            tier_verdict.subject: tier_verdict.members
            for tier_verdict in verdicts
            if tier_verdict.verdict is WireVerdict.ZONE_EVACUATED
        }
        return PeerVerdictsReceived(servers, zones)

    def _forward_zone_health_checker(self) -> None:
        if self.transport.leases is None:
            return
        is_zone_health_checker = self.transport.lease_token(TierLease.ZONES) > 0
        changed = is_zone_health_checker != self._is_zone_health_checker
        if changed:
            log.info(
                "evacuated zones are health-checked by %s",
                "this sidecar, for the tier" if is_zone_health_checker else "another sidecar",
                extra={"event": "zone_health_checker_changed"},
            )
        if changed or (is_zone_health_checker and self._tick_count % self._ticks_per_zone_check == 0):
            self._is_zone_health_checker = is_zone_health_checker
            self._handle_event(ZoneHealthCheckerChanged(is_zone_health_checker))

    def _receive_command(self, command: FencedCommand) -> None:
        if command.lease == TierLease.ZONES and command.verb == CommandVerb.ZONE_RECOVERED:
            self._handle_event(ZoneRecovered(command.subject))

    # -- Admin API --------------------------------------------------------------------------------------

    def describe(self) -> dict[str, Any]:
        """Return the admin API's view of the members and verdicts."""
        transport = self.transport
        return admin_view.describe_membership(transport.swim, self._publisher, transport.now_us())

    def describe_leases(self) -> dict[str, Any] | None:
        """Return the admin API's view of the leases, or None if leases are off."""
        leases = self.transport.leases
        return admin_view.describe_leases(leases, self.transport.now_us()) if leases is not None else None
