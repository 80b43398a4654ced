"""Driver that feeds events to one balancer, fires its timers and records its actions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from policy_settings import MS, START, S, settings
from sidecar_balancer.policy.actions import Action, SendAttempt, SetTimer
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import (
    AttemptEnded,
    EndpointListReceived,
    Event,
    ListedServer,
    RequestReceived,
    TimerFired,
)
from sidecar_balancer.policy.settings import Settings
from sidecar_balancer.policy.types import ListKind, Outcome, ServerState

_ActionT = TypeVar("_ActionT")


class BalancerDriver:
    """Driver of one balancer: feeds it events, records its actions and fires its timers as time advances.

    Attributes:
        now: time on the balancer's clock, in µs.
        timeline: all actions, each with the time at which the balancer returned it.
    """

    def __init__(self, balancer_settings: Settings | None = None, seed: int = 7, now: int = START) -> None:
        self.now = now
        self.balancer = Balancer(balancer_settings or settings(), seed)
        self.timeline: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next_request = 1

    def feed(self, event: Event) -> list[Action]:
        """Have the balancer handle an event now; return its actions."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.timeline.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.delay_us, action.token))
        return actions

    def receive_list(
        self, listed: Iterable[str | ListedServer], kind: ListKind = ListKind.SNAPSHOT
    ) -> list[Action]:
        """Feed an endpoint list; a bare name stands for a ready server in the balancer's zone."""
        entries = [ListedServer(entry, zone="east") if isinstance(entry, str) else entry for entry in listed]
        return self.feed(EndpointListReceived(kind, entries, 1))

    def drain(self, server: str, state: ServerState = ServerState.DRAINING) -> list[Action]:
        """Feed a delta that gives one server another state."""
        return self.receive_list([ListedServer(server, zone="east", state=state)], ListKind.DELTA)

    def request(
        self,
        name: str = "look",
        remaining_us: int = 2 * S,
        cost_us: int | None = None,
        key: int | None = None,
        tenant: str | None = None,
    ) -> int:
        """Feed a request; return its number."""
        number, self._next_request = self._next_request, self._next_request + 1
        self.feed(RequestReceived(number, name, tenant, key, remaining_us, cost_us))
        return number

    def end_attempt(
        self,
        request: int,
        outcome: Outcome = Outcome.DELIVERED,
        attempt: int | None = None,
        answered: bool | None = None,
        report: dict[str, float] | None = None,
    ) -> list[Action]:
        """Feed the end of an attempt, by default of the request's latest one."""
        attempts = self.attempts(request)
        index = len(attempts) - 1 if attempt is None else attempt
        sent_at, sent = attempts[index]
        is_answered = outcome is Outcome.DELIVERED if answered is None else answered
        elapsed_us = self.now - sent_at
        return self.feed(AttemptEnded(request, index, sent.server, outcome, elapsed_us, is_answered, report))

    def advance(self, span_us: int) -> None:
        """Advance the clock; fire the timers that fall due, in order."""
        until = self.now + span_us
        while True:
            due = [timer for timer in self._timers if timer[0] <= until]
            if not due:
                break
            timer = min(due)
            self._timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.feed(TimerFired(timer[1]))
        self.now = until

    def attempts(self, request: int | None = None) -> list[tuple[int, SendAttempt]]:
        """Return the attempts sent, with their times: those of one request, or all."""
        return [
            (at, action)
            for at, action in self.timeline
            if isinstance(action, SendAttempt) and (request is None or action.request == request)
        ]

    def target_of(self, request: int) -> str:
        """Return the server of the request's latest attempt."""
        return self.attempts(request)[-1][1].server

    def actions_of(self, action_type: type[_ActionT]) -> list[_ActionT]:
        """Return all actions of one type so far."""
        return [action for _, action in self.timeline if isinstance(action, action_type)]

    def serve_traffic(
        self, count: int, interval_us: int = 20 * MS, latency_us: int = 50 * MS, name: str = "look"
    ) -> None:
        """Feed requests at a fixed interval, each delivered after the same latency."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.advance(interval_us)
            pending.append((self.now + latency_us, self.request(name)))
            while pending and pending[0][0] <= self.now:
                request = pending.pop(0)[1]
                if self.attempts(request):
                    self.end_attempt(request)
        for _, request in pending:
            self.advance(interval_us)
            if self.attempts(request):
                self.end_attempt(request)


def serve_one_at_a_time(
    driver: BalancerDriver, count: int, latency_us: int = 50 * MS, interval_us: int = 400 * MS
) -> None:
    """Feed light traffic: each request has its response before the next one is received."""
    for _ in range(count):
        request = driver.request()
        driver.advance(latency_us)
        if driver.attempts(request):
            driver.end_attempt(request)
        driver.advance(interval_us - latency_us)
