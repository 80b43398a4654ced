"""Work in threads: its order, its ends, and what happens when too much of it waits."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from functools import partial

import pytest

from loopback import WAIT_TIMEOUT_S, run_scenario
from sidecar_balancer.runtime import background
from sidecar_balancer.runtime.background import (
    BackgroundThread,
    Completion,
    FileOperationRejectedError,
    FileWorker,
)


def blocking_call() -> tuple[Callable[[], None], threading.Event, threading.Event]:
    """Return a call that waits, the event that it has begun, and the event that lets it end."""
    has_begun, may_end = threading.Event(), threading.Event()

    def wait() -> None:
        has_begun.set()
        may_end.wait(WAIT_TIMEOUT_S)

    return wait, has_begun, may_end


def test_operations_run_in_order_off_the_event_loop_and_end_on_it() -> None:
    async def scenario() -> None:
        worker = FileWorker()
        ran_in: list[threading.Thread] = []
        ended: list[int] = []

        def operate(number: int) -> int:
            ran_in.append(threading.current_thread())
            return number

        def on_done(completion: Completion[int]) -> None:
            assert threading.current_thread() is threading.main_thread()
            ended.append(completion.get())

        for number in range(10):
            worker.start(partial(operate, number), on_done)
        assert await worker.run(partial(operate, 10)) == 10
        assert ended == list(range(10))
        worker.close()
        assert threading.main_thread() not in ran_in

    run_scenario(scenario())


def test_the_event_loop_goes_on_while_an_operation_waits() -> None:
    async def scenario() -> None:
        worker = FileWorker()
        wait, has_begun, may_end = blocking_call()
        running = asyncio.create_task(worker.run(wait))
        await asyncio.sleep(0)
        assert has_begun.wait(WAIT_TIMEOUT_S)
        await asyncio.sleep(0.01)
        assert not running.done()
        may_end.set()
        await running
        worker.close()

    run_scenario(scenario())


def test_an_exception_reaches_whoever_started_the_operation() -> None:
    def fail() -> None:
        raise PermissionError("read-only")

    async def scenario() -> None:
        worker = FileWorker()
        with pytest.raises(PermissionError, match="read-only"):
            await worker.run(fail)
        worker.close()

    run_scenario(scenario())


def test_operations_beyond_the_limit_are_rejected_and_those_before_still_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(background, "_MAX_WAITING_FILE_OPERATIONS", 2)

    async def scenario() -> None:
        worker = FileWorker()
        wait, has_begun, may_end = blocking_call()
        first = asyncio.create_task(worker.run(wait))
        await asyncio.sleep(0)
        assert has_begun.wait(WAIT_TIMEOUT_S)
        waiting = [asyncio.create_task(worker.run(lambda: "ran")) for _ in range(3)]
        with pytest.raises(FileOperationRejectedError):
            await waiting[2]
        may_end.set()
        assert await asyncio.gather(first, *waiting[:2]) == [None, "ran", "ran"]
        worker.close()

    run_scenario(scenario())


def test_a_closed_worker_reports_no_end_and_its_thread_ends() -> None:
    async def scenario() -> None:
        worker = FileWorker()
        ended: list[Completion[None]] = []
        wait, has_begun, may_end = blocking_call()
        worker.start(wait, ended.append)
        assert has_begun.wait(WAIT_TIMEOUT_S)
        worker.close()
        worker.start(wait, ended.append)
        may_end.set()
        thread = worker._thread._thread
        assert thread is not None
        thread.join(WAIT_TIMEOUT_S)
        assert not thread.is_alive()
        await asyncio.sleep(0)
        assert not ended

    run_scenario(scenario())


def test_waiting_for_a_thread_ends_at_its_timeout() -> None:
    thread = BackgroundThread("test", 4)
    wait, has_begun, may_end = blocking_call()
    assert thread.submit(wait)
    assert has_begun.wait(WAIT_TIMEOUT_S)
    thread.wait_until_done(0.01)
    may_end.set()
    ran: list[int] = []
    assert thread.submit(lambda: ran.append(1))
    thread.wait_until_done(WAIT_TIMEOUT_S)
    assert ran == [1]
