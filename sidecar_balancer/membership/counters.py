"""Counts of the datagrams of one member."""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, field


class DropReason(enum.StrEnum):
    """Why a datagram was dropped; the values are the admin API's."""

    ADDRESS = "address"  # it came from outside the tier
    ERROR = "error"  # the socket reported an error
    MALFORMED = "malformed"
    SENDER = "sender"  # it came from this member itself or from no member
    STATE = "state"  # a state request too soon after the one before


@dataclass(slots=True)
class TrafficCounters:
    """Datagrams and bytes since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: Counter[DropReason] = field(default_factory=Counter)
