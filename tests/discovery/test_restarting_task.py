"""A restarting task runs once at a time, and restarts after it has ended but not after it was stopped."""

from __future__ import annotations

import asyncio

from sidecar_balancer.discovery.restarting_task import RestartingTask
from virtual_clock import RunScenario

RESTART_AFTER_S = 7.0


class Runs:
    """Records when a coroutine that takes a second is started."""

    def __init__(self) -> None:
        self.started_at: list[float] = []

    async def run(self) -> None:
        self.started_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(1.0)


def test_a_running_task_is_not_started_again(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        runs = Runs()
        task = RestartingTask(runs.run, RESTART_AFTER_S)
        for _ in range(3):
            task.start()
            await asyncio.sleep(0.1)
        assert task.is_running
        assert len(runs.started_at) == 1
        task.stop()

    on_virtual_clock(scenario())


def test_a_task_that_ended_restarts_by_itself(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        runs = Runs()
        task = RestartingTask(runs.run, RESTART_AFTER_S)
        task.start()
        await asyncio.sleep(1.0 + RESTART_AFTER_S + 0.5)
        first, second = runs.started_at
        assert 1.0 + RESTART_AFTER_S <= second - first < 1.1 + RESTART_AFTER_S
        task.stop()

    on_virtual_clock(scenario())


def test_a_start_after_the_end_replaces_the_restart(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        runs = Runs()
        task = RestartingTask(runs.run, RESTART_AFTER_S)
        task.start()
        await asyncio.sleep(3.0)
        task.start()
        await asyncio.sleep(1.0 + RESTART_AFTER_S - 0.5)
        assert len(runs.started_at) == 2
        task.stop()

    on_virtual_clock(scenario())


def test_a_stopped_task_does_not_restart(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        runs = Runs()
        task = RestartingTask(runs.run, RESTART_AFTER_S)
        task.start()
        await asyncio.sleep(0.5)
        cancelled = task.stop()
        await asyncio.sleep(3 * RESTART_AFTER_S)
        assert cancelled is not None
        assert cancelled.cancelled()
        assert not task.is_running
        assert len(runs.started_at) == 1

    on_virtual_clock(scenario())
