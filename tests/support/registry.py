"""A stand-in for the registry, by the published form: an index, changes since an index, watches that wait."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from loopback import Listening, answer, read_message

Entry = dict[str, Any]


def entry(name: str, **changes: Any) -> Entry:
    """An entry of the list; no server needs to be there."""
    given = {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1}
    return given | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


class Registry(Listening):
    """Holds a list and answers calls; `hold` makes it fall silent, `restart` loses what it told before."""

    def __init__(self, entries: list[Entry] | None = None, index: int = 100) -> None:
        self.index = index
        self.entries = {each["name"]: each for each in entries or []}
        self.changes: list[tuple[int, Entry]] = []
        self.calls = 0
        self.is_silent = False
        self._oldest = index  # the index from which changes are known
        self._news = asyncio.Event()
        self._port = 0

    async def start(self) -> None:
        self._serving = set()
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", self._port, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._port = self.address[1]

    def change(self, *changed: Entry) -> int:
        """Change entries in one step; return the index of that."""
        self.index += 1
        for each in changed:
            self.changes.append((self.index, each))
            self.entries[each["name"]] = each
            if each["status"] == "left":
                del self.entries[each["name"]]
        self._wake()
        return self.index

    def restart(self, index: int, entries: list[Entry]) -> None:
        """Come back with another index, and no memory of changes before it."""
        self.index = self._oldest = index
        self.changes.clear()
        self.entries = {each["name"]: each for each in entries}
        self._wake()

    async def down(self) -> None:
        """Refuse connections and break those that are open."""
        await self.end()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            first, _, _ = await read_message(reader)
            self.calls += 1
            given = {k: v[0] for k, v in parse_qs(urlsplit(first.split(" ")[1]).query).items()}
            after = int(given["after"]) if "after" in given else None
            if after == self.index and not self.is_silent:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._news.wait(), int(given.get("wait_ms", 0)) / 1000)
            if self.is_silent:
                await reader.read()  # until the caller gives up
                return
            writer.write(answer(200, json.dumps(self._answer(after)).encode()))
            await writer.drain()
        writer.close()

    def _answer(self, after: int | None) -> dict[str, Any]:
        if after is None or not self._oldest <= after <= self.index:
            return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
        changed = {each["name"]: each for index, each in self.changes if index > after}
        return {"index": self.index, "snapshot": False, "endpoints": list(changed.values())}
