"""For the benchmarks: the harness made known, an earlier version's sources in a folder, CPU of a process."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
for part in ("tests/support", "tools"):  # the harness and the stand-ins
    sys.path.insert(0, str(ROOT / part))


@contextlib.contextmanager
def sources(revision: str) -> Iterator[Path]:
    """The tree of a commit, in a folder that goes on leaving; raise CalledProcessError for no such commit."""
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(["git", "archive", revision], cwd=ROOT, check=True, capture_output=True)
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        yield Path(folder)


def revision() -> str:
    """The commit that is measured."""
    told = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True)
    return told.stdout.strip()


def cpu_s(pid: int) -> float:
    """Seconds of CPU that a process has taken so far, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0
