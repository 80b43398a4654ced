"""The discovery client: watches and fetches of the list of servers.  When to ask is not decided here.

A call goes to the registry or, where relays are configured, to one of them (docs/relay.md).  A relay answers
in the same form, and its headers tell the entity tag of the list and the age of what the relay knows.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.endpoint_list import MAX_LIST_BYTES, ListUpdate, read_list
from sidecar_balancer.discovery.sources import STALE_AFTER_S, SourceSelector
from sidecar_balancer.discovery.watch_events import PollFailed, WatchEvent
from sidecar_balancer.runtime.queueing import PollTimes
from sidecar_balancer.upstream.dialing import connect
from sidecar_balancer.upstream.response import Response
from sidecar_balancer.upstream.server_connection import ServerConnection

log = logging.getLogger(__name__)

LIST_PATH = "/registry/instances"
AGE_HEADER = "X-Source-Age-Ms"  # how long ago who sends it last heard from the registry, in milliseconds
TAG_HEADER = "ETag"  # of the list that an answer leads to; sent back as If-None-Match

# A watch that fell silent has its news counted as told 6 s later, or 2 s after its wait where that is later.
# It is noticed 3.5 s after its call at the latest, and asked anew at once by a call that hardly waits: where
# that one is silent too, the third goes out 5.6 s after the first.
_WAIT_MS = 1_500  # how long a call of a watch may wait, at least: silence is noticed after it
_WAIT_SPREAD = 1_000 / 1_500  # and by up to how much longer, by chance: not all sidecars call in one moment
_LATE_S = 1.0  # what the answer may take beyond the wait
_QUICK_MS = 100  # the wait of a call after silence: its answer tells at once whether the service is there
_CALL_S = 2.0  # what a call may take besides: the service itself fails those that stood in its queue so long
_IDLE_S = 0.1  # between watches that come back at once with nothing, well within the 200 ms of one watch
# With several relays a silent one is left for the next within 2.5 s, and a second one after another 1.1 s.
_RELAY_WAIT_MS = 1_000
_RELAY_LATE_S = 1.0
_AS_OF_ERROR_S = 0.25  # what the time that an answer stands for may be off, by the network and busy processes


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of discovery, and what a relay says of it."""

    update: ListUpdate
    age_s: float | None  # of what the relay knows; None: the registry itself answered
    tag: str | None


@dataclass(frozen=True, slots=True)
class SourceStatus:
    """Where the list comes from, for the operators."""

    address: str
    index: int | None
    age_s: float | None  # how old the news is at most; None: nothing was heard yet
    sources: int


class DiscoveryClient:
    """Watches the list while that is wanted; each call has a connection of its own.

    A watch that is wanted always goes on or has a next try planned: whoever hears that it ended plans one,
    and should that not happen, it is begun again after `restart_after_s`.
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
        """Watch from `version` on, at the first of `sources` that answers, in order of preference.

        `notify` takes an answer, or `PollFailed` once all sources failed.
        `version` None: no list is held.  `poll_times` tell how long input may have waited unread.
        """
        self._sources = SourceSelector(sources, random_fraction)
        self._version = version  # None: the whole list is needed first
        self._tag: str | None = None  # of the list that is held, where a relay told it
        self._as_of = -math.inf  # on the event loop's clock: the list that is held is no older than this
        self._notify = notify
        self._restart_after_s = restart_after_s
        self._random_fraction = random_fraction
        self._poll_times = poll_times or PollTimes(math.inf)
        self._min_wait_ms = min_wait_ms
        self._moves = 0  # what was asked before the last of them counts no more
        self._silent = False  # the last call was not answered
        self._switched = False  # the next call is the first at another source
        self._closed = False
        self._watch: asyncio.Task[None] | None = None
        self._again: asyncio.TimerHandle | None = None
        self._fetches: set[asyncio.Task[bool]] = set()

    def source_key(self) -> str:
        """Where discovery is asked: all sources, for a list that is kept across a restart."""
        return ",".join("{}:{}".format(*each) for each in sorted(self._sources.addresses))

    def as_of(self) -> float:
        """Return when the held list was current, on the event loop's clock; -inf before any answer."""
        return self._as_of

    def status(self) -> SourceStatus:
        """Return where the list comes from and how old it is."""
        age_s = asyncio.get_running_loop().time() - self._as_of
        address = "{}:{}".format(*self._sources.current)
        known_age_s = round(age_s, 3) if math.isfinite(age_s) else None
        return SourceStatus(address, self._version, known_age_s, len(self._sources.addresses))

    def resume_from(self, version: int) -> None:
        """Ask for what changed since this version, before anything was asked."""
        self._version = version

    def set_watching(self, wanted: bool) -> None:
        """Begin a watch or end it; one that is under way goes on."""
        if not wanted:
            self.stop()
        elif not self._closed and (self._watch is None or self._watch.done()):
            self._plan_none()
            self._watch = asyncio.get_running_loop().create_task(self._keep_watch())
            self._watch.add_done_callback(self._watch_over)

    def fetch(self) -> None:
        """Ask once for the whole list."""
        task = asyncio.get_running_loop().create_task(self._ask(LIST_PATH, _CALL_S))
        self._fetches.add(task)
        task.add_done_callback(lambda done: self._fetches.discard(done))

    def replace_sources(self, sources: Sequence[Address]) -> bool:
        """Ask elsewhere from now on, the whole list first: what versions mean there is not known.

        Says whether that is another place, and the run is not over.
        """
        if list(sources) == self._sources.addresses or self._closed:
            return False
        self._sources = SourceSelector(sources, self._random_fraction)
        self._version, self._tag, self._silent, self._as_of = None, None, False, -math.inf
        self._moves += 1
        self.stop()
        self.set_watching(True)
        return True

    def stop(self) -> None:
        """End the watch; nothing is planned any more."""
        self._plan_none()
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def close(self) -> None:
        """End all calls, for good."""
        self._closed = True
        calls = [each for each in (self._watch, *self._fetches) if each is not None]
        self.stop()
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    def _plan_none(self) -> None:
        if self._again is not None:
            self._again.cancel()
            self._again = None

    def _watch_over(self, watch: asyncio.Task[None]) -> None:
        """Whatever ended a watch that is still wanted, there is a next one."""
        if watch is self._watch:
            self._again = asyncio.get_running_loop().call_later(
                self._restart_after_s, self.set_watching, True
            )

    async def _keep_watch(self) -> None:
        """Call again as soon as a call is answered: later than 200 ms it would be a new watch."""
        loop = asyncio.get_running_loop()
        while True:
            if self._sources.try_preferred(loop.time()):
                self._note_switch("it is preferred")
            began, version = loop.time(), self._version
            if not await self._ask(*self._next_call()):
                return
            if self._version == version and loop.time() < began + _IDLE_S:
                await asyncio.sleep(_IDLE_S)  # guards against spinning on a service that does not wait

    def _has_relays(self) -> bool:
        return len(self._sources.addresses) > 1

    def _next_call(self) -> tuple[str, float]:
        """What a watch asks for next, and how many seconds that may take."""
        quick, self._switched = self._silent or self._switched, False
        late_s = _RELAY_LATE_S if self._has_relays() else _CALL_S if quick else _LATE_S
        if self._version is None:
            return LIST_PATH, _CALL_S
        if quick:
            wait_ms = _QUICK_MS
        else:
            least_ms = self._min_wait_ms or (_RELAY_WAIT_MS if self._has_relays() else _WAIT_MS)
            wait_ms = int(least_ms * (1.0 + _WAIT_SPREAD * self._random_fraction()))
        return f"{LIST_PATH}?after={self._version}&wait_ms={wait_ms}", wait_ms / 1000 + late_s

    async def _ask(self, target: str, limit_s: float) -> bool:
        """Make a call and tell what came of it; say whether the watch may go on."""
        answer: Answer | None = None
        silent = False
        loop = asyncio.get_running_loop()
        moves, version, tag, began = self._moves, self._version, self._tag, loop.time()
        try:
            async with asyncio.timeout(limit_s):
                answer = self._read(await self._call(target))
            update = answer.update
            kind = ", all" if update.complete else ""
            end = f"version {update.version}, {len(update.entries)} lines{kind}"
        except (OSError, ValueError, RecursionError) as fault:  # JSON nested too deep is junk like any other
            end = str(fault) or type(fault).__name__
            silent = isinstance(fault, TimeoutError)
        except Exception:
            log.exception("a call to discovery failed")
            end = "a defect"
        log.info("discovery: %.100s after %.1f s", end, loop.time() - began)
        if moves != self._moves:
            return False  # it is asked elsewhere by now, and what this said means nothing there
        self._silent = silent
        if answer is None:
            if self._sources.failed(loop.time()):
                self._note_switch(end)
                return True
            return self._tell(None, silent)
        if answer.age_s is not None:
            follows = tag is not None and target != LIST_PATH and not answer.update.complete
            return self._take_from_relay(answer, answer.age_s, follows)
        if target != LIST_PATH and version is not None and answer.update.version < version:
            log.warning("discovery went back from version %d: the whole list is asked for", version)
            self._version = None
            await asyncio.sleep(_IDLE_S)  # guards against spinning on a service that always does
            return True
        self._as_of = max(self._as_of, self._arrived_at())
        self._sources.answered(loop.time(), self._as_of, fresh=True)
        return self._tell(answer.update, silent)

    def _arrived_at(self) -> float:
        """When what was read in this step had arrived, at the earliest."""
        return min(asyncio.get_running_loop().time(), self._poll_times.unread_since)

    def _is_older(self, version: int, as_of: float) -> bool:
        """Whether a list as of that time is, or may be, older than the one held."""
        if as_of < self._as_of - _AS_OF_ERROR_S:
            return True
        return version < (self._version or 0) and as_of < self._as_of + _AS_OF_ERROR_S

    def _take_from_relay(self, answer: Answer, age_s: float, follows: bool) -> bool:
        """Take a relay's answer unless it is older than what is held; leave the relay if its news is old.

        `follows`: it tells what came after the list that is held, as the relay knew that by its tag.
        """
        now, as_of = asyncio.get_running_loop().time(), self._arrived_at() - age_s
        if not follows and self._is_older(answer.update.version, as_of):
            if self._sources.answered(now, as_of, fresh=False):
                self._note_switch(f"its list is of {now - as_of:.1f} s ago, older than the one held")
            return True
        self._as_of = max(self._as_of, as_of)
        if not self._tell(answer.update, False):
            return False
        self._tag = answer.tag
        if self._sources.answered(now, as_of, fresh=age_s <= STALE_AFTER_S):
            self._note_switch(f"it last heard from the registry {age_s:.1f} s ago")
        return True

    def _note_switch(self, why: str) -> None:
        self._switched = True
        extra = {"event": "discovery_source"}
        log.warning("discovery: now at %s:%d: %.100s", *self._sources.current, why, extra=extra)

    def _tell(self, update: ListUpdate | None, silent: bool) -> bool:
        if update is not None:
            self._version, self._tag = update.version, None
            try:
                self._notify(update)
                return True
            except Exception:
                log.exception("the list could not be taken: it is asked for as a whole")
                self._version = None
        # Once this watch is over, so that another may begin on it.
        asyncio.get_running_loop().call_soon(self._tell_failed, self._moves, silent)
        return False

    def _tell_failed(self, moves: int, silent: bool) -> None:
        if moves == self._moves and not self._closed:
            self._notify(PollFailed(silent))

    @staticmethod
    def _read(response: Response | None) -> Answer:
        if response is None:
            raise ConnectionResetError("the connection broke")
        if response.status != 200:
            raise ConnectionRefusedError(f"status {response.status}")
        age = response.header(AGE_HEADER.lower().encode())
        tag = response.header(TAG_HEADER.lower().encode())
        return Answer(read_list(response.body), _age_s(age), tag)

    async def _call(self, target: str) -> Response | None:
        connection = await connect(self._sources.current, MAX_LIST_BYTES)
        try:
            return await self._exchange(connection, target)
        finally:
            connection.abort()

    async def _exchange(self, connection: ServerConnection, target: str) -> Response | None:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Response | None] = loop.create_future()
        headers = [("Host", "{}:{}".format(*self._sources.current)), ("Connection", "close")]
        if self._tag is not None and target != LIST_PATH:
            headers += [
                ("If-None-Match", self._tag),
                (AGE_HEADER, str(int(1000 * (loop.time() - self._as_of)))),
            ]
        head = h11.Request(method="GET", target=target, headers=headers)

        def ended(response: Response | None) -> None:
            if not answer.done():
                answer.set_result(response)

        connection.request(head, b"", ended)
        return await answer


def _age_s(header: str | None) -> float | None:
    """Read a relay's age; None where there is none, ValueError where it makes no sense."""
    if header is None:
        return None
    if not header.isdecimal() or len(header) > 12:
        raise ValueError(f"{AGE_HEADER}: whole milliseconds are needed")
    return int(header) / 1000
