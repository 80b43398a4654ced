"""A sidecar whose file system becomes slow: from SIGUSR1 on, each file operation takes half a second.

Run in place of the module `sidecar_balancer`.  Slow are opening, listing, creating, deleting and locking
files anywhere, /proc and imported modules included, as well as syncs.
"""

from __future__ import annotations

import os
import runpy
import signal
import sys
import time
from pathlib import Path

DELAY_S = 0.5
_SLOW_EVENTS = {
    "open",
    "os.listdir",
    "os.mkdir",
    "os.remove",
    "os.rename",
    "os.rmdir",
    "os.scandir",
    "os.truncate",
    "os.utime",
    "fcntl.fcntl",
    "fcntl.flock",
    "fcntl.lockf",
}


class SlowFiles:
    """An audit hook that delays the operations on files."""

    def __init__(self) -> None:
        self._is_slow = False

    def start(self, *_: object) -> None:
        """Make the file system slow."""
        self._is_slow = True

    def audit(self, event: str, _arguments: object) -> None:
        """Delay an operation on files, in the thread that performs it."""
        if self._is_slow and event in _SLOW_EVENTS:
            time.sleep(DELAY_S)

    def sync(self, _descriptor: int) -> None:
        """Delay a sync."""
        if self._is_slow:
            time.sleep(DELAY_S)


def main() -> None:
    """Run the sidecar."""
    files = SlowFiles()
    signal.signal(signal.SIGUSR1, files.start)
    sys.addaudithook(files.audit)
    os.fsync = files.sync  # type: ignore[assignment]
    sys.path[0] = str(Path(__file__).parent.parent.parent)
    runpy.run_module("sidecar_balancer", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
