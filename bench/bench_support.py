"""Helpers of the benchmarks; importing this puts tests/support and tools on the import path."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
for folder in ("tests/support", "tools"):
    sys.path.insert(0, str(ROOT / folder))

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@contextlib.contextmanager
def source_tree(revision: str) -> Iterator[Path]:
    """Yield a temporary folder with the files of a commit; raise CalledProcessError if it does not exist."""
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(["git", "archive", revision], cwd=ROOT, check=True, capture_output=True)
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        yield Path(folder)


def revision() -> str:
    """Return the abbreviated hash of the commit that is measured."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.strip()


def cpu_s(pid: int) -> float:
    """Return the CPU time in seconds that a process has used so far, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
