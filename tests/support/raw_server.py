"""A scripted server on raw bytes, and readers and writers of HTTP messages with long bodies."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from loopback import (
    WAIT_TIMEOUT_S,
    LoopbackServer,
    SidecarEnvironment,
    new_request_id,
    request,
    running_sidecar,
)

LONG_BODY = bytes(range(251)) * 4_000  # about 1 MB, repeats every 251 bytes: misplaced pieces show
HUGE_BODY_BYTES = 24 * 1024 * 1024

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Script = Callable[[Reader, Writer], Awaitable[None]]


class RawServer(LoopbackServer):
    """Server whose script reads and writes the bytes of each connection."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.script(reader, writer)
        writer.close()


@contextlib.asynccontextmanager
async def sidecar_with_raw_server(
    script: Script, endpoints: int = 1, **changes: object
) -> AsyncIterator[tuple[SidecarEnvironment, RawServer]]:
    """Run a sidecar whose only server is a `RawServer`, listed under as many names as `endpoints`."""
    server = RawServer(script)
    await server.start()
    scripts: list[Callable[..., None]] = [lambda *_: None] * endpoints
    async with running_sidecar(*scripts, **changes) as environment:  # type: ignore[arg-type]
        for endpoint in environment.sidecar.endpoint_pool.endpoints.values():
            endpoint.address = server.address
        yield environment, server
    server.stop()


async def read_head(reader: Reader) -> str:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        return (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()


async def read_chunked(reader: Reader) -> bytes:
    body = b""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    return body


async def read_body(head: str, reader: Reader) -> bytes:
    """Read the body that follows a head, by its length or in chunks."""
    if "chunked" in head:
        return await read_chunked(reader)
    return await reader.readexactly(int(head.split("content-length: ")[1].split("\r")[0]))


def chunked(body: bytes, size: int) -> bytes:
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(each), each) for each in chunks) + b"0\r\nX-Sum: 1\r\n\r\n"


def framed_request(body: bytes, form: str, budget: str = "5.0", request_id: str | None = None) -> bytes:
    """Return a non-idempotent request with a body in one of the forms "length", "chunks", "small chunks"."""
    request_id = request_id or new_request_id()
    if form == "length":
        return request("pay", body=body, budget=budget, X_Call_Id=request_id)
    head = request(
        "pay", budget=budget, X_Call_Id=request_id, Content_Length=None, Transfer_Encoding="chunked"
    )
    return head + chunked(body, 300 if form == "small chunks" else 100_000)


async def connect_client(environment: SidecarEnvironment) -> tuple[Reader, Writer]:
    return await asyncio.open_connection(*environment.sidecar.frontend.address)
