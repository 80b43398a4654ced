"""Arbitrary valid sequences of events, checked by the resulting actions alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import HealthCheck as HypothesisCheck
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from policy_settings import IDEMPOTENCY_KEY, IDEMPOTENT, MS, NON_IDEMPOTENT, START, S, server_names, settings
from sidecar_balancer.policy.actions import (
    Action,
    ApplyDisabledServers,
    CancelAttempt,
    Fail,
    HealthCheck,
    Reject,
    SendAttempt,
    SetTimer,
)
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    HealthCheckEnded,
    ListedServer,
    RequestBodyEnded,
    RequestBodyOverdue,
    RequestReceived,
    ResponseStarted,
    ServerOverrideRequested,
    TimerFired,
)
from sidecar_balancer.policy.settings import Idempotency, ServiceClass
from sidecar_balancer.policy.types import ListKind, Outcome, ServerState

SERVERS = server_names(7)
ZONES = ("east", "west")
TICK = 5 * MS
FOREVER = 2**70
CLASSES = [
    IDEMPOTENT,
    NON_IDEMPOTENT,
    *(
        {**IDEMPOTENCY_KEY, "name": f"amend-{group}", "deduplication_scope": group}
        for group in ("all", "zone", "cell")
    ),
]


@dataclass
class TrackedAttempt:
    """State of an attempt at its server."""

    server: str
    entry: ListedServer
    sent_at: int
    pending: bool = True
    outcome: Outcome | None = None
    response_started: bool = False


@dataclass
class TrackedRequest:
    """State of a request at its client."""

    service_class: ServiceClass
    deadline: int
    remaining_us: int
    late_on_arrival: bool
    is_streamed: bool = False
    body_consumed: bool = False
    answered: bool = False
    attempts: list[TrackedAttempt] = field(default_factory=list)

    @property
    def body_open(self) -> bool:
        return self.deadline == FOREVER


class RuleChecker:
    """Tracks the state of clients, servers and the list, and checks each action against the rules."""

    def __init__(
        self,
        may_hedge: bool,
        max_attempts: int,
        late_shedding: bool,
        may_health_check: bool,
        seed: int,
    ) -> None:
        self.settings = settings(
            classes=CLASSES,
            limits={
                "may_hedge": may_hedge,
                "max_attempts": max_attempts,
                "may_health_check": may_health_check,
            },
            report={"source": "probes", "columns": ["inflight", "queue"]},
            prices={"cross_zone": 0.1},
            rules={"late_shedding": late_shedding},
        )
        rejected = [Outcome.REJECTED] * (not late_shedding)
        self.outcomes_without_execution = [Outcome.CONNECT_FAILED, Outcome.UNSENT, *rejected]
        self.balancer = Balancer(self.settings, seed)
        self.classes = {each.name: each for each in self.settings.classes}
        self.now = START
        self.timers: list[tuple[int, str]] = []
        self.requests: dict[int, TrackedRequest] = {}
        self.health_checks: list[tuple[str, int]] = []
        self.listed: dict[str, ListedServer] = {}
        self.disabled: frozenset[str] = frozenset()
        self.next_request = 1

    # -- Checks of actions --------------------------------------------------------------------------------

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check_action(action)
        self.check_in_flight()

    def check_action(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self.check_attempt(action)
            case Reject() | Fail():
                self.check_final_answer(action)
            case ApplyDisabledServers():
                self.disabled = action.servers
            case CancelAttempt():
                assert action.attempt < len(self.requests[action.request].attempts)
                assert not self.requests[action.request].attempts[action.attempt].response_started
            case SetTimer():
                self.timers.append((self.now + action.delay_us, action.token))
            case HealthCheck():
                assert self.settings.limits.may_health_check
                assert action.server in self.listed
                self.health_checks.append((action.server, self.now))
            case _:
                pass

    def check_attempt(self, action: SendAttempt) -> None:
        request = self.requests[action.request]
        assert not request.answered, "sent after the final answer"
        assert self.now < request.deadline, "sent after the deadline"
        entry = self.listed[action.server]
        assert entry.state is ServerState.READY, "sent to a draining or removed server"
        assert action.server not in self.disabled, "sent to a disabled server"
        assert not request.body_consumed, "sent again after its body was consumed"
        assert len(request.attempts) < self.settings.limits.max_attempts, "more attempts than allowed"
        if request.is_streamed or not self.settings.limits.may_hedge:
            assert not any(attempt.pending for attempt in request.attempts), "concurrent attempts"
        self.check_execution(request, entry)
        request.attempts.append(TrackedAttempt(action.server, entry, self.now))

    def check_execution(self, request: TrackedRequest, entry: ListedServer) -> None:
        """Check that another attempt at this server cannot execute the request twice."""
        executed = self.maybe_executed(request)
        service_class = request.service_class
        if executed and service_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("a non-idempotent request was sent again")
        if executed and service_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            window_end = executed[0].sent_at + service_class.deduplication_window_us
            assert self.now < window_end, "sent after the deduplication window of its key"
            scope = service_class.deduplication_scope
            for attempt in executed:
                assert scope.value != "zone" or attempt.entry.zone == entry.zone, "sent to another zone"
                assert scope.value != "cell" or attempt.entry.cell == entry.cell, "sent to another cell"

    def maybe_executed(self, request: TrackedRequest) -> list[TrackedAttempt]:
        return [
            attempt
            for attempt in request.attempts
            if (attempt.pending and not request.body_open)
            or (not attempt.pending and attempt.outcome not in self.outcomes_without_execution)
        ]

    def check_final_answer(self, action: Reject | Fail) -> None:
        request = self.requests[action.request]
        assert not request.answered, "two final answers"
        assert self.now < request.deadline or request.late_on_arrival, "answered after the deadline"
        assert not any(attempt.response_started for attempt in request.attempts), "answered after a response"
        service_class = request.service_class
        if isinstance(action, Reject) and service_class.idempotency is not Idempotency.IDEMPOTENT:
            is_deduplicated = (
                service_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and service_class.deduplication_scope.value == "all"
            )
            assert not self.maybe_executed(request) or is_deduplicated, "rejected after it may have run"
        request.answered = True

    def check_in_flight(self) -> None:
        in_flight: dict[str, int] = dict.fromkeys(SERVERS, 0)
        awaiting_body: dict[str, int] = dict.fromkeys(SERVERS, 0)
        for request in self.requests.values():
            for attempt in request.attempts:
                is_counted = attempt.pending and not attempt.response_started
                in_flight[attempt.server] += is_counted
                awaiting_body[attempt.server] += is_counted and request.body_open
        for name, server in self.balancer.servers.items():
            assert server.in_flight == in_flight[name], "the count of requests in flight is wrong"
            assert server.awaiting_body == awaiting_body[name], "the count of open bodies is wrong"
        load = self.balancer.components.load
        at_ejected = [each for each in self.balancer.servers.values() if each.ejected_until is not None]
        counted_at_ejected = sum(each.in_flight - each.awaiting_body for each in at_ejected)
        assert load.awaiting_body == sum(awaiting_body.values())
        assert load.pending_at_ejected == counted_at_ejected

    def check_deadlines(self) -> None:
        for request in self.requests.values():
            assert request.answered or self.now < request.deadline, "a request was left unanswered"

    # -- Steps of a script --------------------------------------------------------------------------------

    def receive_request(self, service_class: str, remaining_us: int, body_open: bool) -> None:
        number, self.next_request = self.next_request, self.next_request + 1
        self.requests[number] = TrackedRequest(
            self.classes[service_class],
            deadline=FOREVER if body_open else self.now + remaining_us,
            remaining_us=remaining_us,
            late_on_arrival=remaining_us <= 2 * TICK,
            is_streamed=body_open,
        )
        self.feed(RequestReceived(number, service_class, None, None, remaining_us, body_open=body_open))

    def with_open_body(self) -> list[int]:
        return [
            number for number, request in self.requests.items() if request.body_open and not request.answered
        ]

    def body_overdue(self, choice: int) -> None:
        if waiting := self.with_open_body():
            number = waiting[choice % len(waiting)]
            self.feed(RequestBodyOverdue(number))
            assert self.requests[number].answered, "a request was left unanswered"

    def end_body(self, choice: int) -> None:
        if waiting := self.with_open_body():
            number = waiting[choice % len(waiting)]
            request = self.requests[number]
            request.deadline = self.now + request.remaining_us
            self.feed(RequestBodyEnded(number, request.remaining_us))

    def pending_attempts(self) -> list[tuple[int, int]]:
        return [
            (number, index)
            for number, request in self.requests.items()
            for index, attempt in enumerate(request.attempts)
            if attempt.pending
        ]

    def start_response(self, choice: int) -> None:
        """Start a response, which is the client's final answer; a later step may end it."""
        pending = [each for each in self.pending_attempts() if not self.requests[each[0]].answered]
        if pending:
            number, index = pending[choice % len(pending)]
            attempt = self.requests[number].attempts[index]
            attempt.response_started = self.requests[number].answered = True
            self.feed(ResponseStarted(number, index, attempt.server, self.now - attempt.sent_at))

    def override(self, server: str, disabled: bool) -> None:
        self.feed(ServerOverrideRequested(server, disabled))
        if server in self.listed:
            assert (server in self.disabled) is disabled, "an override was not applied"

    def end_attempt(self, choice: int, outcome: Outcome) -> None:
        pending = self.pending_attempts()
        if not pending:
            return
        number, index = pending[choice % len(pending)]
        request = self.requests[number]
        if request.body_open:
            if outcome is Outcome.DELIVERED:
                return  # no server responds before it has the complete request
            request.body_consumed = True
        attempt = request.attempts[index]
        attempt.pending, attempt.outcome = False, outcome
        if outcome is Outcome.DELIVERED:
            request.answered = True
        elapsed_us = self.now - attempt.sent_at
        self.feed(
            AttemptEnded(
                number,
                index,
                attempt.server,
                outcome,
                elapsed_us,
                request.answered,
                None,
                request.body_consumed,
            )
        )

    def end_health_check(self, outcome: Outcome, in_flight: float | None) -> None:
        if self.health_checks:
            server, sent_at = self.health_checks.pop(0)
            report = None if in_flight is None else {"inflight": in_flight}
            self.feed(HealthCheckEnded(server, outcome, self.now - sent_at, report))

    def disconnect_client(self, choice: int) -> None:
        waiting = [number for number, request in self.requests.items() if not request.answered]
        if waiting:
            number = waiting[choice % len(waiting)]
            self.requests[number].answered = True
            self.feed(ClientDisconnected(number))

    def receive_list(self, kind: ListKind, entries: list[ListedServer]) -> None:
        if kind is ListKind.FAILED:
            self.feed(EndpointListReceived(kind))
            return
        if kind is not ListKind.DELTA:
            for entry in self.listed.values():
                entry.state = ServerState.REMOVED
        for entry in entries:
            self.listed[entry.server] = entry
        self.feed(EndpointListReceived(kind, entries, 1))

    def advance(self, span_us: int) -> None:
        until = self.now + span_us
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.feed(TimerFired(timer[1]))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()


list_entries = st.builds(
    ListedServer,
    server=st.sampled_from(SERVERS),
    zone=st.sampled_from(ZONES),
    kind=st.just("box"),
    cell=st.integers(0, 2),
    state=st.sampled_from([ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.REMOVED]),
    nominal=st.sampled_from([0.0, 1.0, 3.0]),
    started_at=st.sampled_from([None, START - 5 * S, START, START + 2 * S]),
)
arrivals = st.tuples(
    st.just("receive_request"),
    st.sampled_from([str(each["name"]) for each in CLASSES]),
    st.integers(1, 2_500).map(lambda ms: ms * MS),
    st.sampled_from([False, False, False, True]),
)
steps = st.one_of(
    arrivals,
    arrivals,
    st.tuples(st.just("end_body"), st.integers(0, 50)),
    st.tuples(st.just("body_overdue"), st.integers(0, 50)),
    st.tuples(st.just("start_response"), st.integers(0, 50)),
    st.tuples(st.just("override"), st.sampled_from(SERVERS), st.booleans()),
    st.tuples(st.just("end_attempt"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end_attempt"), st.integers(0, 50), st.just(Outcome.DELIVERED)),
    st.tuples(
        st.just("end_health_check"),
        st.sampled_from([Outcome.DELIVERED, Outcome.DELIVERED, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED]),
        st.sampled_from([None, 0.0, 3.0, 50.0]),
    ),
    st.tuples(st.just("disconnect_client"), st.integers(0, 50)),
    st.tuples(st.just("advance"), st.integers(1, 1_500).map(lambda ms: ms * MS)),
    st.tuples(
        st.just("receive_list"),
        st.sampled_from([ListKind.DELTA, ListKind.SNAPSHOT, ListKind.FAILED]),
        st.lists(list_entries, max_size=5, unique_by=lambda each: each.server),
    ),
)


@hypothesis_settings(
    max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HypothesisCheck)
)
@given(
    st.booleans(),
    st.integers(0, 4),
    st.booleans(),
    st.booleans(),
    st.integers(0, 1_000),
    st.lists(steps, min_size=5, max_size=60),
)
def test_no_sequence_breaks_a_rule(
    may_hedge: bool,
    max_attempts: int,
    late_shedding: bool,
    may_health_check: bool,
    seed: int,
    script: list[Any],
) -> None:
    checker = RuleChecker(may_hedge, max_attempts, late_shedding, may_health_check, seed)
    ready = [ListedServer(name, "east", "box", index % 3) for index, name in enumerate(SERVERS)]
    checker.receive_list(ListKind.CACHED, ready)
    for name, *arguments in script:
        getattr(checker, name)(*arguments)
    checker.advance(4 * S)
