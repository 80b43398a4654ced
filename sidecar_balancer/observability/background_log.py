"""A log handler that never waits for whoever reads the log."""

from __future__ import annotations

import logging

from sidecar_balancer.runtime.background import BackgroundThread

MAX_WAITING_LINES = 256
EXIT_TIMEOUT_S = 0.2


class BackgroundHandler(logging.Handler):
    """Passes records to another handler in a thread; while too many wait, further ones are dropped.

    The next line that passes adds the number of those dropped before it to that of suppressed ones.
    """

    def __init__(self, handler: logging.Handler) -> None:
        """Write through `handler`."""
        super().__init__()
        self._handler = handler
        self._thread = BackgroundThread("log", MAX_WAITING_LINES)
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Pass a record on; its message is built now, as its arguments may change."""
        record.msg, record.args = record.getMessage(), None
        if self._dropped:
            record.suppressed = getattr(record, "suppressed", 0) + self._dropped
        self._dropped = 0 if self._thread.submit(lambda: self._handler.handle(record)) else self._dropped + 1

    def flush(self) -> None:
        """Wait a short time for the lines that were passed on; called at the exit."""
        self._thread.wait_until_done(EXIT_TIMEOUT_S)
