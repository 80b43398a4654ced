"""What the discovery client reports to its owner."""

from __future__ import annotations

from typing import NamedTuple

from sidecar_balancer.discovery.endpoint_list import ListUpdate


class PollFailed(NamedTuple):
    """No source answered; the owner decides when the watch begins again."""

    timed_out: bool  # the last poll took its whole time-out; else it failed earlier


WatchEvent = ListUpdate | PollFailed
