"""Which requests matter more: by the priority weight of their class and the quota of their tenant."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.policy.types import Flow

DEMAND_OBJECTIVES = 4.0  # demand is averaged over this many of the longest objective
_US_PER_S = 1e6


class RequestPriorities:
    """Ranks requests by class and tenant against the recent demand.

    Attributes:
        demand_by_flow: recent requests by class and tenant.
    """

    def __init__(self, settings: Settings, longest_objective_us: int) -> None:
        self.demand_by_flow: dict[Flow, Rate] = {}
        self._span_us = DEMAND_OBJECTIVES * longest_objective_us
        self._class_weights = {each.name: each.priority_weight for each in settings.classes}
        self._tenants = {each.name: each for each in settings.tenants}
        self._share_sum = sum(each.share for each in settings.tenants) or 1.0
        self._over_share_weight = settings.over_share_weight
        self._tier_demand_per_s: Mapping[str, float] = {}  # at the other balancers, by tenant

    def request_received(self, now: int, flow: Flow) -> None:
        """Count a request."""
        if flow not in self.demand_by_flow:
            self.demand_by_flow[flow] = Rate(self._span_us)
        self.demand_by_flow[flow].add(now, 1.0)

    def set_tier_demand(self, per_s: Mapping[str, float]) -> None:
        """Set the demand at the other balancers of the tier, by tenant."""
        self._tier_demand_per_s = per_s

    def rank(self, now: int, flow: Flow) -> float:
        """The part of the traffic that matters less, and half of what matters the same: 0 to 1."""
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
        """The class's weight, reduced by what its tenant requests beyond its share; rates per microsecond.

        Sidecars see different parts of the traffic, so only proportions are compared, unless the demand of
        the whole tier is known.
        """
        weight = self._class_weights.get(flow.service_class, 1.0)
        tenant = self._tenants.get(flow.tenant or "")
        if tenant is None or tenant_rate <= 0.0:
            return weight
        inside = min(1.0, total_rate * tenant.share / self._share_sum / tenant_rate)
        others_per_s = self._tier_demand_per_s.get(tenant.name)
        if others_per_s is not None and tenant.quota_per_s > 0.0:
            inside = min(1.0, tenant.quota_per_s / (others_per_s + tenant_rate * _US_PER_S))
        return weight * (inside + (1.0 - inside) * self._over_share_weight)

    def demand_per_s_by_tenant(self, now: int) -> dict[str, float]:
        """Recent requests a second by tenant, "" for none, at clock time `now`."""
        hundredths = Counter[str]()
        for (_, tenant), rate in self.demand_by_flow.items():
            hundredths[tenant or ""] += int(rate.per_us(now) * 1e8)
        return {tenant: count / 100.0 for tenant, count in hundredths.items()}
