"""The state of one watch: the list held, what the next poll requests, and which answers are outdated.

Sans-IO.  Times are in seconds on the event loop's clock.

The operators expect a change to be in force within 6 s.  A watch times out at most 3.5 s after its poll.  The
poll that follows at once hardly waits; where it times out too, the third starts within 5.6 s of the first.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from sidecar_balancer.discovery.protocol import AGE_HEADER, LIST_PATH, Headers

# How long a watch poll asks the source to wait for a change.  The random part spreads a fleet's polls.
MIN_WAIT_MS = 1_500
MAX_WAIT_SPREAD_RATIO = 1_000 / 1_500
PROBE_WAIT_MS = 100  # after a time-out or a switch: the response shows at once whether the source is there
# How long a response may take beyond that wait.
WATCH_SLACK_S = 1.0
RESPONSE_TIMEOUT_S = 2.0  # the service itself fails requests that were queued for so long
# With several relays an unresponsive one is left within 2.7 s, and each further one after 1.1 s.
RELAY_MIN_WAIT_MS = 1_000
RELAY_SLACK_S = 1.0
AS_OF_TOLERANCE_S = 0.25  # error of a list's time, by the network and busy processes


@dataclass(frozen=True, slots=True)
class Poll:
    """One request for the list."""

    after: int | None  # the version whose successors are requested; None: the full list
    wait_ms: int
    timeout_s: float

    @property
    def target(self) -> str:
        """The request target in the published form."""
        if self.after is None:
            return LIST_PATH
        return f"{LIST_PATH}?after={self.after}&wait_ms={self.wait_ms}"


def full_list_poll() -> Poll:
    """Return a request for the full list."""
    return Poll(None, 0, RESPONSE_TIMEOUT_S)


class WatchState:
    """The version, tag and freshness of the list held, and how the last poll ended."""

    def __init__(
        self,
        version: int | None,
        random_fraction: Callable[[], float],
        min_wait_ms: int | None = None,
    ) -> None:
        """Start from `version`; None: no list is held.

        `random_fraction` draws from 0 to 1.  `min_wait_ms` replaces the shortest wait of a poll.
        """
        self.version = version
        self.tag: str | None = None  # of the list held, where a relay sent it
        self.as_of = -math.inf  # the list held is no older than this
        self.random_fraction = random_fraction
        self._min_wait_ms = min_wait_ms
        self._last_poll_timed_out = False
        self._source_switched = False

    def next_poll(self, has_relays: bool) -> Poll:
        """Return what a watch requests next."""
        is_probe = self._last_poll_timed_out or self._source_switched
        self._source_switched = False
        if self.version is None:
            return full_list_poll()
        if is_probe:
            return Poll(self.version, PROBE_WAIT_MS, PROBE_WAIT_MS / 1000 + self._probe_slack_s(has_relays))
        min_wait_ms = self._min_wait_ms or (RELAY_MIN_WAIT_MS if has_relays else MIN_WAIT_MS)
        wait_ms = int(min_wait_ms * (1.0 + MAX_WAIT_SPREAD_RATIO * self.random_fraction()))
        slack_s = RELAY_SLACK_S if has_relays else WATCH_SLACK_S
        return Poll(self.version, wait_ms, wait_ms / 1000 + slack_s)

    @staticmethod
    def _probe_slack_s(has_relays: bool) -> float:
        return RELAY_SLACK_S if has_relays else RESPONSE_TIMEOUT_S

    def conditional_headers(self, poll: Poll, now: float) -> Headers:
        """Return the headers by which a relay recognizes the list held, as of sending."""
        if self.tag is None or poll.after is None:
            return []
        return [("If-None-Match", self.tag), (AGE_HEADER, str(int(1000 * (now - self.as_of))))]

    def record_poll(self, timed_out: bool) -> None:
        """Note how a poll ended."""
        self._last_poll_timed_out = timed_out

    def record_source_switch(self) -> None:
        """Note that the next poll is the first at another source."""
        self._source_switched = True

    def is_outdated(self, version: int, as_of: float) -> bool:
        """Return whether a list as of that time is, or may be, older than the one held."""
        if as_of < self.as_of - AS_OF_TOLERANCE_S:
            return True
        return version < (self.version or 0) and as_of < self.as_of + AS_OF_TOLERANCE_S

    def confirm(self, as_of: float) -> None:
        """Note that the list held, with an answer applied, was current at that time."""
        self.as_of = max(self.as_of, as_of)

    def record_list(self, version: int | None, tag: str | None) -> None:
        """Note the version and the tag of the list now held; version None: the full list is needed."""
        self.version, self.tag = version, tag

    def discard_version(self) -> None:
        """Request the full list next."""
        self.version = None

    def reset(self) -> None:
        """Forget the list held: another service's versions can't be compared with it."""
        self.version, self.tag, self.as_of = None, None, -math.inf
        self._last_poll_timed_out = False
