"""Where this process stands between its start and its end, as the admin API reports it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Lifecycle:
    """Written by the sidecar, read by the admin handlers."""

    accepts_clients: bool = False
    is_shutting_down: bool = False
