"""The endpoint list: reading and writing discovery's published JSON format, and applying updates."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sidecar_balancer.addresses import Address, parse_address
from sidecar_balancer.discovery.errors import MalformedEntryError, MalformedListError
from sidecar_balancer.policy.events import ListedServer
from sidecar_balancer.policy.types import ServerState

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 8 * 1024 * 1024  # maximum size of a response body; enough for some 50,000 servers
# Limits that are checked before decoding: a valid list has one array and few members per object, while other
# bodies could take many times their size in memory when decoded.
_MAX_OTHER_ARRAYS = 16
_MAX_MEMBERS_PER_OBJECT = 32

_STATE_BY_STATUS = {
    "active": ServerState.READY,
    "leaving": ServerState.DRAINING,
    "left": ServerState.REMOVED,
}
_STATUS_BY_STATE = {state: status for status, state in _STATE_BY_STATUS.items()}
_ENTRY_ERRORS = (ValueError, TypeError, KeyError, AttributeError)  # raised on malformed entries


@dataclass(slots=True)
class ListEntry:
    """A listed server and the address at which this sidecar reaches it."""

    server: ListedServer
    address: Address | None


@dataclass(slots=True)
class ListUpdate:
    """A response of discovery: the full list (a snapshot) or the changed entries (a delta)."""

    version: int
    complete: bool
    entries: list[ListEntry]


class _UnreadableEntry:
    """Placeholder for all malformed entries of a body; `first_fault` describes the first one."""

    first_fault = ""


def decode_list(body: bytes) -> ListUpdate:
    """Decode a JSON body and convert it to a list update, as `parse_list` does.

    Each entry is converted as soon as it is decoded, so that the decoded JSON is never in memory as a whole.

    Raises:
        MalformedListError: The body is not JSON, is nested too deeply or is not an endpoint list.
    """
    _check_structure(body)
    unreadable = _UnreadableEntry()

    def decode_object(members: dict[str, Any]) -> object:
        if "endpoints" in members:
            return members
        try:
            return _read_entry(members)
        except _ENTRY_ERRORS as error:
            unreadable.first_fault = unreadable.first_fault or _describe(error, members)
            return unreadable

    try:
        return parse_list(json.loads(body, object_hook=decode_object))
    except MalformedListError:
        raise
    except (ValueError, RecursionError) as error:
        raise MalformedListError(str(error)) from error


def _check_structure(body: bytes) -> None:
    max_objects = body.count(b"{") + 1
    too_many_arrays = body.count(b"[") > max_objects + _MAX_OTHER_ARRAYS
    if too_many_arrays or body.count(b",") > max_objects * _MAX_MEMBERS_PER_OBJECT:
        raise MalformedListError("expected one array of objects, got too many arrays or members")


def parse_list(decoded: object) -> ListUpdate:
    """Convert decoded JSON to a list update; `decode_list` may have converted its entries already.

    Malformed entries are skipped, with one log line for all of them.  A full list with malformed entries is
    treated as a delta, because a server that seems absent may be one of them.

    Raises:
        MalformedListError: The value is not an endpoint list at all.
    """
    if not isinstance(decoded, Mapping) or not isinstance(decoded.get("endpoints"), list):
        raise MalformedListError("expected an object with an array of endpoints")
    version = decoded.get("index")
    if type(version) is not int:
        raise MalformedListError("index: expected an integer")
    listed = decoded["endpoints"]
    entries, first_fault = _read_entries(listed)
    skipped = len(listed) - len(entries)
    if skipped:
        log.warning(
            "skipped %d of %d list entries as malformed; the first: %s",
            skipped,
            len(listed),
            first_fault,
            extra={"event": "discovery_entries_skipped"},
        )
    return ListUpdate(version, decoded.get("snapshot") is True and not skipped, entries)


def _read_entries(listed: list[Any]) -> tuple[list[ListEntry], str]:
    """Return the well-formed entries, and a description of the first malformed one."""
    entries: list[ListEntry] = []
    first_fault = ""
    for entry in listed:
        if isinstance(entry, ListEntry):
            entries.append(entry)
        elif isinstance(entry, _UnreadableEntry):
            first_fault = first_fault or entry.first_fault
        else:
            try:
                entries.append(_read_entry(entry))
            except _ENTRY_ERRORS as error:
                first_fault = first_fault or _describe(error, entry)
    return entries, first_fault


def _describe(error: Exception, entry: object) -> str:
    return f"{error!r:.80}: {entry!r:.120}"


def _read_entry(members: Mapping[str, Any]) -> ListEntry:
    name, zone, kind = members["name"], members.get("zone", ""), members.get("type", "")
    cell, weight, since_ms = members.get("group", 0), members.get("weight", 1.0), members.get("since_ms", 0)
    if not all(isinstance(text, str) for text in (name, zone, kind)) or not name:
        raise MalformedEntryError("name, zone and type must be strings, and name must not be empty")
    if type(cell) is not int or type(since_ms) is not int or since_ms < 0:
        raise MalformedEntryError("group and since_ms must be integers, and since_ms must not be negative")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight):
        raise MalformedEntryError("weight must be a finite number")
    # A server with an unknown status gets no new requests.
    state = _STATE_BY_STATUS.get(members["status"], ServerState.DRAINING)
    started_at_us = since_ms * 1000 or None
    server = ListedServer(name, zone, kind, cell, state, float(weight), started_at_us)
    return ListEntry(server, _read_address(members.get("address"), state))


def _read_address(value: object, state: ServerState) -> Address | None:
    """Parse a server's address; return None if it is malformed and the server gets no new requests.

    Such a server needs no address, and skipping its entry would lose its draining or removal.
    """
    try:
        return parse_address(str(value))
    except ValueError:
        if state is ServerState.READY:
            raise
        return None


def entry_to_json(entry: ListEntry) -> dict[str, Any]:
    """Return an entry in the published format; its keys are always in the same order."""
    server = entry.server
    members = {"name": server.server, "zone": server.zone, "type": server.kind, "group": server.cell}
    if entry.address is not None:
        members["address"] = "{}:{}".format(*entry.address)
    since_ms = (server.started_at or 0) // 1000
    return members | {
        "status": _STATUS_BY_STATE[server.state],
        "weight": server.nominal,
        "since_ms": since_ms,
    }


class EndpointList:
    """The current list, which can be written in the published format."""

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[str, ListEntry] = {}
        self._json: str | None = None  # cached until the list changes

    def apply(self, update: ListUpdate) -> None:
        """Apply a response of discovery to the list."""
        if update.complete:
            self._entries = {}
        for entry in update.entries:
            self._entries[entry.server.server] = entry
            if entry.server.state is ServerState.REMOVED:
                del self._entries[entry.server.server]
        self.version, self._json = update.version, None

    def to_json(self) -> str:
        """Return the list as JSON; cached until the list changes, because it is persisted every second."""
        if self._json is None:
            self._json = json.dumps(self.snapshot())
        return self._json

    def snapshot(self) -> dict[str, Any]:
        """Return the full list in the published format."""
        return {
            "index": self.version,
            "snapshot": True,
            "endpoints": [entry_to_json(entry) for entry in self._entries.values()],
        }
