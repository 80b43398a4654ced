"""An event loop on a virtual clock, which advances only when nothing else is left to do.

Loopback sockets are real; data written to one becomes readable before the clock advances.
"""

from __future__ import annotations

import asyncio
import gc
import selectors
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from sidecar_balancer.admin import status_handlers
from sidecar_balancer.runtime import clock
from sidecar_balancer.runtime.queueing import PollTimes
from sidecar_balancer.sidecar import status_log

Scenario = Coroutine[Any, Any, None]
RunScenario = Callable[[Scenario], None]

MAX_SCENARIO_S = 600.0  # longest scenario, in time of the virtual clock

_KERNEL_WAIT_S = 0.001  # real time to wait before the clock advances, for data in the kernel to arrive
_CLOSING_ITERATIONS = 5  # iterations of the event loop for closed connections to end
_MODULES_WITH_CLOCKS = (clock, status_handlers, status_log)


class _VirtualSelector(selectors.EpollSelector):
    """Selector that advances the clock instead of waiting."""

    now = 1000.0

    def __init__(self) -> None:
        super().__init__()
        self.times = PollTimes(self.now)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        entered_s = self.now
        events = self._select(timeout)
        self.times.record_poll(entered_s, self.now, timeout)
        return events

    def _select(self, timeout: float | None) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(0)
        if events or (timeout is not None and timeout <= 0):
            return events
        events = super().select(_KERNEL_WAIT_S)
        if events or timeout is None:
            return events
        self.now += timeout
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock of its own."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        self.poll_times = self._virtual_selector.times
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now

    def advance(self, span_s: float) -> None:
        """Advance the clock while the program does nothing, as on a machine that stalls."""
        self._virtual_selector.now += span_s


def stall(span_s: float) -> None:
    """Stall the program for a time on the virtual clock."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualClockLoop)
    loop.advance(span_s)


def open_descriptors() -> int:
    """Return the number of this process's open file descriptors."""
    return sum(1 for _ in Path("/proc/self/fd").iterdir())


def _replace_clocks(loop: VirtualClockLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the system's clocks with the virtual one in the modules that read them."""
    offset_s = time.time() - loop.time()
    virtual_time = SimpleNamespace(
        monotonic_ns=lambda: round(loop.time() * 1e9),
        time_ns=lambda: round((loop.time() + offset_s) * 1e9),
        process_time=time.process_time,
    )
    for module in _MODULES_WITH_CLOCKS:
        monkeypatch.setattr(module, "time", virtual_time)


async def _run_bounded(scenario: Scenario) -> None:
    async with asyncio.timeout(MAX_SCENARIO_S):
        await scenario
    for _ in range(_CLOSING_ITERATIONS):
        await asyncio.sleep(0)
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    assert not remaining, f"tasks left behind: {remaining}"


def run_on_virtual_clock(scenario: Scenario, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a scenario on a virtual clock; at its end no task, timer or descriptor may remain."""
    loop = VirtualClockLoop()
    _replace_clocks(loop, monkeypatch)
    gc.collect()
    descriptors_before = open_descriptors()
    errors: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    try:
        loop.run_until_complete(_run_bounded(scenario))
        scheduled = loop._scheduled  # type: ignore[attr-defined]  # asyncio has no public list of timers
        timers = [timer for timer in scheduled if not timer.cancelled()]
        gc.collect()
        assert open_descriptors() == descriptors_before, "descriptors left behind"
        assert not timers, f"timers left behind: {timers}"
        assert not errors, f"unforeseen errors: {errors}"
    finally:
        loop.close()
