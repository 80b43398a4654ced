"""Outlier detection: failing servers are ejected, tried again with one request at a time, and readmitted."""

from __future__ import annotations

import random
from collections.abc import Sequence

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import LogEvent
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.load import LoadTracker
from sidecar_balancer.policy.locality import Zones
from sidecar_balancer.policy.request import Attempt, Request
from sidecar_balancer.policy.types import Outcome, ServerVerdict
from sidecar_balancer.policy.verdicts import VerdictExchange, peer_verdict_count

CONSECUTIVE_FAILURES = 2  # failures without a response in between that eject a server
EJECTION_OBJECTIVES = 2.0  # first ejection, in longest latency objectives; doubles with each failed trial
EJECTION_MAX_OBJECTIVES = 16.0
EJECTIONS_MAX_COUNTED = 8
EJECTED_MAX_RATIO = 0.6  # maximum ejected part of the list: more would overload the rest
UNRESPONSIVE_MAX_RATIO = 0.34  # maximum unresponsive part of the list: more indicates overload, not outliers

FAILURES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.APPLICATION_ERROR)


class OutlierDetector:
    """Detector that ejects and readmits servers.

    Attributes:
        ejected: the ejected servers, in the order of their ejection.
        responses: number of responses received from all servers.
    """

    def __init__(
        self,
        ejected: list[Server],
        longest_objective_us: int,
        zones: Zones,
        load: LoadTracker,
        verdicts: VerdictExchange,
        rng: random.Random,
        actions: ActionQueue,
    ) -> None:
        self.ejected = ejected
        self.responses = 0
        self._longest_objective_us = longest_objective_us
        self._zones = zones
        self._load = load
        self._verdicts = verdicts
        self._rng = rng
        self._actions = actions

    def attempt_ended(self, now: int, request: Request, attempt: Attempt, outcome: Outcome) -> bool | None:
        """Update the failure count and the ejection of a server at the end of an attempt.

        Returns:
            Whether the server responded, or None if the outcome says nothing about its zone.
        """
        server = attempt.server
        was_trial, attempt.is_trial = attempt.is_trial, False
        if was_trial:
            server.trial_pending = False
        if outcome is Outcome.DELIVERED:
            self._response_received(now, request, server)
            return True
        if outcome not in FAILURES:
            return None
        if outcome is Outcome.TIMED_OUT and server.last_response_at > attempt.sent_at:
            return None  # slow rather than failed: it has answered other attempts since
        server.consecutive_failures += 1
        peer_failures = min(peer_verdict_count(server, request.service_class.name), CONSECUTIVE_FAILURES - 1)
        is_outlier = server.consecutive_failures + peer_failures >= CONSECUTIVE_FAILURES
        if was_trial or (is_outlier and server.ejected_until is None):
            self.eject(now, server, outcome.value)
        return None if outcome is Outcome.APPLICATION_ERROR else False  # an error shows that it is reachable

    def _response_received(self, now: int, request: Request, server: Server) -> None:
        server.consecutive_failures = 0
        server.last_response_at = now
        self.responses += 1
        self._verdicts.response_received(server, request.service_class.name)
        if server.ejected_until is not None and not server.removed_from_table:
            self.readmit(now, server)

    def eject(self, now: int, server: Server, reason: str, max_ratio: float = EJECTED_MAX_RATIO) -> None:
        """Extend a server's ejection, or eject it unless more than `max_ratio` would be ejected then."""
        if server.ejected_until is None:
            limit = max_ratio * min(len(self._zones.ready_servers), self._load.subset_size())
            if server.removed_from_table or len(self.ejected) + 1 > limit:
                return
            self.ejected.append(server)
            self._load.server_ejected(server)
            self._actions.append(LogEvent(f"ejected {server.name}: {reason}", "server_ejected", server.name))
            self._verdicts.publish(server, None, ServerVerdict.EJECTED, server.consecutive_failures)
            self._zones.invalidate_shares()
        objectives = min(EJECTION_OBJECTIVES * 2**server.ejections, EJECTION_MAX_OBJECTIVES)
        server.ejections = min(server.ejections + 1, EJECTIONS_MAX_COUNTED)
        jitter_factor = 0.75 + 0.5 * self._rng.random()
        server.ejected_until = now + int(objectives * self._longest_objective_us * jitter_factor)

    def readmit(self, now: int, server: Server) -> None:
        """End the ejection of a server."""
        server.ejected_until = None
        self.ejected.remove(server)
        self._load.server_readmitted(server)
        server.ejections = server.consecutive_failures = 0
        self._actions.append(LogEvent(f"readmitted {server.name}", "server_readmitted", server.name))
        server.readmitted_at = now
        self._verdicts.publish(server, None, ServerVerdict.CLEARED)
        self._zones.invalidate_shares()

    def readmit_zone(self, now: int, zone: str) -> None:
        """Readmit the servers of a zone that has recovered: the zone caused their failures."""
        for server in [server for server in self.ejected if server.zone == zone]:
            self.readmit(now, server)

    def drop(self, server: Server) -> None:
        """Drop a server that has left the endpoint list."""
        if server in self.ejected:
            self.ejected.remove(server)

    def trials_due(self, now: int) -> Sequence[Server]:
        """Return the ejected servers whose ejection has expired and that have no pending trial."""
        return [
            server
            for server in self.ejected
            if server.ejected_until is not None
            and now >= server.ejected_until
            and server.is_ready()
            and not server.trial_pending
        ]
