"""The resident memory of this process, as Linux reports it."""

from __future__ import annotations

import contextlib
import os
import resource

_STATM_PATH = "/proc/self/statm"
_STATM_BYTES = 128
_PAGE_BYTES = resource.getpagesize()


class ResidentMemory:
    """The process's memory counters, which stay open, as opening a file may take long."""

    def __init__(self) -> None:
        """Open the counters; without them the memory is unknown."""
        self._file: int | None = None
        with contextlib.suppress(OSError):
            self._file = os.open(_STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)

    def read(self) -> int:
        """Return the resident memory in bytes; 0 if it is unknown."""
        if self._file is None:
            return 0
        try:
            return int(os.pread(self._file, _STATM_BYTES, 0).split()[1]) * _PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0

    def close(self) -> None:
        """Close the counters; a second call has no effect."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
