"""A task that is started on demand and restarts by itself some time after it has ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class RestartingTask:
    """Runs at most one instance of a coroutine at a time."""

    def __init__(self, run: Callable[[], Coroutine[Any, Any, None]], restart_after_s: float) -> None:
        self._run = run
        self._restart_after_s = restart_after_s
        self._task: asyncio.Task[None] | None = None
        self._restart_timer: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether the coroutine is running."""
        return self._task is not None and not self._task.done()

    def start(self) -> None:
        """Start the coroutine unless it is running."""
        if not self.is_running:
            self._cancel_restart()
            self._task = asyncio.get_running_loop().create_task(self._run())
            self._task.add_done_callback(self._on_done)

    def stop(self) -> asyncio.Task[None] | None:
        """Cancel the coroutine and its restart; return the cancelled task, if there is one."""
        self._cancel_restart()
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        return task

    def _cancel_restart(self) -> None:
        if self._restart_timer is not None:
            self._restart_timer.cancel()
            self._restart_timer = None

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Schedule a restart, however the task has ended, unless it was stopped."""
        if task is self._task:
            self._restart_timer = asyncio.get_running_loop().call_later(self._restart_after_s, self.start)
