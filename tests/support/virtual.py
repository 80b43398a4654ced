"""An event loop whose clock the test moves: time passes only where nothing else is left to do.

Loopback sockets are real; what was written to one is there to be read before the clock moves on.
"""

from __future__ import annotations

import asyncio
import gc
import os
import selectors
import time
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from sidecar_balancer.admin import status_handlers
from sidecar_balancer.runtime import clock, status_log
from sidecar_balancer.runtime.queueing import PollTimes

RunScene = Callable[[Coroutine[Any, Any, None]], None]

_REAL_WAIT_S = 0.001  # before the clock moves on: what is under way in the kernel arrives by then
_MOST_S = 600.0  # of the clock, for one scene


class _Selector(selectors.EpollSelector):
    """Waits by moving the clock."""

    now = 1000.0

    def __init__(self) -> None:
        super().__init__()
        self.times = PollTimes(self.now)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        entered = self.now
        events = self._select(timeout)
        self.times.polled(entered, self.now, timeout)
        return events

    def _select(self, timeout: float | None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        ready = super().select(_REAL_WAIT_S)
        if ready or timeout is None:
            return ready
        self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own."""

    def __init__(self) -> None:
        self._own = _Selector()
        self.poll_times = self._own.times
        super().__init__(self._own)

    def time(self) -> float:
        return self._own.now

    def stand_still(self, span_s: float) -> None:
        """Let time pass while the program does nothing, as on a machine that stalls."""
        self._own.now += span_s


def stall(span_s: float) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.stand_still(span_s)


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def play_on_clock(scene: Coroutine[Any, Any, None], monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a scene on a clock of its own; at its end no task, timer or descriptor may be left."""
    loop = VirtualLoop()
    offset = time.time() - loop.time()
    virtual = SimpleNamespace(
        monotonic_ns=lambda: round(loop.time() * 1e9),
        time_ns=lambda: round((loop.time() + offset) * 1e9),
        process_time=time.process_time,
    )
    for module in (clock, status_handlers, status_log):
        monkeypatch.setattr(module, "time", virtual)
    gc.collect()
    before = descriptors()
    faults: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: faults.append(context))

    async def bounded() -> None:
        async with asyncio.timeout(_MOST_S):
            await scene
        for _ in range(5):
            await asyncio.sleep(0)  # what was closed ends in the next turns
        left = asyncio.all_tasks() - {asyncio.current_task()}
        assert not left, f"tasks left behind: {left}"

    try:
        loop.run_until_complete(bounded())
        due = [each for each in loop._scheduled if not each.cancelled()]  # type: ignore[attr-defined]
        gc.collect()
        assert descriptors() == before, "descriptors left behind"
        assert not due, f"timers left behind: {due}"
        assert not faults, f"unforeseen: {faults}"
    finally:
        loop.close()
