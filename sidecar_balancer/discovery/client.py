"""The discovery client: watches the endpoint list for changes and fetches the full list on request.

Polls go to the registry or, if relays are configured, to one of them (docs/relay.md).  The client's owner
decides when to watch.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.restarting_task import RestartingTask
from sidecar_balancer.discovery.source_connection import ListResponse, connect_to_source
from sidecar_balancer.discovery.sources import STALE_AFTER_S, SourceSelector
from sidecar_balancer.discovery.watch_events import PollFailed, WatchEvent
from sidecar_balancer.discovery.watch_state import Poll, WatchState, full_list_poll
from sidecar_balancer.runtime.queueing import PollTimes

log = logging.getLogger(__name__)

EMPTY_POLL_PAUSE_S = 0.1  # pause after an early, empty poll; a poll over 200 ms later counts as a new watch


@dataclass(frozen=True, slots=True)
class SourceStatus:
    """The source and the age of the endpoint list, as the admin API reports them."""

    address: str
    index: int | None  # version of the current list
    age_s: float | None  # upper bound of the list's age; None: no source has responded yet
    sources: int


class _Failure(NamedTuple):
    """A poll without a usable response."""

    reason: str
    timed_out: bool


class DiscoveryClient:
    """Polls sources for the endpoint list and notifies its owner of updates.

    Each poll uses a connection of its own.  While the client is to watch, its watch either runs or has a
    restart scheduled: the owner is notified when a watch has failed and starts another one; otherwise the
    watch restarts by itself after `restart_after_s`.
    """

    def __init__(
        self,
        sources: Sequence[Address],
        version: int | None,
        notify: Callable[[WatchEvent], None],
        restart_after_s: float = 25.0,
        random_fraction: Callable[[], float] = random.random,
        poll_times: PollTimes | None = None,
        min_wait_ms: int | None = None,
    ) -> None:
        """Create a client that polls the first of `sources` that responds; `set_watching` starts it.

        Args:
            sources: Addresses in order of preference.
            version: Version of the current list; None: there is none.
            notify: Called with each update, and with `PollFailed` once all sources have failed.
            restart_after_s: Delay after which an ended watch restarts if its owner has not restarted it.
            random_fraction: Returns a random number from 0 to 1.
            poll_times: Bounds how long input may have waited unread.
            min_wait_ms: Shortest time for which a poll asks the source to wait; None: the default.
        """
        self._sources = SourceSelector(sources, random_fraction)
        self._state = WatchState(version, random_fraction, min_wait_ms)
        self._notify = notify
        self._random_fraction = random_fraction
        self._poll_times = poll_times or PollTimes(math.inf)
        self._generation = 0  # generation of the sources; responses to polls of an earlier one are dropped
        self._is_closed = False
        self._watch = RestartingTask(self._run_watch, restart_after_s)
        self._fetches: set[asyncio.Task[bool]] = set()

    @property
    def is_watching(self) -> bool:
        """Whether a watch is running."""
        return self._watch.is_running

    @property
    def is_fetching(self) -> bool:
        """Whether a fetch of the full list is in progress."""
        return bool(self._fetches)

    @property
    def source_generation(self) -> int:
        """Number of times that the sources have been replaced."""
        return self._generation

    def source_key(self) -> str:
        """Return the sorted addresses of all sources; they identify the source of a persisted list."""
        return ",".join("{}:{}".format(*address) for address in sorted(self._sources.addresses))

    def as_of(self) -> float:
        """Return when the list was last up to date, on the event loop's clock; -inf before any response."""
        return self._state.as_of

    def status(self) -> SourceStatus:
        """Return the source and the age of the list."""
        age_s = asyncio.get_running_loop().time() - self._state.as_of
        address = "{}:{}".format(*self._sources.current)
        known_age_s = round(age_s, 3) if math.isfinite(age_s) else None
        return SourceStatus(address, self._state.version, known_age_s, len(self._sources.addresses))

    def resume_from(self, version: int) -> None:
        """Continue from a persisted version; call this before the first poll."""
        self._state.version = version

    def set_watching(self, wanted: bool) -> None:
        """Start a watch unless one is running, or stop it."""
        if not wanted:
            self.stop()
        elif not self._is_closed:
            self._watch.start()

    def fetch(self) -> None:
        """Request the full list once."""
        task = asyncio.get_running_loop().create_task(self._poll(full_list_poll()))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def replace_sources(self, sources: Sequence[Address]) -> bool:
        """Switch to other sources and request the full list from them.

        Returns:
            Whether the client has switched: the sources differ and the client is not closed.
        """
        if list(sources) == self._sources.addresses or self._is_closed:
            return False
        self._sources = SourceSelector(sources, self._random_fraction)
        self._state.reset()
        self._generation += 1
        self.stop()
        self.set_watching(True)
        return True

    def stop(self) -> None:
        """Stop the watch and cancel its scheduled restart."""
        self._watch.stop()

    async def close(self) -> None:
        """Cancel all polls; no new watch starts afterwards."""
        self._is_closed = True
        tasks = [task for task in (self._watch.stop(), *self._fetches) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Watches

    async def _run_watch(self) -> None:
        """Poll repeatedly, each time as soon as the previous poll is answered."""
        loop = asyncio.get_running_loop()
        while True:
            if self._sources.return_to_preferred(loop.time()):
                self._record_source_switch("returning to the preferred source")
            started_at, version = loop.time(), self._state.version
            if not await self._poll(self._state.next_poll(has_relays=len(self._sources.addresses) > 1)):
                return
            if self._state.version == version and loop.time() < started_at + EMPTY_POLL_PAUSE_S:
                await asyncio.sleep(EMPTY_POLL_PAUSE_S)  # avoids a busy loop on a source that does not wait

    # One poll

    async def _poll(self, poll: Poll) -> bool:
        """Poll the current source and process the result; return whether the watch continues."""
        loop = asyncio.get_running_loop()
        generation, tag, started_at = self._generation, self._state.tag, loop.time()
        result = await self._attempt(poll)
        self._log_result(result, loop.time() - started_at)
        if generation != self._generation:
            return False
        if isinstance(result, _Failure):
            return self._process_failure(result)
        self._state.record_poll(timed_out=False)
        if result.age_s is not None:
            is_delta_from_tag = tag is not None and poll.after is not None and not result.update.complete
            return self._process_relay_response(result, result.age_s, is_delta_from_tag)
        return await self._process_registry_response(poll, result)

    async def _attempt(self, poll: Poll) -> ListResponse | _Failure:
        try:
            async with asyncio.timeout(poll.timeout_s):
                return await self._request(poll)
        except (OSError, ValueError) as error:
            return _Failure(str(error) or type(error).__name__, isinstance(error, TimeoutError))
        except Exception:
            log.exception("unexpected error in a poll of discovery", extra={"event": "discovery_poll_defect"})
            return _Failure("unexpected error", timed_out=False)

    async def _request(self, poll: Poll) -> ListResponse:
        async with connect_to_source(self._sources.current) as connection:
            now = asyncio.get_running_loop().time()
            headers = [("Host", "{}:{}".format(*self._sources.current)), ("Connection", "close")]
            return await connection.get(poll.target, headers + self._state.conditional_headers(poll, now))

    @staticmethod
    def _log_result(result: ListResponse | _Failure, elapsed_s: float) -> None:
        if isinstance(result, _Failure):
            summary = result.reason
        else:
            update = result.update
            kind = ", full list" if update.complete else ""
            summary = f"version {update.version}, {len(update.entries)} entries{kind}"
        log.info("discovery: %.100s after %.1f s", summary, elapsed_s, extra={"event": "discovery_polled"})

    def _process_failure(self, failure: _Failure) -> bool:
        self._state.record_poll(failure.timed_out)
        if self._sources.record_failure(asyncio.get_running_loop().time()):
            self._record_source_switch(failure.reason)
            return True
        self._notify_failure_soon(failure.timed_out)
        return False

    async def _process_registry_response(self, poll: Poll, response: ListResponse) -> bool:
        update = response.update
        if poll.after is not None and update.version < poll.after:
            log.warning(
                "discovery returned a version lower than %d; requesting the full list",
                poll.after,
                extra={"event": "discovery_version_decreased"},
            )
            self._state.discard_version()
            await asyncio.sleep(EMPTY_POLL_PAUSE_S)  # avoids a busy loop if every response is like this
            return True
        self._state.record_as_of(self._earliest_arrival())
        now = asyncio.get_running_loop().time()
        self._sources.record_response(now, self._state.as_of, is_fresh=True)
        return self._apply(update, tag=None)

    def _process_relay_response(self, response: ListResponse, age_s: float, is_delta_from_tag: bool) -> bool:
        """Apply a relay's response unless the current list is newer; leave the relay if its list is stale.

        `is_delta_from_tag`: the response holds the changes since the current list, whose tag the relay knew.
        """
        now, as_of = asyncio.get_running_loop().time(), self._earliest_arrival() - age_s
        if not is_delta_from_tag and self._state.is_outdated(response.update.version, as_of):
            if self._sources.record_response(now, as_of, is_fresh=False):
                self._record_source_switch(f"the previous source's list is outdated, {now - as_of:.1f} s old")
            return True
        self._state.record_as_of(as_of)
        if not self._apply(response.update, response.tag):
            return False
        if self._sources.record_response(now, as_of, is_fresh=age_s <= STALE_AFTER_S):
            self._record_source_switch(f"the previous source last heard from the registry {age_s:.1f} s ago")
        return True

    def _earliest_arrival(self) -> float:
        """Return the earliest time at which the input of this event loop iteration can have arrived."""
        return min(asyncio.get_running_loop().time(), self._poll_times.unread_since)

    def _record_source_switch(self, reason: str) -> None:
        self._state.record_source_switch()
        extra = {"event": "discovery_source"}
        log.warning("discovery: switched to %s:%d (%.100s)", *self._sources.current, reason, extra=extra)

    # Notifications

    def _apply(self, update: ListUpdate, tag: str | None) -> bool:
        """Notify the owner of an update; return whether the owner applied it."""
        self._state.record_list(update.version, tag)
        try:
            self._notify(update)
        except Exception:
            log.exception(
                "failed to apply an update of the endpoint list; requesting the full list",
                extra={"event": "discovery_update_failed"},
            )
            self._state.record_list(None, None)
            self._notify_failure_soon(timed_out=False)
            return False
        return True

    def _notify_failure_soon(self, timed_out: bool) -> None:
        """Notify the owner after this watch has ended, so that the owner can start another one."""
        asyncio.get_running_loop().call_soon(self._notify_failure, self._generation, timed_out)

    def _notify_failure(self, generation: int, timed_out: bool) -> None:
        if generation == self._generation and not self._is_closed:
            self._notify(PollFailed(timed_out))
