"""Exchange of verdicts on servers with peers."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import PublishServerVerdict
from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.events import PeerServerVerdict
from sidecar_balancer.policy.types import ServerVerdict

PEERS_MAX = 2  # maximum number of peers counted, which limits the effect of false verdicts


class VerdictExchange:
    """Publisher of this balancer's verdicts and receiver of those of its peers."""

    def __init__(self, actions: ActionQueue) -> None:
        self._actions = actions
        self.has_peer_verdicts = False  # whether peers have a verdict on any server

    def publish(
        self, server: Server, service_class: str | None, verdict: ServerVerdict, evidence: int = 1
    ) -> None:
        """Publish a verdict for one class, or all (None), unless peers already have it from here."""
        current = None if verdict is ServerVerdict.CLEARED else verdict
        if server.published_verdicts.get(service_class) is not current:
            server.published_verdicts.pop(service_class, None)
            if current is not None:
                server.published_verdicts[service_class] = current
            self._actions.append(PublishServerVerdict(server.name, verdict, service_class, max(evidence, 1)))

    def withdraw_all(self, server: Server) -> None:
        """Clear all verdicts on a server that this balancer has published."""
        for service_class in list(server.published_verdicts):
            self.publish(server, service_class, ServerVerdict.CLEARED)

    def receive(self, verdicts: Collection[PeerServerVerdict], servers: Mapping[str, Server]) -> None:
        """Replace the peers' verdicts; those disproved by an own response stay disproved."""
        received: dict[str, dict[str | None, int]] = {}
        for verdict in verdicts:
            server = servers.get(verdict.server)
            is_disproved = server is not None and server.peer_verdicts.get(verdict.service_class) == 0
            by_class = received.setdefault(verdict.server, {})
            by_class[verdict.service_class] = 0 if is_disproved else verdict.peers
        for server in servers.values():
            server.peer_verdicts = received.get(server.name, {})
        self.has_peer_verdicts = any(server.peer_verdicts for server in servers.values())

    def response_received(self, server: Server, service_class: str) -> None:
        """Mark the peers' verdicts as disproved by a response, and clear the own one for its class."""
        if server.peer_verdicts:
            for name in (None, service_class):
                if name in server.peer_verdicts:
                    server.peer_verdicts[name] = 0
        if service_class in server.published_verdicts:
            self.publish(server, service_class, ServerVerdict.CLEARED)


def peer_verdict_count(server: Server, service_class: str) -> int:
    """Return how many peers have a verdict against a server for a class, at most `PEERS_MAX`."""
    verdicts = server.peer_verdicts
    return min(max(verdicts.get(None, 0), verdicts.get(service_class, 0)), PEERS_MAX)
