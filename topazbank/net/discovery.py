"""The list of servers: watches and fetches.  When to ask is not decided here."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

import h11

from topazbank.net.endpoint_list import ListUpdate, parse_list
from topazbank.net.upstream import Address, Connection, Response, connect

log = logging.getLogger(__name__)

_PATH = "/registry/instances"
# A watch that fell silent has its news counted as told 6 s later, or 2 s after its wait where that is later.
# It is noticed 3.5 s after its call at the latest, and asked anew at once by a call that hardly waits: where
# that one is silent too, the third goes out 5.6 s after the first.
_WAIT_MS = 1_500  # how long a call of a watch may wait, at least: silence is noticed after it
_WAIT_SPREAD = 1_000 / 1_500  # and by up to how much longer, by chance: not all sidecars call in one moment
_LATE_S = 1.0  # what the answer may take beyond the wait
_QUICK_MS = 100  # the wait of a call after silence: its answer tells at once whether the service is there
_CALL_S = 2.0  # what a call may take besides: the service itself fails those that stood in its queue so long
_IDLE_S = 0.1  # between watches that come back at once with nothing, well within the 200 ms of one watch
_LIST_MOST = 1024 * 1024  # thousands of servers; parsed, junk takes some twenty times its size


class Discovery:
    """Watches the list while that is wanted; each call has a connection of its own.

    A watch that is wanted always goes on or has a next try planned: whoever hears that it ended plans one,
    and should that not happen, it is begun again after `again_s`.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        told: Callable[[ListUpdate | None, bool], None],
        again_s: float = 25.0,
        chance: Callable[[], float] = random.random,
    ) -> None:
        """`told` takes an answer, or None and whether the call fell silent rather than fail."""
        self._address = address
        self._version: int | None = version  # None: the whole list is needed first
        self._told = told
        self._again_s = again_s
        self._chance = chance
        self._moves = 0  # what was asked before the last of them counts no more
        self._silent = False  # the last call was not answered
        self._closed = False
        self._watch: asyncio.Task[None] | None = None
        self._again: asyncio.TimerHandle | None = None
        self._fetches: set[asyncio.Task[bool]] = set()

    def place(self) -> str:
        """Where discovery is asked."""
        return "{}:{}".format(*self._address)

    def begin(self, version: int) -> None:
        """Ask for what changed since this version, before anything was asked."""
        self._version = version

    def follow(self, wanted: bool) -> None:
        """Begin a watch or end it; one that is under way goes on."""
        if not wanted:
            self.stop()
        elif not self._closed and (self._watch is None or self._watch.done()):
            self._plan_none()
            self._watch = asyncio.get_running_loop().create_task(self._keep_watch())
            self._watch.add_done_callback(self._watch_over)

    def fetch(self) -> None:
        """Ask once for the whole list."""
        task = asyncio.get_running_loop().create_task(self._ask(_PATH, _CALL_S))
        self._fetches.add(task)
        task.add_done_callback(lambda done: self._fetches.discard(done))

    def move(self, address: Address) -> bool:
        """Ask elsewhere from now on, the whole list first: what versions mean there is not known.

        Says whether that is another place, and the run is not over.
        """
        if address == self._address or self._closed:
            return False
        self._address, self._version, self._silent = address, None, False
        self._moves += 1
        self.stop()
        self.follow(True)
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
            self._again = asyncio.get_running_loop().call_later(self._again_s, self.follow, True)

    async def _keep_watch(self) -> None:
        """Call again as soon as a call is answered: later than 200 ms it would be a new watch."""
        loop = asyncio.get_running_loop()
        while True:
            began, version = loop.time(), self._version
            if not await self._ask(*self._next_call()):
                return
            if self._version == version and loop.time() < began + _IDLE_S:
                await asyncio.sleep(_IDLE_S)  # guards against spinning on a service that does not wait

    def _next_call(self) -> tuple[str, float]:
        """What a watch asks for next, and how many seconds that may take."""
        if self._version is None:
            return _PATH, _CALL_S
        wait_ms = _QUICK_MS if self._silent else int(_WAIT_MS * (1.0 + _WAIT_SPREAD * self._chance()))
        late_s = _CALL_S if self._silent else _LATE_S
        return f"{_PATH}?after={self._version}&wait_ms={wait_ms}", wait_ms / 1000 + late_s

    async def _ask(self, target: str, limit_s: float) -> bool:
        """Make a call and tell what came of it; say whether the watch may go on."""
        told: ListUpdate | None = None
        silent = False
        moves, version, began = self._moves, self._version, asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(limit_s):
                told = self._read(await self._call(target))
            end = f"version {told.version}, {len(told.entries)} lines{', all' if told.complete else ''}"
        except (OSError, ValueError, RecursionError) as fault:  # JSON nested too deep is junk like any other
            end = str(fault) or type(fault).__name__
            silent = isinstance(fault, TimeoutError)
        except Exception:
            log.exception("a call to discovery failed")
            end = "a defect"
        log.info("discovery: %.100s after %.1f s", end, asyncio.get_running_loop().time() - began)
        if moves != self._moves:
            return False  # it is asked elsewhere by now, and what this said means nothing there
        self._silent = silent
        if told is not None and target != _PATH and version is not None and told.version < version:
            log.warning("discovery went back from version %d: the whole list is asked for", version)
            self._version = None
            await asyncio.sleep(_IDLE_S)  # guards against spinning on a service that always does
            return True
        return self._tell(told, silent)

    def _tell(self, told: ListUpdate | None, silent: bool) -> bool:
        if told is not None:
            self._version = told.version
            try:
                self._told(told, False)
                return True
            except Exception:
                log.exception("the list could not be taken: it is asked for as a whole")
                self._version = None
        # Once this watch is over, so that another may begin on it.
        asyncio.get_running_loop().call_soon(self._tell_failed, self._moves, silent)
        return False

    def _tell_failed(self, moves: int, silent: bool) -> None:
        if moves == self._moves and not self._closed:
            self._told(None, silent)

    @staticmethod
    def _read(response: Response | None) -> ListUpdate:
        if response is None:
            raise ConnectionResetError("the connection broke")
        if response.status != 200:
            raise ConnectionRefusedError(f"status {response.status}")
        return parse_list(json.loads(response.body))

    async def _call(self, target: str) -> Response | None:
        connection = await connect(self._address, _LIST_MOST)
        try:
            return await self._exchange(connection, target)
        finally:
            connection.abort()

    async def _exchange(self, connection: Connection, target: str) -> Response | None:
        answer: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()
        host = f"{self._address[0]}:{self._address[1]}"
        head = h11.Request(method="GET", target=target, headers=[("Host", host), ("Connection", "close")])

        def ended(response: Response | None) -> None:
            if not answer.done():
                answer.set_result(response)

        connection.request(head, b"", ended)
        return await answer
