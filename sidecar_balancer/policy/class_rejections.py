"""Backoff from servers that reject or fail requests of one class and tenant."""

from __future__ import annotations

import random

from sidecar_balancer.policy.endpoint import RejectionBackoff, Server
from sidecar_balancer.policy.request import Request
from sidecar_balancer.policy.types import ServerVerdict
from sidecar_balancer.policy.verdicts import VerdictExchange, peer_verdict_count

BACKOFF_OBJECTIVES = 2.0  # first backoff, in longest latency objectives; doubles with each rejection in a row
BACKOFF_MAX_OBJECTIVES = 16.0
REJECTIONS_MAX_COUNTED = 8


class ClassRejections:
    """Backoff of a class and tenant from servers that reject or fail just their requests."""

    def __init__(self, longest_objective_us: int, verdicts: VerdictExchange, jitter: random.Random) -> None:
        self._longest_objective_us = longest_objective_us
        self._verdicts = verdicts
        self._jitter = jitter

    def rejected(self, now: int, request: Request, server: Server) -> None:
        """Back off from a server that has rejected the request."""
        self._back_off(now, request, server)
        self._verdicts.publish(server, request.service_class.name, ServerVerdict.REJECTING)

    def failed(self, now: int, request: Request, server: Server) -> None:
        """Record an application error; back off if it is repeated or peers have a verdict on the server."""
        service_class = request.service_class.name
        is_repeated = request.flow in server.rejections  # no success of this flow in between
        if is_repeated or peer_verdict_count(server, service_class):
            self._back_off(now, request, server)
            self._verdicts.publish(server, service_class, ServerVerdict.FAILING, 1 + is_repeated)
        else:
            server.rejections[request.flow] = RejectionBackoff(now, 0)

    @staticmethod
    def delivered(request: Request, server: Server) -> None:
        """End the backoff from a server that has answered a request of the flow."""
        server.rejections.pop(request.flow, None)

    def _back_off(self, now: int, request: Request, server: Server) -> None:
        previous = server.rejections.get(request.flow)
        count = previous.rejections if previous is not None else 0
        wait_us = min(BACKOFF_OBJECTIVES * 2**count, BACKOFF_MAX_OBJECTIVES) * self._longest_objective_us
        if not request.may_be_sent_again():
            wait_us = BACKOFF_MAX_OBJECTIVES * self._longest_objective_us  # a failed trial fails its request
        until = now + int(wait_us * (0.75 + 0.5 * self._jitter.random()))
        server.rejections[request.flow] = RejectionBackoff(until, min(count + 1, REJECTIONS_MAX_COUNTED))
