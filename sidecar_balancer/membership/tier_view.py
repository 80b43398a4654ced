"""What the live peers of a member state together: views on the verdict table, computed when read."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from sidecar_balancer.membership.member_table import MemberTable
from sidecar_balancer.membership.messages import VerdictScope, VerdictUpdate, WireVerdict
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.verdict_table import VerdictTable

_NOT_AGAINST_A_SUBJECT = (WireVerdict.CLEARED, WireVerdict.DISABLED, WireVerdict.DEMAND)
_OWN_VIEWS = (VerdictScope.DISABLED_SERVER, VerdictScope.TENANT_DEMAND)  # not part of `verdicts`
DEMAND_UNITS_PER_RPS = 100.0  # a unit of evidence is one request in 100 s
_EJECTING_PEERS_MIN = 2


class TierVerdict(NamedTuple):
    """What live members state about a subject in one scope."""

    subject: str
    scope: int
    verdict: WireVerdict  # the most frequent one
    members: int  # how many state one


class TierView:
    """The verdicts of live members other than this one."""

    def __init__(self, verdicts: VerdictTable, members: MemberTable, settings: MembershipSettings) -> None:
        self._verdicts = verdicts
        self._members = members
        self._settings = settings

    def agreeing_members(self, now_us: int, subject: str, verdict: WireVerdict) -> int:
        """How many live members other than this one state `verdict` about `subject`."""
        live = set(self._members.alive())
        matching = self._verdicts.matching(now_us, subject, verdict, self._members.member)
        return sum(update.origin in live for update in matching)

    def disabled_servers(self, now_us: int) -> frozenset[str]:
        """Servers that the operators of at least `ban_quorum` live peers have disabled.

        `ban_most` at most: those of the most peers first, then by name.
        """
        counts = Counter(
            update.subject for update in self._live(now_us) if update.verdict is WireVerdict.DISABLED
        )
        quorum, maximum = self._settings.ban_quorum, self._settings.ban_most
        chosen = sorted((-count, server) for server, count in counts.items() if count >= quorum)
        return frozenset(server for _, server in chosen[:maximum])

    def verdicts(self, now_us: int, class_count: int) -> list[TierVerdict]:
        """What live peers state against servers, classes and zones, in the order of subject and scope."""
        counts: dict[tuple[str, int], Counter[WireVerdict]] = {}
        for update in self._live(now_us):
            if update.verdict in _NOT_AGAINST_A_SUBJECT or update.scope in _OWN_VIEWS:
                continue
            if update.scope < class_count:
                counts.setdefault((update.subject, update.scope), Counter())[update.verdict] += 1
        return [
            TierVerdict(subject, scope, verdicts.most_common(1)[0][0], verdicts.total())
            for (subject, scope), verdicts in sorted(counts.items())
        ]

    def ejected_servers(self, now_us: int) -> frozenset[str]:
        """Servers that half of the live peers, and at least two of them, have ejected."""
        counts = Counter(
            update.subject for update in self._live(now_us) if update.verdict is WireVerdict.EJECTED
        )
        needed = max(_EJECTING_PEERS_MIN, len(self._members.alive()) / 2)
        return frozenset(server for server, count in counts.items() if count >= needed)

    def demand_rps(self, now_us: int) -> dict[str, float]:
        """Recent demand at the live peers together, in requests a second by tenant."""
        units = Counter[str]()
        for update in self._live(now_us):
            if update.scope == VerdictScope.TENANT_DEMAND and update.verdict is WireVerdict.DEMAND:
                units[update.subject] += update.evidence
        return {tenant: count / DEMAND_UNITS_PER_RPS for tenant, count in units.items()}

    def _live(self, now_us: int) -> list[VerdictUpdate]:
        live = set(self._members.alive())
        return [update for update, _ in self._verdicts.live(now_us) if update.origin in live]
