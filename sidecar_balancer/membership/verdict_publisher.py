"""Publisher of the verdicts of this sidecar's balancer and operators on servers and zones.

A verdict is published at once and renewed every third of its time to live while it applies.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from sidecar_balancer.lease.fencing import CommandVerb
from sidecar_balancer.lease.manager import TierLease
from sidecar_balancer.membership.messages import EVIDENCE_MAX, NAME_MAX_BYTES, VerdictScope, WireVerdict
from sidecar_balancer.membership.tier_view import DEMAND_UNITS_PER_RPS
from sidecar_balancer.membership.transport import MembershipTransport
from sidecar_balancer.policy.actions import PublishServerVerdict, PublishZoneVerdict
from sidecar_balancer.policy.types import ServerVerdict, ZoneVerdict

VERDICT_TTL_MS = 15_000
RENEWAL_INTERVAL_MS = VERDICT_TTL_MS // 3
PUBLISHED_VERDICTS_MAX = 256

WIRE_VERDICTS = {
    ServerVerdict.EJECTED: WireVerdict.EJECTED,
    ServerVerdict.SLOW: WireVerdict.SLOW,
    ServerVerdict.REJECTING: WireVerdict.REJECTING,
    ServerVerdict.FAILING: WireVerdict.FAILING,
    ServerVerdict.CLEARED: WireVerdict.CLEARED,
}


class PublishedKey(NamedTuple):
    """Subject and scope of a published verdict."""

    subject: str
    scope: int


class _Published(NamedTuple):
    verdict: WireVerdict
    evidence: int


class VerdictPublisher:
    """Publisher of one sidecar; `classes` are the service classes in the order of the settings."""

    def __init__(self, transport: MembershipTransport, classes: list[str]) -> None:
        self._transport = transport
        self._classes = classes
        self._published: dict[PublishedKey, _Published] = {}
        self._unpublished_count = 0
        self._disabled_servers: frozenset[str] = frozenset()

    def publish_server_verdict(self, action: PublishServerVerdict) -> None:
        """Publish the balancer's verdict on a server, for one service class or all."""
        scope: int = VerdictScope.ALL_CLASSES
        if action.service_class is not None:
            if action.service_class not in self._classes:
                return
            scope = self._classes.index(action.service_class)
        self._publish(PublishedKey(action.server, scope), WIRE_VERDICTS[action.verdict], action.evidence)

    def publish_zone_verdict(self, action: PublishZoneVerdict) -> None:
        """Publish that the balancer has evacuated a zone or uses it again."""
        key = PublishedKey(action.zone, VerdictScope.ZONE)
        if action.verdict is ZoneVerdict.EVACUATED:
            self._publish(key, WireVerdict.ZONE_EVACUATED, action.evidence)
            return
        # Broadcast only if this sidecar holds the lease.
        self._transport.issue_command(TierLease.ZONES, action.zone, CommandVerb.ZONE_RECOVERED)
        if self._published.pop(key, None) is not None:
            self._send(key, WireVerdict.CLEARED, 1)

    def set_disabled_servers(self, servers: frozenset[str]) -> None:
        """Publish the servers that this sidecar's operators have disabled or enabled again."""
        for server in servers - self._disabled_servers:
            self._send_disabled(server, WireVerdict.DISABLED)
        for server in self._disabled_servers - servers:
            self._send_disabled(server, WireVerdict.CLEARED)
        self._disabled_servers = servers

    def renew(self) -> None:
        """Publish all current verdicts and disabled servers again."""
        for key, (verdict, evidence) in self._published.items():
            self._send(key, verdict, evidence)
        for server in self._disabled_servers:
            self._send_disabled(server, WireVerdict.DISABLED)

    def publish_demand(self, rps_by_tenant: Mapping[str, float]) -> None:
        """Publish the recent demand of each tenant whose name fits into a datagram."""
        for tenant, rps in rps_by_tenant.items():
            if tenant and len(tenant.encode()) <= NAME_MAX_BYTES:
                units = min(int(rps * DEMAND_UNITS_PER_RPS), EVIDENCE_MAX)
                self._transport.publish(
                    tenant, WireVerdict.DEMAND, units, RENEWAL_INTERVAL_MS, VerdictScope.TENANT_DEMAND
                )

    def published(self) -> dict[PublishedKey, WireVerdict]:
        """Return the published verdicts of the balancer that currently apply."""
        return {key: published.verdict for key, published in self._published.items()}

    @property
    def unpublished_count(self) -> int:
        """Verdicts not published because `PUBLISHED_VERDICTS_MAX` others applied."""
        return self._unpublished_count

    def _publish(self, key: PublishedKey, verdict: WireVerdict, evidence: int) -> None:
        if verdict is WireVerdict.CLEARED:
            self._published.pop(key, None)
        elif len(self._published) >= PUBLISHED_VERDICTS_MAX and key not in self._published:
            self._unpublished_count += 1
            return
        else:
            self._published[key] = _Published(verdict, evidence)
        self._send(key, verdict, evidence)

    def _send(self, key: PublishedKey, verdict: WireVerdict, evidence: int) -> None:
        self._transport.publish(key.subject, verdict, evidence, VERDICT_TTL_MS, key.scope)

    def _send_disabled(self, server: str, verdict: WireVerdict) -> None:
        self._send(PublishedKey(server, VerdictScope.DISABLED_SERVER), verdict, 1)
