"""What the processes of one sidecar use: during an upgrade two of them share its limits.

Each process writes a record into its own file and reads those of the others.  A record that has not been
renewed for a while belongs to a process that has ended.
"""

from __future__ import annotations

import contextlib
import os
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

_FOLDER_PREFIX = "process-usage-1"  # the number changes with the form of a record
RENEWAL_INTERVAL_S = 0.1
_MAX_AGE_S = 1.0
_RECORD = struct.Struct("=dQQQQ")  # monotonic time in seconds, then the fields of ProcessUsage


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What one process uses, or several together.

    Attributes:
        processes: The number of processes, 1.
        resident_bytes: Its resident memory.
        client_connections: Its connections with clients.
        server_connections: Its connections with servers.
    """

    processes: int = 0
    resident_bytes: int = 0
    client_connections: int = 0
    server_connections: int = 0

    def __add__(self, other: ProcessUsage) -> ProcessUsage:
        return ProcessUsage(
            self.processes + other.processes,
            self.resident_bytes + other.resident_bytes,
            self.client_connections + other.client_connections,
            self.server_connections + other.server_connections,
        )


class UsageExchange:
    """Publishes this process's usage and reads that of the others; without a folder there are no others."""

    def __init__(
        self, folder: Path | None, name: str = "", monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        """Use a folder that all processes of the sidecar share, under a name that is its own."""
        self._folder = None if folder is None else folder / f"{_FOLDER_PREFIX}{name}"
        self._own_name = str(os.getpid())
        self._monotonic_s = monotonic_s

    def publish(self, usage: ProcessUsage) -> None:
        """Write this process's record; a failure leaves the others with an older one."""
        if self._folder is None:
            return
        record = _RECORD.pack(
            self._monotonic_s(),
            usage.processes,
            usage.resident_bytes,
            usage.client_connections,
            usage.server_connections,
        )
        with contextlib.suppress(OSError):
            self._folder.mkdir(exist_ok=True)
            (self._folder / self._own_name).write_bytes(record)

    def others(self) -> ProcessUsage:
        """Return the sum of what the other live processes use; files of ended ones are deleted."""
        total = ProcessUsage()
        if self._folder is None:
            return total
        with contextlib.suppress(OSError):
            for path in self._folder.iterdir():
                if path.name != self._own_name:
                    total += self._read(path)
        return total

    def _read(self, path: Path) -> ProcessUsage:
        record = path.read_bytes()
        if len(record) != _RECORD.size:
            return ProcessUsage()  # its writer was interrupted, and will renew it
        written_at, *fields = _RECORD.unpack(record)
        if not 0.0 <= self._monotonic_s() - written_at <= _MAX_AGE_S:
            path.unlink(missing_ok=True)
            return ProcessUsage()
        return ProcessUsage(*fields)

    def close(self) -> None:
        """Delete this process's record."""
        if self._folder is not None:
            with contextlib.suppress(OSError):
                (self._folder / self._own_name).unlink(missing_ok=True)
