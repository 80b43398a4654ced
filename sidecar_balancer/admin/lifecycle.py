"""Where this process stands between its start and its end, as the admin API reports it."""

from __future__ import annotations


class Lifecycle:
    """Written by the sidecar, read by the admin handlers."""

    def __init__(self) -> None:
        self.accepts_clients = False
        self.is_shutting_down = False
