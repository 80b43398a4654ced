"""A fake registry with the published API: the list at an index, changes since an index, and watches."""

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
    """Return an endpoint list entry in the published format; no server runs at its address."""
    fields = {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1}
    return fields | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


class FakeRegistry(LoopbackServer):
    """Registry that serves its endpoint list; while `is_unresponsive`, it sends no responses."""

    def __init__(self, entries: list[Entry] | None = None, index: int = 100) -> None:
        self.index = index
        self.entries = {listed["name"]: listed for listed in entries or []}
        self.changes: list[tuple[int, Entry]] = []
        self.request_count = 0
        self.is_unresponsive = False
        self._oldest_index = index  # the lowest index that changes can be listed from
        self._changed = asyncio.Event()
        self._port = 0

    async def start(self) -> None:
        self._connection_tasks = set()
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", self._port, backlog=_LISTEN_BACKLOG
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        self._port = self.address[1]

    def change(self, *changed: Entry) -> int:
        """Change entries under one new index; return that index."""
        self.index += 1
        for listed in changed:
            self.changes.append((self.index, listed))
            self.entries[listed["name"]] = listed
            if listed["status"] == "left":
                del self.entries[listed["name"]]
        self._wake_watches()
        return self.index

    def restart(self, index: int, entries: list[Entry]) -> None:
        """Continue with another index and list, without the changes made before."""
        self.index = self._oldest_index = index
        self.changes.clear()
        self.entries = {listed["name"]: listed for listed in entries}
        self._wake_watches()

    async def go_down(self) -> None:
        """Refuse new connections and close the open ones; `start` serves again at the same address."""
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
                await reader.read()  # returns when the client closes the connection
                return
            writer.write(http_response(200, json.dumps(self._list_after(after)).encode()))
            await writer.drain()
        writer.close()

    def _list_after(self, after: int | None) -> dict[str, Any]:
        if after is None or not self._oldest_index <= after <= self.index:
            return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
        changed = {listed["name"]: listed for index, listed in self.changes if index > after}
        return {"index": self.index, "snapshot": False, "endpoints": list(changed.values())}
