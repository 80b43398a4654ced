"""Datagram counters of one member."""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, field


class DropReason(enum.StrEnum):
    """Reason for dropping a datagram; the values are names in the admin API."""

    ADDRESS = "address"  # sent from outside the tier
    ERROR = "error"  # the socket reported an error
    MALFORMED = "malformed"
    SENDER = "sender"  # the sender is this member itself or no member
    STATE = "state"  # a state request too soon after the previous one


@dataclass(slots=True)
class TrafficCounters:
    """Datagram and byte counts since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: Counter[DropReason] = field(default_factory=Counter)
