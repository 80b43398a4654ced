"""A received request and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.settings import Idempotency, ServiceClass
from sidecar_balancer.policy.types import Flow

NO_DEADLINE = 2**62  # deadline while a body still arrives; the data path limits how slow the body may be


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, pending until it has an outcome."""

    index: int
    server: Server
    sent_at: int
    stalled_us_at_send: int  # total stall time of the balancer when the attempt was sent
    responses_at_send: int  # responses from all servers before the attempt was sent
    is_trial: bool = False  # whether it may end its server's ejection
    pending: bool = True
    may_have_run: bool = True  # False once an outcome proves that the server did not execute it
    response_started: bool = False
    counted_late: bool = False  # whether its lateness was counted as a sign of overload
    unresponsive: bool = False  # whether it showed that its server is unresponsive


@dataclass(slots=True, eq=False)
class Request:
    """A request, kept until it has its final answer and no attempt is pending."""

    request_id: int
    service_class: ServiceClass
    answer_deadline: int  # clock time in microseconds; NO_DEADLINE while the body still arrives
    cost: float  # cost relative to the mean of its class
    flow: Flow
    cost_exponent: int  # binary exponent of the cost
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)  # includes servers that rejected the request
    rejections: int = 0
    answered: bool = False
    is_streamed: bool = (
        False  # the body is not buffered as a whole, so only one attempt at a time can send it
    )
    body_consumed: bool = False  # the body is no longer buffered as a whole and can't be sent again

    @property
    def body_open(self) -> bool:
        """Whether the body is still arriving, so that no server can have received the last byte."""
        return self.answer_deadline == NO_DEADLINE

    def has_pending_attempt(self) -> bool:
        """Return whether any attempt is pending."""
        return any(attempt.pending for attempt in self.attempts)

    def has_response(self) -> bool:
        """Return whether the response of any attempt has started."""
        return any(attempt.response_started for attempt in self.attempts)

    def may_have_run(self) -> bool:
        """Return whether a server may have executed the request."""
        return any(
            attempt.may_have_run and not (attempt.pending and self.body_open) for attempt in self.attempts
        )

    def permits_another_attempt(self) -> bool:
        """Return whether its class and body permit another attempt now.

        Classes with idempotency keys are treated as non-idempotent.
        """
        if self.body_consumed or (self.is_streamed and self.has_pending_attempt()):
            return False
        return not self.may_have_run() or self.service_class.idempotency is Idempotency.IDEMPOTENT
