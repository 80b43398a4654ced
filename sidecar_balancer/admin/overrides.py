"""Operator overrides on disk: they survive a crash and are shared by both processes of an upgrade.

The folder has an empty file for each disabled server (`excluded/SERVER`), for each zone override
(`zones/ZONE=OVERRIDE`) and for a drain (`evacuated`).  Creating or deleting a file is atomic, so no process
reads a partial override or overwrites that of another.
"""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import NamedTuple
from urllib.parse import quote, unquote


class StoredOverrides(NamedTuple):
    """The stored overrides of servers and of the whole sidecar."""

    disabled_servers: frozenset[str]
    is_draining: bool


class OperatorOverrides:
    """The folder of overrides.  Any method may raise OSError, in which case it has changed nothing."""

    def __init__(self, folder: Path) -> None:
        self._servers_folder = folder / "excluded"
        self._drain_file = folder / "evacuated"
        self._zones_folder = folder / "zones"

    def load(self) -> StoredOverrides:
        """Read the overrides of servers and of the whole sidecar."""
        disabled = frozenset(unquote(name, errors="replace") for name in _file_names(self._servers_folder))
        return StoredOverrides(disabled, self._drain_file.exists())

    def disable_server(self, server: str) -> None:
        """Store that the server is disabled."""
        self._servers_folder.mkdir(exist_ok=True)
        (self._servers_folder / _file_name(server)).touch()

    def enable_server(self, server: str) -> None:
        """Store that the server is no longer disabled."""
        with contextlib.suppress(FileNotFoundError):
            (self._servers_folder / _file_name(server)).unlink()

    def zone_overrides(self) -> dict[str, str]:
        """Read the override name of each overridden zone."""
        pairs = (name.partition("=") for name in sorted(_file_names(self._zones_folder)))
        return {unquote(zone, errors="replace"): override for zone, _, override in pairs}

    def set_zone_override(self, zone: str, override: str | None) -> None:
        """Store the override of a zone, replacing any earlier one; None removes it."""
        self._zones_folder.mkdir(exist_ok=True)
        new_file_name = f"{_file_name(zone)}={override}" if override is not None else ""
        if new_file_name:
            (self._zones_folder / new_file_name).touch()
        for name in _file_names(self._zones_folder):
            if name != new_file_name and name.partition("=")[0] == _file_name(zone):
                (self._zones_folder / name).unlink(missing_ok=True)

    def start_drain(self) -> None:
        """Store that the whole sidecar drains."""
        self._drain_file.touch()

    def end_drain(self) -> None:
        """Store that the sidecar no longer drains."""
        self._drain_file.unlink(missing_ok=True)


def _file_names(folder: Path) -> list[str]:
    try:
        return [path.name for path in folder.iterdir()]
    except FileNotFoundError:
        return []


def _file_name(name: str) -> str:
    """Return a file name for any server or zone: without slashes, and neither "." nor ".."."""
    return quote(name, safe="").replace(".", "%2E")
