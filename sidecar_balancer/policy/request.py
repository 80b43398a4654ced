"""A received request and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.settings import Idempotency, ServiceClass
from sidecar_balancer.policy.types import Flow

NO_DEADLINE = 2**62  # while a body still arrives; the data path limits how slow it may be


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, pending until it has an outcome."""

    index: int
    server: Server
    sent_at: int
    stalled_us_before: int  # total stall time of the balancer when the attempt was sent
    responses_before: int  # responses from all servers before the attempt was sent
    is_trial: bool = False  # whether it may end its server's ejection
    pending: bool = True
    may_have_run: bool = True  # until an outcome proves that the server did not execute it
    response_started: bool = False
    counted_late: bool = False  # whether its lateness was counted as a sign of overload
    unresponsive: bool = False  # whether it showed that its server is unresponsive


@dataclass(slots=True, eq=False)
class Request:
    """A request, kept until it has its final answer and no attempt is pending."""

    request_id: int
    service_class: ServiceClass
    answer_by: int  # clock time; NO_DEADLINE while its body still arrives
    cost: float  # relative to the mean of its class
    flow: Flow
    cost_exponent: int  # binary exponent of the cost
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)  # including those that rejected it
    rejections: int = 0
    answered: bool = False
    body_consumed: bool = False  # no longer buffered as a whole: it can't be sent again

    def has_pending_attempt(self) -> bool:
        """Return whether any attempt is pending."""
        return any(attempt.pending for attempt in self.attempts)

    def has_response(self) -> bool:
        """Return whether the response of any attempt has started."""
        return any(attempt.response_started for attempt in self.attempts)

    def may_have_run(self) -> bool:
        """Return whether a server may have executed the request."""
        return any(attempt.may_have_run for attempt in self.attempts)

    def may_be_sent_again(self) -> bool:
        """Return whether its class and body permit another attempt now.

        Classes with idempotency keys are treated as non-idempotent.
        """
        if self.body_consumed:
            return False
        return not self.may_have_run() or self.service_class.idempotency is Idempotency.IDEMPOTENT
