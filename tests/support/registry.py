"""A fake registry in the published form: an index, changes since an index, and watches that wait."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from loopback import LoopbackServer, http_response, read_message

Entry = dict[str, Any]

_LISTEN_BACKLOG = 1024


def entry(name: Any = "s-1", **changes: Any) -> Entry:
    """Return an entry of the list in the published form; no server needs to run there."""
    members = {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1}
    return members | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


class FakeRegistry(LoopbackServer):
    """Holds a list and serves it; `is_unresponsive` lets requests wait for ever."""

    def __init__(self, entries: list[Entry] | None = None, index: int = 100) -> None:
        self.index = index
        self.entries = {listed["name"]: listed for listed in entries or []}
        self.changes: list[tuple[int, Entry]] = []
        self.request_count = 0
        self.is_unresponsive = False
        self._oldest_index = index  # from which changes are known
        self._changed = asyncio.Event()
        self._port = 0

    async def start(self) -> None:
        self._serving = set()
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", self._port, backlog=_LISTEN_BACKLOG
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        self._port = self.address[1]

    def change(self, *changed: Entry) -> int:
        """Change entries in one step; return the index of that step."""
        self.index += 1
        for listed in changed:
            self.changes.append((self.index, listed))
            self.entries[listed["name"]] = listed
            if listed["status"] == "left":
                del self.entries[listed["name"]]
        self._wake_watches()
        return self.index

    def restart(self, index: int, entries: list[Entry]) -> None:
        """Continue with another index, and without the changes before it."""
        self.index = self._oldest_index = index
        self.changes.clear()
        self.entries = {listed["name"]: listed for listed in entries}
        self._wake_watches()

    async def go_down(self) -> None:
        """Refuse connections and break those that are open; `start` serves again at the same address."""
        await self.end()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            request_line, _, _ = await read_message(reader)
            self.request_count += 1
            query = parse_qs(urlsplit(request_line.split(" ")[1]).query)
            parameters = {name: values[0] for name, values in query.items()}
            after = int(parameters["after"]) if "after" in parameters else None
            if after == self.index and not self.is_unresponsive:
                with contextlib.suppress(TimeoutError):
                    wait_s = int(parameters.get("wait_ms", 0)) / 1000
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            if self.is_unresponsive:
                await reader.read()  # until the caller gives up
                return
            writer.write(http_response(200, json.dumps(self._list_after(after)).encode()))
            await writer.drain()
        writer.close()

    def _list_after(self, after: int | None) -> dict[str, Any]:
        if after is None or not self._oldest_index <= after <= self.index:
            return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
        changed = {listed["name"]: listed for index, listed in self.changes if index > after}
        return {"index": self.index, "snapshot": False, "endpoints": list(changed.values())}
