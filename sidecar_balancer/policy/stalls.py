"""Detection of stalls: times in which the balancer's own process stood still."""

from __future__ import annotations

from sidecar_balancer.policy.timer_queue import TimerKind, TimerQueue

TICK_OBJECTIVE_RATIO = 0.1  # tick interval by the shortest latency objective
STALL_TICKS = 1.0  # a tick that is later than this many intervals shows a stall


class StallDetector:
    """Ticks while attempts are pending; a tick that comes late shows that the balancer stood still.

    What waited meanwhile came at times that the balancer cannot know, so nothing is learned from it.
    """

    def __init__(self, shortest_objective_us: int, clock_tick_us: int, timers: TimerQueue) -> None:
        self._timers = timers
        self._interval_us = max(int(TICK_OBJECTIVE_RATIO * shortest_objective_us), clock_tick_us)
        self.next_tick_at = 0  # 0: not ticking
        self.stall_ended_at = -1  # when the latest stall ended
        self.stalled_us = 0  # sum over all stalls

    def observe(self, now: int) -> None:
        """Notice at an event whether the balancer stood still before it."""
        late_us = now - self.next_tick_at
        if self.next_tick_at and late_us > STALL_TICKS * self._interval_us:
            self.stalled_us += late_us
            self.stall_ended_at = now
        if late_us >= 0:
            self.next_tick_at = 0

    def schedule_tick(self, now: int) -> None:
        """Expect an event within one interval."""
        self.next_tick_at = now + self._interval_us
        self._timers.schedule(self.next_tick_at, TimerKind.STALL_TICK)
