"""Gossip: updates are piggybacked on outgoing datagrams until each reaches its transmit limit."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from sidecar_balancer.lease.fencing import FencedCommand
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.messages import MemberUpdate, Message, VerdictUpdate
from sidecar_balancer.membership.verdict_table import VerdictKey

GossipUpdate = MemberUpdate | VerdictUpdate | FencedCommand


class _MemberKey(NamedTuple):
    member: int


class _CommandKey(NamedTuple):
    lease: int
    subject: str


@dataclass(slots=True)
class _Pending:
    update: GossipUpdate
    transmits_left: int


def transmit_limit(size: int, multiplier: int) -> int:
    """Return how many datagrams carry an update (memberlist's limit): multiplier x ceil(log10(size + 1))."""
    return multiplier * math.ceil(math.log10(size + 1))


class GossipQueue:
    """Queue of updates to send, with only the latest one per member, verdict or command subject."""

    def __init__(self, transmits_per_update: int) -> None:
        self._transmits_per_update = transmits_per_update
        self._pending: dict[_MemberKey | VerdictKey | _CommandKey, _Pending] = {}

    def add(self, update: GossipUpdate) -> None:
        """Queue an update for its full number of transmits, replacing an earlier one with the same key."""
        self._pending[_key(update)] = _Pending(update, self._transmits_per_update)

    def encode(self, target: int, message: Message) -> bytes:
        """Return the datagram of `message` with as many updates as fit.

        Updates about `target` come first, so that it can refute them, then those sent the fewest times.  A
        verdict is not sent back to its origin.
        """
        pending = [item for item in self._pending.items() if not _originates_from(item[1].update, target)]
        pending.sort(key=lambda item: (not _is_about(item[1].update, target), -item[1].transmits_left))
        encoded = codec.encode(message, [entry.update for _, entry in pending])
        for key, entry in pending[: encoded.included_count]:
            entry.transmits_left -= 1
            if entry.transmits_left <= 0:
                del self._pending[key]
        return encoded.data


def _key(update: GossipUpdate) -> _MemberKey | VerdictKey | _CommandKey:
    match update:
        case MemberUpdate():
            return _MemberKey(update.member)
        case VerdictUpdate():
            return VerdictKey.of(update)
        case FencedCommand():
            return _CommandKey(update.lease, update.subject)


def _originates_from(update: GossipUpdate, member: int) -> bool:
    return isinstance(update, VerdictUpdate) and update.origin == member


def _is_about(update: GossipUpdate, member: int) -> bool:
    return isinstance(update, MemberUpdate) and update.member == member
