"""Aggregates of the verdicts of a member's live peers, computed from the verdict table on each read."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from sidecar_balancer.membership.member_table import MemberTable
from sidecar_balancer.membership.messages import VerdictScope, VerdictUpdate, WireVerdict
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.verdict_table import VerdictTable

_EXCLUDED_VERDICTS = (WireVerdict.CLEARED, WireVerdict.DISABLED, WireVerdict.DEMAND)
_EXCLUDED_SCOPES = (VerdictScope.DISABLED_SERVER, VerdictScope.TENANT_DEMAND)  # scopes that `verdicts` omits
DEMAND_UNITS_PER_RPS = 100.0  # a unit of evidence is one request in 100 s
_EJECTING_PEERS_MIN = 2


class TierVerdict(NamedTuple):
    """Aggregate of the live members' verdicts on a subject in one scope."""

    subject: str
    scope: int
    verdict: WireVerdict  # the most frequent verdict
    members: int  # number of members that have a verdict


class TierView:
    """Aggregated verdicts of live members other than this one."""

    def __init__(self, verdicts: VerdictTable, members: MemberTable, settings: MembershipSettings) -> None:
        self._verdicts = verdicts
        self._members = members
        self._settings = settings

    def agreeing_members(self, now_us: int, subject: str, verdict: WireVerdict) -> int:
        """Return how many live members other than this one have `verdict` on `subject`."""
        live = set(self._members.alive())
        matching = self._verdicts.matching(now_us, subject, verdict, self._members.member)
        return sum(update.origin in live for update in matching)

    def disabled_servers(self, now_us: int) -> frozenset[str]:
        """Return the servers that the operators of at least `ban_quorum` live peers have disabled.

        At most `ban_most` are returned: those disabled at the most peers first, then by name.
        """
        counts = Counter(
            update.subject for update in self._live(now_us) if update.verdict is WireVerdict.DISABLED
        )
        quorum, maximum = self._settings.ban_quorum, self._settings.ban_most
        chosen = sorted((-count, server) for server, count in counts.items() if count >= quorum)
        return frozenset(server for _, server in chosen[:maximum])

    def verdicts(self, now_us: int, class_count: int) -> list[TierVerdict]:
        """Return the verdicts of live peers against servers, classes and zones, by subject and scope."""
        counts: dict[tuple[str, int], Counter[WireVerdict]] = {}
        for update in self._live(now_us):
            if update.verdict in _EXCLUDED_VERDICTS or update.scope in _EXCLUDED_SCOPES:
                continue
            if update.scope < class_count:
                counts.setdefault((update.subject, update.scope), Counter())[update.verdict] += 1
        return [
            TierVerdict(subject, scope, verdicts.most_common(1)[0][0], verdicts.total())
            for (subject, scope), verdicts in sorted(counts.items())
        ]

    def ejected_servers(self, now_us: int) -> frozenset[str]:
        """Return the servers that at least half of the live peers, and at least two, have ejected."""
        counts = Counter(
            update.subject for update in self._live(now_us) if update.verdict is WireVerdict.EJECTED
        )
        required = max(_EJECTING_PEERS_MIN, len(self._members.alive()) / 2)
        return frozenset(server for server, count in counts.items() if count >= required)

    def demand_rps(self, now_us: int) -> dict[str, float]:
        """Return the total recent demand at the live peers, in requests per second by tenant."""
        units = Counter[str]()
        for update in self._live(now_us):
            if update.scope == VerdictScope.TENANT_DEMAND and update.verdict is WireVerdict.DEMAND:
                units[update.subject] += update.evidence
        return {tenant: count / DEMAND_UNITS_PER_RPS for tenant, count in units.items()}

    def _live(self, now_us: int) -> list[VerdictUpdate]:
        live = set(self._members.alive())
        return [update for update, _ in self._verdicts.live(now_us) if update.origin in live]
