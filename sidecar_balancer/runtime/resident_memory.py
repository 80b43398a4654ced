"""The resident memory of this process, as Linux reports it."""

from __future__ import annotations

import resource
from pathlib import Path

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory in bytes; 0 if it is unknown."""
    try:
        return int(_STATM.read_text(encoding="ascii").split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
