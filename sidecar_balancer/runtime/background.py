"""Threads for work that may wait for a disk or another process, as the event loop must not."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from functools import partial
from typing import Generic, TypeVar

_MAX_WAITING_FILE_OPERATIONS = 64
T = TypeVar("T")


class BackgroundThread:
    """A thread that runs calls one after another; it starts with the first and does not delay the exit."""

    def __init__(self, name: str, max_waiting: int) -> None:
        """Let `max_waiting` calls wait at most."""
        self._name = name
        self._max_waiting = max_waiting
        # None ends the thread.
        self._calls: queue.SimpleQueue[Callable[[], object] | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def submit(self, call: Callable[[], object]) -> bool:
        """Run `call`, which must not raise, after those before it; return False if too many wait already."""
        if self._calls.qsize() >= self._max_waiting:
            return False
        self._calls.put(call)
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
            self._thread.start()
        return True

    def _run(self) -> None:
        while (call := self._calls.get()) is not None:
            call()

    def wait_until_done(self, timeout_s: float) -> None:
        """Block until the calls submitted so far have been run, or the timeout has passed."""
        done = threading.Event()
        if self._thread is not None:
            self._calls.put(done.set)
            done.wait(timeout_s)

    def close(self) -> None:
        """End the thread after the calls submitted so far; submit no further ones."""
        if self._thread is not None:
            self._calls.put(None)


class FileOperationRejectedError(OSError):
    """Too many file operations wait for a slow disk."""


class Completion(Generic[T]):
    """The end of an operation: its result, or the exception that it raised."""

    def __init__(self, result: T | None, error: BaseException | None) -> None:
        self._result = result
        self._error = error

    def get(self) -> T:
        """Return the result; raise the operation's exception if there was one."""
        if self._error is not None:
            raise self._error
        return self._result  # type: ignore[return-value]  # T may be None


OnDone = Callable[[Completion[T]], None]
"""Receives the end of an operation, on the event loop."""


class FileWorker:
    """Runs file operations in a thread, in the order in which they were started."""

    def __init__(self) -> None:
        """Start idle."""
        self._thread = BackgroundThread("files", _MAX_WAITING_FILE_OPERATIONS)
        self._is_closed = False

    def start(self, operation: Callable[[], T], on_done: OnDone[T]) -> None:
        """Start an operation; `on_done` is called once, on the event loop, unless the worker is closed."""
        if self._is_closed:
            return
        loop = asyncio.get_running_loop()
        if not self._thread.submit(partial(self._run, operation, on_done, loop)):
            error = FileOperationRejectedError("the disk is too slow")
            loop.call_soon(self._report, on_done, Completion(None, error))

    def _run(self, operation: Callable[[], T], on_done: OnDone[T], loop: asyncio.AbstractEventLoop) -> None:
        try:
            completion = Completion(operation(), None)
        except Exception as error:  # handled by whoever started the operation
            completion = Completion(None, error)
        with contextlib.suppress(RuntimeError):  # the event loop has ended
            loop.call_soon_threadsafe(self._report, on_done, completion)

    def _report(self, on_done: OnDone[T], completion: Completion[T]) -> None:
        if not self._is_closed:
            on_done(completion)

    async def run(self, operation: Callable[[], T]) -> T:
        """Run an operation and return its result; raises what the operation raises."""
        done: asyncio.Future[Completion[T]] = asyncio.get_running_loop().create_future()
        self.start(operation, partial(_resolve, done))
        return (await done).get()

    def close(self) -> None:
        """Report no further ends of operations; those that were started still run."""
        self._is_closed = True
        self._thread.close()


def _resolve(done: asyncio.Future[Completion[T]], completion: Completion[T]) -> None:
    if not done.done():
        done.set_result(completion)
