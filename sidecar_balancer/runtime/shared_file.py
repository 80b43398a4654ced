"""A file that the processes of one sidecar map into memory, with a region for each of them.

Each process writes to its own region and reads those of the others, so none ever waits for another, and no
system call is made after the file is opened.  A region belongs to the process that holds the lock on its byte
of the header; the kernel releases the lock when that process ends.  The next owner of a region finds what was
written to it.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import mmap
import os
import struct
from pathlib import Path

MAX_REGIONS = 8  # an upgrade runs two processes; more, if upgrades follow each other quickly
_HEADER_BYTES = 4096  # a byte for each region, set once it has had an owner
_EVER_OWNED = 1
_LOCK = struct.Struct("hhqqi4x")  # Linux' struct flock: type, whence, start, length, process


class NoFreeRegionError(OSError):
    """All regions belong to other processes."""


class SharedFile:
    """The mapping of one process.

    Attributes:
        own: The region of this process.
    """

    def __init__(self, path: Path, region_bytes: int) -> None:
        """Map the file at `path`, which is created if needed, and acquire a free region.

        Raises:
            OSError: If the file can't be written or mapped, or has no free region.
        """
        self._region_bytes = region_bytes
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            size = _HEADER_BYTES + MAX_REGIONS * region_bytes
            if os.fstat(self._file).st_size < size:
                os.ftruncate(self._file, size)
            self._own_number = self._acquire_region()
            # The space is allocated now, as a write to the mapping could not report that there is none.
            os.posix_fallocate(self._file, 0, _HEADER_BYTES)
            os.posix_fallocate(self._file, self._start_of(self._own_number), region_bytes)
            self._mapping = mmap.mmap(self._file, size)
        except BaseException:
            os.close(self._file)
            raise
        self._view = memoryview(self._mapping)
        self._regions = [self._region(number) for number in range(MAX_REGIONS)]
        self._view[self._own_number] = _EVER_OWNED
        self.own = self._regions[self._own_number]

    def _acquire_region(self) -> int:
        for number in range(MAX_REGIONS):
            lock = _LOCK.pack(fcntl.F_WRLCK, os.SEEK_SET, number, 1, 0)
            try:
                fcntl.fcntl(self._file, fcntl.F_OFD_SETLK, lock)
            except (BlockingIOError, PermissionError):
                continue  # another process owns the region
            return number
        raise NoFreeRegionError(errno.EBUSY, "all regions of the shared file belong to other processes")

    def _start_of(self, number: int) -> int:
        return _HEADER_BYTES + number * self._region_bytes

    def _region(self, number: int) -> memoryview:
        start = self._start_of(number)
        return self._view[start : start + self._region_bytes]

    def others(self) -> list[memoryview]:
        """Return the regions that other processes own or have owned."""
        return [
            region
            for number, region in enumerate(self._regions)
            if number != self._own_number and self._view[number] == _EVER_OWNED
        ]

    def close(self) -> None:
        """Give the region up; what was written to it stays.  Views cast from it must be released before."""
        for view in (*self._regions, self._view):
            view.release()
        with contextlib.suppress(BufferError):  # a cast view is still in use; the mapping ends with it
            self._mapping.close()
        os.close(self._file)
