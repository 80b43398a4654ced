"""A request that the balancer has received, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from sidecar_balancer.policy.endpoint import Server
from sidecar_balancer.policy.settings import Idempotency, ServiceClass
from sidecar_balancer.policy.types import Flow

DEADLINE_OPEN_US = 2**62  # no deadline while a body arrives: the data path bounds how slowly it may


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int
    server: Server
    sent_at: int
    stalled_us_before: int  # how long the balancer had stalled in all when the attempt was sent
    responses_before: int  # responses from all servers before the attempt was sent
    is_trial: bool = False  # whether it may end its server's ejection
    pending: bool = True
    may_have_run: bool = True  # until an outcome proves that the server did not execute it
    response_started: bool = False
    counted_late: bool = False  # whether its lateness was counted as a sign of overload
    unresponsive: bool = False  # whether its server was found unresponsive by it


@dataclass(slots=True, eq=False)
class Request:
    """A request; it is kept until it has its final answer and no attempt is pending."""

    request_id: int
    service_class: ServiceClass
    answer_by: int  # DEADLINE_OPEN_US while its body still arrives
    cost: float  # relative to the mean of its class
    flow: Flow
    cost_exponent: int  # the cost by powers of two
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)  # those that rejected it included
    rejections: int = 0
    answered: bool = False
    body_consumed: bool = False  # the body is not buffered as a whole any more: it can't be sent again

    def has_pending_attempt(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(attempt.pending for attempt in self.attempts)

    def has_response(self) -> bool:
        """Whether the response of an attempt has started."""
        return any(attempt.response_started for attempt in self.attempts)

    def may_have_run(self) -> bool:
        """Whether a server may have executed it."""
        return any(attempt.may_have_run for attempt in self.attempts)

    def may_be_sent_again(self) -> bool:
        """Whether its class and its body permit another attempt now.

        Classes with idempotency keys count as not idempotent.
        """
        if self.body_consumed:
            return False
        return not self.may_have_run() or self.service_class.idempotency is Idempotency.IDEMPOTENT
