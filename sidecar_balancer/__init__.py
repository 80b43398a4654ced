"""Sidecar balancer: the decisions of a sidecar balancer, by best-of-k with redraw."""

from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
