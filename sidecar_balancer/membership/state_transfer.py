"""State transfer: a member that starts requests all that its peers know, and each answers in parts."""

from __future__ import annotations

from dataclasses import replace

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.messages import DatagramKind, LatencyUpdate, Message, Update
from sidecar_balancer.membership.verdict_table import VerdictTable

STATE_PARTS_MAX = 100  # datagrams of one answer
_ANSWER_INTERVAL_US = 1_000_000  # between two answers to one member


class StateTransfer:
    """Both sides of the transfer at one member; `latencies_max` bounds what is accepted.

    `own_latencies` is what this member reports: relative latency in percent by server.
    """

    def __init__(self, verdicts: VerdictTable, latencies_max: int) -> None:
        self.own_latencies: dict[str, int] = {}
        self._verdicts = verdicts
        self._latencies_max = latencies_max
        self._received_latencies: dict[str, int] = {}
        self._received_parts: dict[int, set[int]] = {}  # by sender
        self._complete = False
        self._answered_us: dict[int, int] = {}  # by member

    # -- The member that answers ------------------------------------------------------------------------

    def may_answer(self, now_us: int, requester: int) -> bool:
        """Whether the last answer to this member is long enough ago; it counts as answered from then on."""
        answered_us = self._answered_us.get(requester)
        if answered_us is not None and now_us < answered_us + _ANSWER_INTERVAL_US:
            return False
        self._answered_us[requester] = now_us
        return True

    def parts(self, now_us: int, incarnation: int) -> list[bytes]:
        """All verdicts and latencies that this member has, as datagrams; one at least."""
        remaining: list[Update] = [
            replace(update, ttl_ms=remaining_ms) for update, remaining_ms in self._verdicts.live(now_us)
        ]
        remaining += [LatencyUpdate(server, percent) for server, percent in self.own_latencies.items()]
        longest_head = Message(DatagramKind.STATE_PART, incarnation, STATE_PARTS_MAX, STATE_PARTS_MAX)
        parts: list[list[Update]] = []
        while remaining and len(parts) < STATE_PARTS_MAX:
            included = max(codec.encode(longest_head, remaining).included, 1)
            parts.append(remaining[:included])
            remaining = remaining[included:]
        return [
            codec.encode(Message(DatagramKind.STATE_PART, incarnation, index, len(parts)), part).data
            for index, part in enumerate(parts or [[]])
        ]

    # -- The member that starts -------------------------------------------------------------------------

    @property
    def complete(self) -> bool:
        """Whether every part of some member's answer has come."""
        return self._complete

    @property
    def received_latencies(self) -> dict[str, int]:
        """Relative latency in percent by server, as peers reported it."""
        return self._received_latencies

    def receive_part(self, sender: int, message: Message) -> None:
        """Note that a part has come; its updates are handled like those of any datagram."""
        received = self._received_parts.setdefault(sender, set())
        received.add(message.sequence)
        if len(received) >= message.argument:
            self._complete = True

    def receive_latency(self, update: LatencyUpdate) -> None:
        """Note a server's latency; past the bound it is dropped."""
        if len(self._received_latencies) < self._latencies_max:
            self._received_latencies[update.server] = update.percent
