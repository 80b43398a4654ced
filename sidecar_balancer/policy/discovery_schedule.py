"""Schedule of requests for the endpoint list: the first call, polling, and backoff after failed calls."""

from __future__ import annotations

import random

from sidecar_balancer.policy.action_queue import ActionQueue
from sidecar_balancer.policy.actions import WatchEndpoints
from sidecar_balancer.policy.settings import DiscoveryMode, Settings
from sidecar_balancer.policy.timer_queue import TimerKind, TimerQueue
from sidecar_balancer.policy.types import ListKind

CONCURRENT_CALLS = 8  # discovery answers this many simultaneous calls as fast as one
SPREAD_INTERVAL_RATIO = 0.01  # spread of calls added by each further balancer, over the poll interval
RETRY_MIN_INTERVAL_RATIO = 0.05  # first backoff, as a part of the poll interval
RETRY_MAX_INTERVAL_RATIO = 0.25
RETRY_MAX_US = 3_000_000  # changes must be known 6 s after they are available, and a call takes up to 2 s
RETRY_MAX_EXPONENT = 8
IMMEDIATE_RETRIES = 2  # consecutive unanswered watches that are reopened at once


class DiscoverySchedule:
    """Schedule of the calls for the endpoint list."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        secondary_rng: random.Random,
        timers: TimerQueue,
        actions: ActionQueue,
    ) -> None:
        self._polls = settings.discovery is DiscoveryMode.POLL
        self._poll_interval_us = settings.rules.poll_interval_us
        self._repeat_interval_us = max(RETRY_MAX_INTERVAL_RATIO * self._poll_interval_us, settings.tick_us)
        self._rng = rng
        self._secondary_rng = secondary_rng
        self._timers = timers
        self._actions = actions
        excess_balancers = max(settings.fleet_size - CONCURRENT_CALLS, 0)
        # Simultaneous calls of the whole fleet would overload discovery.
        self._spread_us = min(SPREAD_INTERVAL_RATIO * self._poll_interval_us * excess_balancers, RETRY_MAX_US)
        self.failed_calls = 0  # number of consecutive failed calls
        self.unanswered_watches = 0  # number of consecutive unanswered watches
        self.next_call_at: int | None = None  # clock time of the next call; None while a watch is open

    def start(self, now: int) -> None:
        """Schedule the first call."""
        self._schedule(now, self._spread_us * self._secondary_rng.random())

    def timer_fired(self, now: int) -> None:
        """Make the call that is due, if any."""
        if self.next_call_at is not None and self.next_call_at <= now:
            self._call(now)

    def list_received(self, now: int, kind: ListKind) -> bool:
        """Schedule the next call after an answer; return whether the answer holds a list."""
        if kind is ListKind.TIMED_OUT and self.unanswered_watches < IMMEDIATE_RETRIES:
            self.unanswered_watches += 1
            self._call(now)
            return False
        if kind in (ListKind.FAILED, ListKind.TIMED_OUT):
            self._back_off(now)
            return False
        if kind is not ListKind.CACHED:
            self.failed_calls, self.unanswered_watches, self.next_call_at = 0, 0, None
        return True

    def _call(self, now: int) -> None:
        """Watch the list if it has to be polled; the call is repeated if it is never answered."""
        if self._polls:
            self._actions.append(WatchEndpoints(True))
            self._schedule(now, self._repeat_interval_us)

    def _back_off(self, now: int) -> None:
        longest_us = min(
            max(RETRY_MAX_INTERVAL_RATIO * self._poll_interval_us, self._spread_us), RETRY_MAX_US
        )
        first_us = max(RETRY_MIN_INTERVAL_RATIO * self._poll_interval_us, self._spread_us)
        wait_us = min(first_us * 2**self.failed_calls, longest_us)
        self.failed_calls = min(self.failed_calls + 1, RETRY_MAX_EXPONENT)
        self._schedule(now, wait_us * (0.25 + 0.75 * self._rng.random()))

    def _schedule(self, now: int, wait_us: float) -> None:
        """Schedule the next call after this delay, replacing any call scheduled earlier."""
        self.next_call_at = now + int(wait_us)
        self._timers.schedule(self.next_call_at, TimerKind.DISCOVERY_POLL)
