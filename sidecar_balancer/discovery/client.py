"""The discovery client: keeps a watch on the endpoint list and fetches the full list on request.

A poll goes to the registry or, where relays are configured, to one of them (docs/relay.md).  When a watch is
wanted is not decided here.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.source_connection import ListResponse, connect_to_source
from sidecar_balancer.discovery.sources import STALE_AFTER_S, SourceSelector
from sidecar_balancer.discovery.watch_events import PollFailed, WatchEvent
from sidecar_balancer.discovery.watch_state import Poll, WatchState, full_list_poll
from sidecar_balancer.runtime.queueing import PollTimes

log = logging.getLogger(__name__)

EMPTY_POLL_PAUSE_S = 0.1  # after a poll that returned early and empty; past 200 ms it would be a new watch


@dataclass(frozen=True, slots=True)
class SourceStatus:
    """Where the list comes from, in the form of the admin API."""

    address: str
    index: int | None  # version of the list held
    age_s: float | None  # how old the list is at most; None: no source has answered yet
    sources: int


@dataclass(frozen=True, slots=True)
class _Failure:
    """A poll without a usable response."""

    reason: str
    timed_out: bool


class DiscoveryClient:
    """Watches the list while that is wanted; each poll has a connection of its own.

    A watch that is wanted always runs or has a restart planned: its owner, notified that it ended, begins
    another, and should the owner not do so, it restarts by itself after `restart_after_s`.
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
        """Watch from `version` on (None: no list is held) at the first of `sources` that answers.

        Args:
            sources: Addresses in order of preference.
            version: Version of the list held; None: no list is held.
            notify: Called with each update, and with `PollFailed` once all sources failed.
            restart_after_s: When a watch that ended restarts without its owner.
            random_fraction: Draws from 0 to 1.
            poll_times: Bounds how long input may have waited unread.
            min_wait_ms: The shortest wait of a poll; None: as the protocol's timing has it.
        """
        self._sources = SourceSelector(sources, random_fraction)
        self._state = WatchState(version, random_fraction, min_wait_ms)
        self._notify = notify
        self._restart_after_s = restart_after_s
        self._random_fraction = random_fraction
        self._poll_times = poll_times or PollTimes(math.inf)
        self._generation = 0  # of the sources; responses to polls of an earlier one are dropped
        self._is_closed = False
        self._watch: asyncio.Task[None] | None = None
        self._restart: asyncio.TimerHandle | None = None
        self._fetches: set[asyncio.Task[bool]] = set()

    @property
    def is_watching(self) -> bool:
        """Whether a watch is under way."""
        return self._watch is not None and not self._watch.done()

    @property
    def is_fetching(self) -> bool:
        """Whether a fetch of the full list is under way."""
        return bool(self._fetches)

    @property
    def source_generation(self) -> int:
        """How often the sources have been replaced."""
        return self._generation

    def source_key(self) -> str:
        """Return the addresses of all sources, by which a list is recognized after a restart."""
        return ",".join("{}:{}".format(*address) for address in sorted(self._sources.addresses))

    def as_of(self) -> float:
        """Return when the list held was current, on the event loop's clock; -inf before any response."""
        return self._state.as_of

    def status(self) -> SourceStatus:
        """Return where the list comes from and how old it is."""
        age_s = asyncio.get_running_loop().time() - self._state.as_of
        address = "{}:{}".format(*self._sources.current)
        known_age_s = round(age_s, 3) if math.isfinite(age_s) else None
        return SourceStatus(address, self._state.version, known_age_s, len(self._sources.addresses))

    def resume_from(self, version: int) -> None:
        """Poll for the changes since a version that was persisted; call it before the first poll."""
        self._state.version = version

    def set_watching(self, wanted: bool) -> None:
        """Begin a watch or end it; one that is under way goes on."""
        if not wanted:
            self.stop()
        elif not self._is_closed and not self.is_watching:
            self._cancel_restart()
            self._watch = asyncio.get_running_loop().create_task(self._run_watch())
            self._watch.add_done_callback(self._on_watch_done)

    def fetch(self) -> None:
        """Request the full list once."""
        task = asyncio.get_running_loop().create_task(self._poll(full_list_poll()))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def replace_sources(self, sources: Sequence[Address]) -> bool:
        """Watch other sources from now on, beginning with the full list.

        Returns:
            Whether the sources differ and the client is not closed.
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
        """End the watch; no restart is planned any more."""
        self._cancel_restart()
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def close(self) -> None:
        """End all polls for good."""
        self._is_closed = True
        tasks = [task for task in (self._watch, *self._fetches) if task is not None]
        self.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Watches

    def _cancel_restart(self) -> None:
        if self._restart is not None:
            self._restart.cancel()
            self._restart = None

    def _on_watch_done(self, watch: asyncio.Task[None]) -> None:
        """Plan a restart, whatever ended a watch that is still wanted."""
        if watch is self._watch:
            loop = asyncio.get_running_loop()
            self._restart = loop.call_later(self._restart_after_s, self.set_watching, True)

    async def _run_watch(self) -> None:
        """Poll again as soon as a poll is answered."""
        loop = asyncio.get_running_loop()
        while True:
            if self._sources.return_to_preferred(loop.time()):
                self._record_source_switch("it is preferred")
            started_at, version = loop.time(), self._state.version
            if not await self._poll(self._state.next_poll(has_relays=len(self._sources.addresses) > 1)):
                return
            if self._state.version == version and loop.time() < started_at + EMPTY_POLL_PAUSE_S:
                await asyncio.sleep(
                    EMPTY_POLL_PAUSE_S
                )  # guards against spinning on a service that does not wait

    # One poll

    async def _poll(self, poll: Poll) -> bool:
        """Poll the current source and process the result; return whether the watch may go on."""
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
            is_since_tag = tag is not None and poll.after is not None and not result.update.complete
            return self._process_relay_response(result, result.age_s, is_since_tag)
        return await self._process_registry_response(poll, result)

    async def _attempt(self, poll: Poll) -> ListResponse | _Failure:
        try:
            async with asyncio.timeout(poll.timeout_s):
                return await self._request(poll)
        except (OSError, ValueError) as error:
            return _Failure(str(error) or type(error).__name__, isinstance(error, TimeoutError))
        except Exception:
            log.exception("a poll of discovery failed", extra={"event": "discovery_poll_defect"})
            return _Failure("a defect", timed_out=False)

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
            kind = ", the full list" if update.complete else ""
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
                "discovery went back from version %d: the full list is requested",
                poll.after,
                extra={"event": "discovery_version_decreased"},
            )
            self._state.discard_version()
            await asyncio.sleep(EMPTY_POLL_PAUSE_S)  # guards against spinning on a service that always does
            return True
        self._state.confirm(self._arrived_at())
        now = asyncio.get_running_loop().time()
        self._sources.record_response(now, self._state.as_of, is_fresh=True)
        return self._apply(update, tag=None)

    def _process_relay_response(self, response: ListResponse, age_s: float, is_since_tag: bool) -> bool:
        """Apply a relay's response unless the list held is newer; leave the relay if its list is stale.

        `is_since_tag`: the response holds the changes since the list held, which the relay knew by its tag.
        """
        now, as_of = asyncio.get_running_loop().time(), self._arrived_at() - age_s
        if not is_since_tag and self._state.is_outdated(response.update.version, as_of):
            if self._sources.record_response(now, as_of, is_fresh=False):
                self._record_source_switch(f"its list is of {now - as_of:.1f} s ago, older than the one held")
            return True
        self._state.confirm(as_of)
        if not self._apply(response.update, response.tag):
            return False
        if self._sources.record_response(now, as_of, is_fresh=age_s <= STALE_AFTER_S):
            self._record_source_switch(f"it last heard from the registry {age_s:.1f} s ago")
        return True

    def _arrived_at(self) -> float:
        """Return the earliest time at which the input of this loop turn can have arrived."""
        return min(asyncio.get_running_loop().time(), self._poll_times.unread_since)

    def _record_source_switch(self, reason: str) -> None:
        self._state.record_source_switch()
        extra = {"event": "discovery_source"}
        log.warning("discovery: now at %s:%d: %.100s", *self._sources.current, reason, extra=extra)

    # Notifications

    def _apply(self, update: ListUpdate, tag: str | None) -> bool:
        """Notify the owner of an update; return whether it was applied."""
        self._state.record_list(update.version, tag)
        try:
            self._notify(update)
        except Exception:
            log.exception(
                "the list could not be applied: the full list is requested",
                extra={"event": "discovery_update_failed"},
            )
            self._state.record_list(None, None)
            self._notify_failure_soon(timed_out=False)
            return False
        return True

    def _notify_failure_soon(self, timed_out: bool) -> None:
        """Notify the owner once this watch is over, so that another may begin."""
        asyncio.get_running_loop().call_soon(self._notify_failure, self._generation, timed_out)

    def _notify_failure(self, generation: int, timed_out: bool) -> None:
        if generation == self._generation and not self._is_closed:
            self._notify(PollFailed(timed_out))
