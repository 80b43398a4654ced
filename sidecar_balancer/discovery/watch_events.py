"""Events that the discovery client reports to its owner."""

from __future__ import annotations

from typing import NamedTuple

from sidecar_balancer.discovery.endpoint_list import ListUpdate


class PollFailed(NamedTuple):
    """All sources failed, or an update could not be applied; the owner decides when to watch again."""

    timed_out: bool  # whether the last poll reached its timeout; if not, it failed earlier


WatchEvent = ListUpdate | PollFailed
