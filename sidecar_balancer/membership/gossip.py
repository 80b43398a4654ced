"""Dissemination: updates ride on every datagram until each has been sent often enough (piggybacking)."""

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
    """How many datagrams carry an update (memberlist's limit): multiplier x ceil(log10(size + 1))."""
    return multiplier * math.ceil(math.log10(size + 1))


class GossipQueue:
    """Updates to send, at most one of each member, verdict or command subject: the latest one added."""

    def __init__(self, transmits: int) -> None:
        self._transmits = transmits
        self._pending: dict[_MemberKey | VerdictKey | _CommandKey, _Pending] = {}

    def add(self, update: GossipUpdate) -> None:
        """Queue an update for its full number of transmits, in place of an earlier one of the same key."""
        self._pending[_key(update)] = _Pending(update, self._transmits)

    def encode(self, target: int, message: Message) -> bytes:
        """The datagram of `message` with as many updates as fit.

        Updates about `target` come first, that it may refute them; then those that were sent least.  A
        verdict is not sent back to its origin.
        """
        pending = [item for item in self._pending.items() if not _is_of_origin(item[1].update, target)]
        pending.sort(key=lambda item: (not _is_about(item[1].update, target), -item[1].transmits_left))
        encoded = codec.encode(message, [entry.update for _, entry in pending])
        for key, entry in pending[: encoded.included]:
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


def _is_of_origin(update: GossipUpdate, member: int) -> bool:
    return isinstance(update, VerdictUpdate) and update.origin == member


def _is_about(update: GossipUpdate, member: int) -> bool:
    return isinstance(update, MemberUpdate) and update.member == member
