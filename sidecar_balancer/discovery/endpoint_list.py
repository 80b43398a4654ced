"""The list of servers in discovery's form: reading it, and keeping it up to date."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sidecar_balancer.addresses import Address, parse_address
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import ServerState

log = logging.getLogger(__name__)

_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
_STATUSES = {state: status for status, state in _STATES.items()}


MAX_LIST_BYTES = 8 * 1024 * 1024  # of an answer: some 50,000 servers
# A list has one array, and few members to an object; other junk would take many times its size in memory.
_ARRAYS_BESIDE = 16
_MEMBERS_MOST = 32
_JUNK = (ValueError, TypeError, KeyError, AttributeError)  # what reading an entry raises


@dataclass(slots=True)
class ListEntry:
    """A server of the list, with the address that it has for this sidecar."""

    server: ListedServer
    address: Address | None


@dataclass(slots=True)
class ListUpdate:
    """What discovery answered: the whole list (a snapshot) or what changed (a delta)."""

    version: int
    complete: bool
    entries: list[ListEntry]


class _Unreadable:
    """Stands for all entries of a body that could not be read; `why` is of the first."""

    why = ""


def read_list(body: bytes) -> ListUpdate:
    """Decode a body and read it as `parse_list` does; raises ValueError or RecursionError.

    Each entry is read as it is decoded: memory goes to the list and not to what was decoded on the way.
    """
    objects = body.count(b"{") + 1
    if body.count(b"[") > objects + _ARRAYS_BESIDE or body.count(b",") > objects * _MEMBERS_MOST:
        raise ValueError("a list of servers has one array of objects")
    unreadable = _Unreadable()

    def entry_or_object(given: dict[str, Any]) -> object:
        if "endpoints" in given:
            return given
        try:
            return _read_entry(given)
        except _JUNK as fault:
            unreadable.why = unreadable.why or _explain(fault, given)
            return unreadable

    return parse_list(json.loads(body, object_hook=entry_or_object))


def parse_list(given: object) -> ListUpdate:
    """Read discovery's form; junk entries are skipped with one log line, a junk list is a ValueError.

    A whole list that holds junk is read as changes: who is missing may be what could not be read.
    """
    if not isinstance(given, Mapping) or not isinstance(given.get("endpoints"), list):
        raise ValueError("a list of servers is an object with endpoints")
    version = given.get("index")
    if type(version) is not int:
        raise ValueError("index: a whole number is needed")
    entries, skipped, first = [], 0, ""
    for entry in given["endpoints"]:
        if isinstance(entry, ListEntry):
            entries.append(entry)
        elif isinstance(entry, _Unreadable):
            skipped, first = skipped + 1, first or entry.why
        else:
            try:
                entries.append(_read_entry(entry))
            except _JUNK as fault:
                skipped, first = skipped + 1, first or _explain(fault, entry)
    if skipped:
        log.warning("%d of %d list entries skipped, first %s", skipped, len(given["endpoints"]), first)
    return ListUpdate(version, given.get("snapshot") is True and not skipped, entries)


def _explain(fault: Exception, entry: object) -> str:
    return f"{fault!r:.80}: {entry!r:.120}"


def _read_entry(entry: Mapping[str, Any]) -> ListEntry:
    name, zone, kind = entry["name"], entry.get("zone", ""), entry.get("type", "")
    group, weight, since_ms = entry.get("group", 0), entry.get("weight", 1.0), entry.get("since_ms", 0)
    if not all(isinstance(each, str) for each in (name, zone, kind)) or not name:
        raise ValueError("name, zone and type must be texts")
    if type(group) is not int or type(since_ms) is not int or since_ms < 0:
        raise ValueError("group and since_ms must be whole numbers")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight):
        raise ValueError("weight must be a number")
    # A status that is not known here takes nothing new.
    state = _STATES.get(entry["status"], ServerState.DRAINING)
    started_at = since_ms * 1000 or None
    server = ListedServer(name, zone, kind, group, state, float(weight), started_at)
    return ListEntry(server, _read_address(entry.get("address"), state))


def _read_address(value: object, state: ServerState) -> Address | None:
    """Where the server listens; one that takes nothing new needs no address, and its leaving must be told."""
    try:
        return parse_address(str(value))
    except ValueError:
        if state is ServerState.READY:
            raise
        return None


class EndpointList:
    """The list as it is by now, in discovery's form."""

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[str, ListEntry] = {}
        self._text: str | None = None  # until the list changes

    def apply(self, update: ListUpdate) -> None:
        """Bring the list up to date by what discovery answered."""
        if update.complete:
            self._entries = {}
        for entry in update.entries:
            self._entries[entry.server.server] = entry
            if entry.server.state is ServerState.REMOVED:
                del self._entries[entry.server.server]
        self.version, self._text = update.version, None

    def to_json(self) -> str:
        """The list as JSON, made once for each time it changes: it is kept every second."""
        if self._text is None:
            self._text = json.dumps(self.snapshot())
        return self._text

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {
            "index": self.version,
            "snapshot": True,
            "endpoints": [entry_to_json(each) for each in self._entries.values()],
        }


def entry_to_json(entry: ListEntry) -> dict[str, Any]:
    """Return an entry in discovery's form, its keys always in the same order."""
    server = entry.server
    form = {"name": server.server, "zone": server.zone, "type": server.kind, "group": server.cell}
    if entry.address is not None:
        form["address"] = "{}:{}".format(*entry.address)
    since_ms = (server.started_at or 0) // 1000
    return form | {"status": _STATUSES[server.state], "weight": server.nominal, "since_ms": since_ms}
