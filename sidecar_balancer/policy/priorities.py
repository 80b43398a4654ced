"""Request priorities by the priority weight of the class and the share and quota of the tenant."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.policy.types import Flow

DEMAND_OBJECTIVES = 4.0  # demand is averaged over this many longest objectives
_US_PER_S = 1e6


class RequestPriorities:
    """Ranks requests by class and tenant against the recent demand.

    Attributes:
        demand_by_flow: recent request rates by class and tenant.
    """

    def __init__(self, settings: Settings, longest_objective_us: int) -> None:
        self.demand_by_flow: dict[Flow, Rate] = {}
        self._span_us = DEMAND_OBJECTIVES * longest_objective_us
        self._class_weights = {each.name: each.priority_weight for each in settings.classes}
        self._tenants = {each.name: each for each in settings.tenants}
        self._share_sum = sum(each.share for each in settings.tenants) or 1.0
        self._over_share_weight = settings.over_share_weight
        # Demand at the other balancers of the tier, by tenant
        self._tier_demand_per_s: Mapping[str, float] = {}

    def request_received(self, now: int, flow: Flow) -> None:
        """Count a request."""
        if flow not in self.demand_by_flow:
            self.demand_by_flow[flow] = Rate(self._span_us)
        self.demand_by_flow[flow].add(now, 1.0)

    def set_tier_demand(self, per_s: Mapping[str, float]) -> None:
        """Set the demand at the other balancers of the tier, by tenant."""
        self._tier_demand_per_s = per_s

    def rank(self, now: int, flow: Flow) -> float:
        """Return the fraction of traffic of lower weight, plus half of that of equal weight: 0 to 1."""
        rates = {each: rate.per_us(now) for each, rate in self.demand_by_flow.items()}
        total = sum(rates.values())
        tenant_rates = dict[str | None, float]()
        for (_, tenant), rate in rates.items():
            tenant_rates[tenant] = tenant_rates.get(tenant, 0.0) + rate
        weights = {each: self.weight(each, tenant_rates[each.tenant], total) for each in rates}
        own = weights[flow]
        below = sum(rate for each, rate in rates.items() if weights[each] < own)
        same = sum(rate for each, rate in rates.items() if weights[each] == own)
        return (below + 0.5 * same) / total if total > 0.0 else 0.5

    def weight(self, flow: Flow, tenant_rate: float, total_rate: float) -> float:
        """Return the class's weight, reduced for its tenant's demand beyond its share; rates per microsecond.

        Each sidecar sees a different part of the traffic, so only proportions are compared, unless the
        demand of the whole tier is known.
        """
        weight = self._class_weights.get(flow.service_class, 1.0)
        tenant = self._tenants.get(flow.tenant or "")
        if tenant is None or tenant_rate <= 0.0:
            return weight
        within_share = min(1.0, total_rate * tenant.share / self._share_sum / tenant_rate)
        others_per_s = self._tier_demand_per_s.get(tenant.name)
        if others_per_s is not None and tenant.quota_per_s > 0.0:
            within_share = min(1.0, tenant.quota_per_s / (others_per_s + tenant_rate * _US_PER_S))
        return weight * (within_share + (1.0 - within_share) * self._over_share_weight)

    def demand_per_s_by_tenant(self, now: int) -> dict[str, float]:
        """Return recent requests per second by tenant ("" for none) at clock time `now`."""
        hundredths = Counter[str]()
        for (_, tenant), rate in self.demand_by_flow.items():
            hundredths[tenant or ""] += int(rate.per_us(now) * 1e8)
        return {tenant: count / 100.0 for tenant, count in hundredths.items()}
