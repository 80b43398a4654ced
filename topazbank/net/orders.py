"""What the operators have ordered, on disk: it outlasts a crash, and both processes of an upgrade share it.

One empty file for each excluded server, named by its id, and one for a drain.  To make or remove a file is
atomic, so nothing is ever read half written, and two processes never overwrite each other's orders.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from urllib.parse import quote, unquote


class Orders:
    """The folder of orders.  All may raise OSError: then nothing has changed."""

    def __init__(self, folder: Path) -> None:
        self._excluded = folder / "excluded"
        self._evacuated = folder / "evacuated"

    def read(self) -> tuple[frozenset[str], bool]:
        """The servers left out, and whether the sidecar is to be empty."""
        try:
            names = os.listdir(self._excluded)
        except FileNotFoundError:
            names = []
        excluded = frozenset(unquote(name, errors="replace") for name in names)
        return excluded, self._evacuated.exists()

    def exclude(self, server: str) -> None:
        self._excluded.mkdir(exist_ok=True)
        (self._excluded / _file_name(server)).touch()

    def include(self, server: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            (self._excluded / _file_name(server)).unlink()

    def evacuate(self) -> None:
        self._evacuated.touch()

    def rejoin(self) -> None:
        self._evacuated.unlink(missing_ok=True)


def _file_name(server: str) -> str:
    """A name without slashes, and none of the two that stand for folders."""
    return quote(server, safe="").replace(".", "%2E")
