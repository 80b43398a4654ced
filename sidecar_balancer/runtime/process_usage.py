"""What the processes of one sidecar use: during an upgrade two of them share its limits.

Each process writes a record to its own region of a file that all of them map, and reads those of the others.
A record that has not been renewed for a while belongs to a process that has ended.
"""

from __future__ import annotations

import logging
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from sidecar_balancer.runtime.shared_file import SharedFile

log = logging.getLogger(__name__)

_FILE_PREFIX = "process-usage-2"  # the number changes with the form of a record
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
        self._monotonic_s = monotonic_s
        self._file: SharedFile | None = None
        if folder is not None:
            try:
                self._file = SharedFile(folder / f"{_FILE_PREFIX}{name}", _RECORD.size)
            except OSError as error:
                extra = {"event": "process_usage_not_shared"}
                log.warning("an upgrade will not share the limits: %s", error, extra=extra)

    def publish(self, usage: ProcessUsage) -> None:
        """Write this process's record."""
        if self._file is not None:
            _RECORD.pack_into(
                self._file.own,
                0,
                self._monotonic_s(),
                usage.processes,
                usage.resident_bytes,
                usage.client_connections,
                usage.server_connections,
            )

    def others(self) -> ProcessUsage:
        """Return the sum of what the other live processes use."""
        regions = [] if self._file is None else self._file.others()
        return sum((self._read(region) for region in regions), ProcessUsage())

    def _read(self, region: memoryview) -> ProcessUsage:
        written_at, *fields = _RECORD.unpack(region)
        is_recent = 0.0 <= self._monotonic_s() - written_at <= _MAX_AGE_S
        return ProcessUsage(*fields) if is_recent else ProcessUsage()

    def close(self) -> None:
        """Clear this process's record."""
        if self._file is not None:
            self._file.own[:] = bytes(_RECORD.size)
            self._file.close()
            self._file = None
