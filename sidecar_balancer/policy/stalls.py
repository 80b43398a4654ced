"""Detection of stalls: periods in which the balancer's own process did not run."""

from __future__ import annotations

from sidecar_balancer.policy.timer_queue import TimerKind, TimerQueue

TICK_OBJECTIVE_RATIO = 0.1  # tick interval over the shortest latency objective
STALL_TICKS = 1.0  # a tick that is late by more than this many intervals shows a stall


class StallDetector:
    """Detector that ticks while attempts are pending; a late tick shows that the balancer did not run.

    Events that waited during a stall arrived at unknown times, so nothing is learned from them.
    """

    def __init__(self, shortest_objective_us: int, clock_tick_us: int, timers: TimerQueue) -> None:
        self._timers = timers
        self._interval_us = max(int(TICK_OBJECTIVE_RATIO * shortest_objective_us), clock_tick_us)
        self.next_tick_at = 0  # 0: no tick is scheduled
        self.stall_ended_at = -1  # clock time at the end of the latest stall
        self.stalled_us = 0  # total over all stalls

    def observe(self, now: int) -> None:
        """Record a stall if the scheduled tick is overdue at this event."""
        late_us = now - self.next_tick_at
        if self.next_tick_at and late_us > STALL_TICKS * self._interval_us:
            self.stalled_us += late_us
            self.stall_ended_at = now
        if late_us >= 0:
            self.next_tick_at = 0

    def schedule_tick(self, now: int) -> None:
        """Schedule the next tick in one interval."""
        self.next_tick_at = now + self._interval_us
        self._timers.schedule(self.next_tick_at, TimerKind.STALL_TICK)
