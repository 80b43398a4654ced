"""Weirlock: a sidecar load balancer (docs/ARCHITECTURE.md)."""

__version__ = "0.1.0"
