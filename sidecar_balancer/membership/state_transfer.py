"""State transfer: a starting member requests the state of its peers, and each answers in several parts."""

from __future__ import annotations

from dataclasses import replace

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.messages import DatagramKind, LatencyUpdate, Message, Update
from sidecar_balancer.membership.verdict_table import VerdictTable

STATE_PARTS_MAX = 100  # maximum number of datagrams per answer
_ANSWER_INTERVAL_US = 1_000_000  # minimum time between two answers to one member


class StateTransfer:
    """Both sides of the transfer at one member, which accepts at most `latencies_max` latencies."""

    def __init__(self, verdicts: VerdictTable, latencies_max: int) -> None:
        self._verdicts = verdicts
        self._latencies_max = latencies_max
        self._own_latencies: dict[str, int] = {}
        self._received_latencies: dict[str, int] = {}
        self._received_parts: dict[int, set[int]] = {}  # indexes of the received parts, by sender
        self._complete = False
        self._answered_us: dict[int, int] = {}  # time of the last answer, by member

    # -- Answering member -------------------------------------------------------------------------------

    def report_latencies(self, latencies: dict[str, int]) -> None:
        """Set the latencies of future answers: relative latency in percent by server."""
        self._own_latencies = latencies

    def admit_request(self, now_us: int, requester: int) -> bool:
        """Return whether the last answer to this member is long enough ago; if so, record a new answer."""
        answered_us = self._answered_us.get(requester)
        if answered_us is not None and now_us < answered_us + _ANSWER_INTERVAL_US:
            return False
        self._answered_us[requester] = now_us
        return True

    def parts(self, now_us: int, incarnation: int) -> list[bytes]:
        """Return all verdicts and latencies of this member as datagrams, at least one."""
        remaining: list[Update] = [
            replace(update, ttl_ms=remaining_ms) for update, remaining_ms in self._verdicts.live(now_us)
        ]
        remaining += [LatencyUpdate(server, percent) for server, percent in self._own_latencies.items()]
        longest_header = Message(DatagramKind.STATE_PART, incarnation, STATE_PARTS_MAX, STATE_PARTS_MAX)
        parts: list[list[Update]] = []
        while remaining and len(parts) < STATE_PARTS_MAX:
            included_count = max(codec.encode(longest_header, remaining).included_count, 1)
            parts.append(remaining[:included_count])
            remaining = remaining[included_count:]
        return [
            codec.encode(Message(DatagramKind.STATE_PART, incarnation, index, len(parts)), part).data
            for index, part in enumerate(parts or [[]])
        ]

    # -- Starting member --------------------------------------------------------------------------------

    @property
    def complete(self) -> bool:
        """Whether every part of some member's answer has arrived."""
        return self._complete

    @property
    def received_latencies(self) -> dict[str, int]:
        """Relative latency in percent by server, as reported by peers."""
        return self._received_latencies

    def receive_part(self, sender: int, message: Message) -> None:
        """Record the arrival of a part; its updates are handled like those of any datagram."""
        received = self._received_parts.setdefault(sender, set())
        received.add(message.sequence)
        if len(received) >= message.argument:
            self._complete = True

    def receive_latency(self, update: LatencyUpdate) -> None:
        """Record a server's latency, or drop it once `latencies_max` are recorded."""
        if len(self._received_latencies) < self._latencies_max:
            self._received_latencies[update.server] = update.percent
