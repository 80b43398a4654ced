"""One HTTP request to a discovery source, on a connection of its own."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

import h11

from sidecar_balancer.addresses import Address
from sidecar_balancer.discovery.endpoint_list import MAX_LIST_BYTES, ListUpdate, decode_list
from sidecar_balancer.discovery.errors import MalformedAgeError, SourceDisconnectedError, SourceStatusError
from sidecar_balancer.discovery.protocol import AGE_HEADER, TAG_HEADER, Headers
from sidecar_balancer.upstream.dialing import connect
from sidecar_balancer.upstream.response import Response
from sidecar_balancer.upstream.server_connection import ServerConnection

_MAX_AGE_DIGITS = 12


class ListResponse(NamedTuple):
    """A source's response, with the values of the headers that a relay adds."""

    update: ListUpdate
    age_s: float | None  # age of the relay's list; None: the registry itself responded
    tag: str | None  # entity tag of the list after the update is applied


class SourceConnection:
    """A connection to a source; it carries one request."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection

    async def get(self, target: str, headers: Headers) -> ListResponse:
        """Request the list.

        Raises:
            SourceDisconnectedError: The connection broke.
            SourceStatusError: The status is not 200.
            MalformedListError: The body is not an endpoint list.
            MalformedAgeError: The age header is not a number.
        """
        return parse_response(await self._exchange(target, headers))

    async def _exchange(self, target: str, headers: Headers) -> Response | None:
        response: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()

        def on_response(received: Response | None) -> None:
            if not response.done():
                response.set_result(received)

        head = h11.Request(method="GET", target=target, headers=headers)
        self._connection.request(head, b"", on_response)
        return await response


@contextlib.asynccontextmanager
async def connect_to_source(address: Address) -> AsyncIterator[SourceConnection]:
    """Connect to a source for the duration of a `with` block; raise OSError if that fails."""
    connection = await connect(address, MAX_LIST_BYTES)
    try:
        yield SourceConnection(connection)
    finally:
        connection.abort()


def parse_response(response: Response | None) -> ListResponse:
    """Parse a response (None: the connection broke); raise the errors of `SourceConnection.get`."""
    if response is None:
        raise SourceDisconnectedError("connection lost before the response was complete")
    if response.status != 200:
        raise SourceStatusError(response.status)
    age = response.header(AGE_HEADER.lower().encode())
    tag = response.header(TAG_HEADER.lower().encode())
    return ListResponse(decode_list(response.body), _parse_age_s(age), tag)


def _parse_age_s(header: str | None) -> float | None:
    if header is None:
        return None
    if not header.isdecimal() or len(header) > _MAX_AGE_DIGITS:
        raise MalformedAgeError(f"{AGE_HEADER}: expected whole milliseconds, got {header!r:.60}")
    return int(header) / 1000
