"""Open requests and their final answers."""

from __future__ import annotations

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import CancelAttempt, Fail, Reject
from sidecar_balancer.policy.request import Request
from sidecar_balancer.policy.settings import Idempotency


class RequestTable:
    """Keeps each request until it has its final answer and its last attempt has ended.

    Attributes:
        requests: the kept requests, by number.
    """

    def __init__(self, may_cancel: bool, actions: ActionQueue) -> None:
        self.requests: dict[int, Request] = {}
        self._may_cancel = may_cancel
        self._actions = actions

    def add(self, request: Request) -> None:
        """Add a new request."""
        self.requests[request.request_id] = request

    def reject_or_fail(self, request: Request) -> None:
        """Give the final answer to a request that gets no server's response; no other code does so.

        The request is rejected if a retry is harmless, else it fails.
        """
        if request.answered:
            return
        is_idempotent = request.service_class.idempotency is Idempotency.IDEMPOTENT
        if is_idempotent or not request.may_have_run():
            self._actions.append(Reject(request.request_id))
        else:
            self._actions.append(Fail(request.request_id))
        self.mark_answered(request)

    def mark_answered(self, request: Request) -> None:
        """Mark the request as needing no further answer and cancel its attempts."""
        request.answered = True
        self.cancel_attempts(request)
        self.drop_if_complete(request)

    def cancel_attempts(self, request: Request) -> None:
        """Cancel the pending attempts whose response has not started, if cancelling is permitted."""
        if not self._may_cancel:
            return
        for attempt in request.attempts:
            if attempt.pending and not attempt.response_started:
                self._actions.append(CancelAttempt(request.request_id, attempt.index))

    def drop_if_complete(self, request: Request) -> None:
        """Drop the request if it is answered and no attempt is pending."""
        if request.answered and not request.has_pending_attempt():
            self.requests.pop(request.request_id, None)
