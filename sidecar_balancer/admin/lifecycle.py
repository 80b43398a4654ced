"""Lifecycle state of this process, as reported by the admin API."""

from __future__ import annotations


class Lifecycle:
    """Lifecycle flags, written by the sidecar and read by the admin handlers."""

    def __init__(self) -> None:
        self.accepts_clients = False
        self.is_shutting_down = False
