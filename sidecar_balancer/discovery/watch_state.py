"""The state of one watch: the version of the list, the next poll, and the check for outdated responses.

Sans-IO.  Times are in seconds on the event loop's clock.

The operators require that a change takes effect within 6 s.  The poll of a watch times out after at most
3.5 s.  The next poll follows at once and asks for a short wait; if it times out too, the third poll starts
within 5.6 s of the first.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from sidecar_balancer.discovery.protocol import AGE_HEADER, LIST_PATH, Headers

# How long a watch poll asks the source to wait for a change.  The random part spreads a fleet's polls.
MIN_WAIT_MS = 1_500
MAX_WAIT_SPREAD_RATIO = 1_000 / 1_500
PROBE_WAIT_MS = 100  # wait after a timeout or switch of sources, to learn quickly whether the source responds
# How long a response may take beyond the requested wait.
WATCH_SLACK_S = 1.0
RESPONSE_TIMEOUT_S = 2.0  # the discovery service itself fails requests that were queued for this long
# With several relays, a client leaves an unresponsive one within 2.7 s, and each further one after 1.1 s.
RELAY_MIN_WAIT_MS = 1_000
RELAY_SLACK_S = 1.0
AS_OF_TOLERANCE_S = 0.25  # error of an `as_of` time, due to the network and to busy processes


class Poll(NamedTuple):
    """One request for the list."""

    after: int | None  # the changes since this version are requested; None: the full list
    wait_ms: int
    timeout_s: float

    @property
    def target(self) -> str:
        """The request target, as the published protocol defines it."""
        if self.after is None:
            return LIST_PATH
        return f"{LIST_PATH}?after={self.after}&wait_ms={self.wait_ms}"


def full_list_poll() -> Poll:
    """Return a request for the full list."""
    return Poll(None, 0, RESPONSE_TIMEOUT_S)


class WatchState:
    """The version, tag and age of the current list, and how the last poll ended."""

    def __init__(
        self,
        version: int | None,
        random_fraction: Callable[[], float],
        min_wait_ms: int | None = None,
    ) -> None:
        """Start from `version`; None: there is no list yet.

        `random_fraction` returns a number from 0 to 1.  `min_wait_ms` overrides the shortest wait of a poll.
        """
        self.version = version
        self.tag: str | None = None  # entity tag of the current list, if a relay sent it
        self.as_of = -math.inf  # the current list was up to date at this time
        self.random_fraction = random_fraction
        self._min_wait_ms = min_wait_ms
        self._last_poll_timed_out = False
        self._source_switched = False

    def next_poll(self, has_relays: bool) -> Poll:
        """Return the next poll of the watch."""
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
        """Return the headers that tell a relay the tag of the current list and its age at `now`."""
        if self.tag is None or poll.after is None:
            return []
        return [("If-None-Match", self.tag), (AGE_HEADER, str(int(1000 * (now - self.as_of))))]

    def record_poll(self, timed_out: bool) -> None:
        """Record how a poll ended."""
        self._last_poll_timed_out = timed_out

    def record_source_switch(self) -> None:
        """Record that the next poll is the first at another source."""
        self._source_switched = True

    def is_outdated(self, version: int, as_of: float) -> bool:
        """Return whether a received list is, or may be, older than the current one."""
        if as_of < self.as_of - AS_OF_TOLERANCE_S:
            return True
        return version < (self.version or 0) and as_of < self.as_of + AS_OF_TOLERANCE_S

    def record_as_of(self, as_of: float) -> None:
        """Record that the list, with the response applied, was up to date at `as_of`."""
        self.as_of = max(self.as_of, as_of)

    def record_list(self, version: int | None, tag: str | None) -> None:
        """Record the version and tag of the current list; version None: request the full list next."""
        self.version, self.tag = version, tag

    def discard_version(self) -> None:
        """Make the next poll request the full list."""
        self.version = None

    def reset(self) -> None:
        """Discard the current list, whose version can't be compared with those of another service."""
        self.version, self.tag, self.as_of = None, None, -math.inf
        self._last_poll_timed_out = False
