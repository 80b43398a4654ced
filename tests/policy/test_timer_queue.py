"""Timers that are due at once: each pass over the due timers ends."""

from __future__ import annotations

import pytest

from balancer_driver import BalancerDriver
from policy_settings import MS, NON_IDEMPOTENT, START, S, server_names, settings
from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import SetTimer
from sidecar_balancer.policy.events import TimerFired
from sidecar_balancer.policy.timer_queue import TIMER_TOKEN, TimerKind, TimerQueue

MAX_ENTRIES = 1_000


@pytest.fixture(autouse=True)
def limited_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fail a test that schedules entries without end, which would otherwise hang."""
    schedule = TimerQueue.schedule
    scheduled = 0

    def counted(
        queue: TimerQueue,
        due_at: int,
        kind: TimerKind,
        request_id: int | None = None,
        attempt_index: int | None = None,
    ) -> None:
        nonlocal scheduled
        scheduled += 1
        assert scheduled <= MAX_ENTRIES
        schedule(queue, due_at, kind, request_id, attempt_index)

    monkeypatch.setattr(TimerQueue, "schedule", counted)


# Guards against a handler that schedules its next run for the same time and holds the process for good.
def test_an_entry_scheduled_during_a_pass_fires_in_the_next_one() -> None:
    actions = ActionQueue()
    queue = TimerQueue(actions)
    for request in (1, 2):
        queue.schedule(START, TimerKind.ATTEMPT_OVERDUE, request, 0)
    fired = []
    for entry in queue.pop_due(START):
        fired.append(entry.request_id)
        queue.schedule(START, TimerKind.ATTEMPT_OVERDUE, entry.request_id, 0)
    assert fired == [1, 2]
    queue.arm(START, lambda _: False)
    assert actions.actions == [SetTimer(0, TIMER_TOKEN)]
    assert [entry.request_id for entry in queue.pop_due(START)] == [1, 2]


# Guards against a sidecar that hangs where half of an odd latency objective has passed to the microsecond.
@pytest.mark.parametrize("objective_us", [555_555, 555_554, 11_111])
def test_a_timer_at_the_moment_an_attempt_becomes_unresponsive_ends(objective_us: int) -> None:
    service_class = {**NON_IDEMPOTENT, "deadline_us": 2 * S, "latency_objective_us": objective_us}
    driver = BalancerDriver(settings(classes=[service_class], tick_us=1 * MS))
    driver.receive_list(server_names(3))
    driver.end_attempt(driver.request("pay"))  # a fast response: half of the objective is the longer time
    driver.request("pay")
    driver.advance(S)
    assert driver.balancer.pending_attempts == 1


# Guards against polls that are repeated at the same time, as a quarter of the shortest interval is 0 us.
@pytest.mark.parametrize("poll_interval_us", [1, 3, 4])
def test_polls_of_the_shortest_interval_are_repeated_a_tick_later(poll_interval_us: int) -> None:
    driver = BalancerDriver(settings(rules={"poll_interval_us": poll_interval_us}))
    driver.feed(TimerFired(TIMER_TOKEN))
    driver.advance(100 * MS)
    delays = [
        action.delay_us for at, action in driver.timeline if isinstance(action, SetTimer) and at > START
    ]
    assert delays
    assert min(delays) > 0
