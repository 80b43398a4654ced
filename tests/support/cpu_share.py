"""A share of a core for a process: it is stopped for the rest of each short period."""

from __future__ import annotations

import contextlib
import os
import signal
import threading
import time
from collections.abc import Iterator

_PERIOD_S = 0.03


@contextlib.contextmanager
def cpu_share(pid: int, share: float) -> Iterator[None]:
    """Let a process that this one has started run for `share` of each period, until it ends."""
    is_over = threading.Event()
    process = os.pidfd_open(pid)  # never names another process that gets the same number later

    def throttle() -> None:
        with contextlib.suppress(ProcessLookupError):
            while not is_over.is_set():
                time.sleep(share * _PERIOD_S)
                signal.pidfd_send_signal(process, signal.SIGSTOP)
                time.sleep((1.0 - share) * _PERIOD_S)
                signal.pidfd_send_signal(process, signal.SIGCONT)

    thread = threading.Thread(target=throttle)
    if share < 1.0:
        thread.start()
    try:
        yield
    finally:
        is_over.set()
        if share < 1.0:
            thread.join()
        os.close(process)
