"""Client for a running sidecar's admin server."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import quote

_MAX_RESPONSE_BYTES = 16 << 20


class AdminCallError(Exception):
    """The admin server cannot be reached or its response is invalid."""


class AdminResponse(NamedTuple):
    """The response to an API call."""

    status: int
    body: str


@dataclass(frozen=True, slots=True)
class AdminCall:
    """An admin API call; `path` has a `{}` placeholder if the call takes the name of a server or zone."""

    method: str
    path: str

    @property
    def needs_name(self) -> bool:
        """Whether the call takes the name of a server or zone."""
        return "{}" in self.path

    def send(self, address: str, name: str, timeout_s: float) -> AdminResponse:
        """Call the admin server at `address` (host:port); raise AdminCallError on failure."""
        host, _, port = address.rpartition(":")
        path = "/api/" + self.path.format(quote(name, safe=""))
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
            connection.request(self.method, path)
            response = connection.getresponse()
            body = response.read(_MAX_RESPONSE_BYTES).decode("utf-8", "replace").strip()
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise AdminCallError(f"the admin server at {address} did not answer: {error}") from error
        return AdminResponse(response.status, body)


CALLS = {  # calls by CLI command
    "status": AdminCall("GET", "status"),
    "servers": AdminCall("GET", "servers"),
    "members": AdminCall("GET", "members"),
    "zones": AdminCall("GET", "zones"),
    "duties": AdminCall("GET", "duties"),
    "ready": AdminCall("GET", "ready"),
    "ban": AdminCall("PUT", "exclude/{}"),
    "unban": AdminCall("PUT", "include/{}"),
    "drain": AdminCall("PUT", "evacuate"),
    "undrain": AdminCall("PUT", "rejoin"),
    "drain-zone": AdminCall("PUT", "drain-zone/{}"),
    "pin-zone": AdminCall("PUT", "pin-zone/{}"),
    "free-zone": AdminCall("PUT", "free-zone/{}"),
}
