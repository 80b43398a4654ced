"""The operators' overrides on disk: they survive a crash, and both processes of an upgrade share them.

In the folder, an empty file for each disabled server (`excluded/SERVER`), for each override of a zone
(`zones/ZONE=OVERRIDE`) and for a drain (`evacuated`).  To create or delete a file is atomic, so no process
reads a partial override or overwrites that of another.
"""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import NamedTuple
from urllib.parse import quote, unquote


class StoredOverrides(NamedTuple):
    """The overrides of servers and of the whole sidecar."""

    disabled_servers: frozenset[str]
    is_draining: bool


class OperatorOverrides:
    """The folder of overrides.  Every method may raise OSError, and then has changed nothing."""

    def __init__(self, folder: Path) -> None:
        self._servers = folder / "excluded"
        self._drain = folder / "evacuated"
        self._zones = folder / "zones"

    def load(self) -> StoredOverrides:
        """Read the overrides of servers and of the whole sidecar."""
        disabled = frozenset(unquote(name, errors="replace") for name in _names(self._servers))
        return StoredOverrides(disabled, self._drain.exists())

    def disable_server(self, server: str) -> None:
        """Store that the server gets no requests."""
        self._servers.mkdir(exist_ok=True)
        (self._servers / _file_name(server)).touch()

    def enable_server(self, server: str) -> None:
        """Store that the server is used again."""
        with contextlib.suppress(FileNotFoundError):
            (self._servers / _file_name(server)).unlink()

    def zone_overrides(self) -> dict[str, str]:
        """Read the name of each zone's override."""
        pairs = (name.partition("=") for name in sorted(_names(self._zones)))
        return {unquote(zone, errors="replace"): override for zone, _, override in pairs}

    def set_zone_override(self, zone: str, override: str | None) -> None:
        """Store the override of a zone in place of any earlier one; None ends it."""
        self._zones.mkdir(exist_ok=True)
        current = f"{_file_name(zone)}={override}" if override is not None else ""
        if current:
            (self._zones / current).touch()
        for name in _names(self._zones):
            if name != current and name.partition("=")[0] == _file_name(zone):
                (self._zones / name).unlink(missing_ok=True)

    def start_drain(self) -> None:
        """Store that the whole sidecar is to drain."""
        self._drain.touch()

    def end_drain(self) -> None:
        """Store that the sidecar is to accept clients again."""
        self._drain.unlink(missing_ok=True)


def _names(folder: Path) -> list[str]:
    try:
        return [path.name for path in folder.iterdir()]
    except FileNotFoundError:
        return []


def _file_name(name: str) -> str:
    """Return a file name for any server or zone: without slashes, and neither "." nor ".."."""
    return quote(name, safe="").replace(".", "%2E")
