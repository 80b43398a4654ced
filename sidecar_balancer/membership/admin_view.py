"""Membership and leases in the admin API, under its own names (docs/membership.md, docs/leases.md)."""

from __future__ import annotations

from typing import Any

from sidecar_balancer.lease.manager import LeaseManager, TierLease
from sidecar_balancer.membership.messages import MemberStatus, WireVerdict
from sidecar_balancer.membership.swim import Swim
from sidecar_balancer.membership.verdict_publisher import VerdictPublisher

VERDICT_NAMES = {
    WireVerdict.EJECTED: "ejected",
    WireVerdict.SLOW: "slow",
    WireVerdict.REJECTING: "full",
    WireVerdict.CLEARED: "cleared",
    WireVerdict.FAILING: "failing",
    WireVerdict.DISABLED: "banned",
    WireVerdict.ZONE_EVACUATED: "zone_left",
    WireVerdict.DEMAND: "asks",
    WireVerdict.ZONE_RECOVERED: "zone_back",
}
MEMBER_STATUS_NAMES = {
    MemberStatus.ALIVE: "alive",
    MemberStatus.SUSPECT: "suspect",
    MemberStatus.DEAD: "dead",
}
LEASE_NAMES = {TierLease.ZONES: "zones", TierLease.SNAPSHOT: "snapshot"}


def describe_membership(swim: Swim, publisher: VerdictPublisher, now_us: int) -> dict[str, Any]:
    """Return the JSON of `GET /api/members`, without the servers that operators disabled."""
    counters = swim.counters
    published = {
        f"{key.subject} {int(key.scope)}": VERDICT_NAMES[verdict]
        for key, verdict in publisher.published().items()
    }
    return {
        "me": swim.members.member,
        "incarnation": swim.members.incarnation,
        "health": swim.health.score,
        "members": {
            str(number): [MEMBER_STATUS_NAMES[status], incarnation]
            for number, (status, incarnation) in swim.members.view().items()
        },
        "sent": [counters.sent, counters.sent_bytes],
        "received": [counters.received, counters.received_bytes],
        "dropped": dict(counters.dropped),
        "verdicts": [
            [update.origin, update.subject, VERDICT_NAMES[update.verdict], update.scope, remaining_ms]
            for update, remaining_ms in swim.verdicts.live(now_us)
        ],
        "evicted": swim.verdicts.evicted_count,
        "told": published,
        "untold": publisher.unpublished_count,
    }


def describe_leases(leases: LeaseManager, now_us: int) -> dict[str, Any]:
    """Return the JSON of `GET /api/duties`."""
    counters = leases.counters
    return {
        "held": {name: leases.token(lease, now_us) for lease, name in LEASE_NAMES.items()},
        "highest": {LEASE_NAMES[lease]: epoch for lease, epoch in leases.highest_epochs().items()},
        "acts": [
            [command.issued_us, LEASE_NAMES[command.lease], command.token, command.subject]
            for command in leases.issued_commands
        ],
        "taken": leases.accepted_count,
        "fenced": leases.fenced_count,
        "asked": counters.requested,
        "granted": counters.granted,
        "refused": counters.rejected,
    }
