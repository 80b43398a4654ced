"""What the operators have ordered, on disk: it outlasts a crash, and both processes of an upgrade share it.

One empty file for each excluded server, named by its id, one for each order on a zone, and one for a
drain.  To make or remove a file is
atomic, so nothing is ever read half written, and two processes never overwrite each other's orders.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from urllib.parse import quote, unquote


class OperatorOverrides:
    """The folder of orders.  All may raise OSError: then nothing has changed."""

    def __init__(self, folder: Path) -> None:
        self._excluded = folder / "excluded"
        self._evacuated = folder / "evacuated"
        self._zones = folder / "zones"

    def load(self) -> tuple[frozenset[str], bool]:
        """The servers left out, and whether the sidecar is to be empty."""
        try:
            names = os.listdir(self._excluded)
        except FileNotFoundError:
            names = []
        excluded = frozenset(unquote(name, errors="replace") for name in names)
        return excluded, self._evacuated.exists()

    def disable_server(self, server: str) -> None:
        self._excluded.mkdir(exist_ok=True)
        (self._excluded / _file_name(server)).touch()

    def enable_server(self, server: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            (self._excluded / _file_name(server)).unlink()

    def zone_overrides(self) -> dict[str, str]:
        """What is ordered of zones, by name; a file `NAME=ORDER` each."""
        try:
            names = os.listdir(self._zones)
        except FileNotFoundError:
            return {}
        pairs = (name.partition("=") for name in sorted(names))
        return {unquote(zone, errors="replace"): order for zone, _, order in pairs}

    def set_zone_override(self, zone: str, order: str | None) -> None:
        """Order something of a zone, in place of any earlier order; None ends it."""
        self._zones.mkdir(exist_ok=True)
        kept = f"{_file_name(zone)}={order}" if order is not None else ""
        if kept:
            (self._zones / kept).touch()
        for name in os.listdir(self._zones):
            if name != kept and name.partition("=")[0] == _file_name(zone):
                with contextlib.suppress(FileNotFoundError):
                    (self._zones / name).unlink()

    def start_drain(self) -> None:
        self._evacuated.touch()

    def end_drain(self) -> None:
        self._evacuated.unlink(missing_ok=True)


def _file_name(server: str) -> str:
    """A name without slashes, and none of the two that stand for folders."""
    return quote(server, safe="").replace(".", "%2E")
