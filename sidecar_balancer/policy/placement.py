"""Placement of attempts: first attempts, retries and hedged requests."""

from __future__ import annotations

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import CancelAttempt
from sidecar_balancer.policy.request import Attempt, Request
from sidecar_balancer.policy.request_table import RequestTable
from sidecar_balancer.policy.retry_budget import RetryBudget
from sidecar_balancer.policy.selection import EndpointSelector
from sidecar_balancer.policy.send_gate import SendGate
from sidecar_balancer.policy.settings import Limits


class Placement:
    """Sends the attempts of a request to selected servers."""

    def __init__(
        self,
        limits: Limits,
        selector: EndpointSelector,
        gate: SendGate,
        table: RequestTable,
        budget: RetryBudget,
        actions: ActionQueue,
    ) -> None:
        self._limits = limits
        self._selector = selector
        self._gate = gate
        self._table = table
        self._budget = budget
        self._actions = actions

    def place(self, now: int, request: Request) -> None:
        """Send an attempt, or give the final answer if no server is left and no attempt is pending."""
        server = self._selector.select(now, request)
        is_sent = server is not None and self._gate.send(now, request, server)
        if not is_sent and not request.has_pending_attempt():
            self._table.reject_or_fail(request)

    def retry(self, now: int, request: Request) -> bool:
        """Send another attempt after a failed one; return whether class, body and budget permit it."""
        if not self._budget.has_token() or not request.may_be_sent_again():
            return False
        self._budget.spend()
        self.place(now, request)
        return True

    def hedge(self, now: int, request: Request, attempt: Attempt) -> None:
        """Hedge an attempt that is unlikely to get a response; cancel it if hedging is not permitted."""
        limits = self._limits
        if not request.may_be_sent_again() or len(request.attempts) >= limits.max_attempts:
            return
        if not self._budget.has_token():
            return
        if limits.may_hedge:
            self._budget.spend()
            self.place(now, request)
        elif limits.may_cancel:
            self._actions.append(CancelAttempt(request.request_id, attempt.index))  # retried once it ends
