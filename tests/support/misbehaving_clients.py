"""Clients that make a sidecar hold or do as much as they can, each in a state of its own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

from loopback import request
from raw_server import Reader, Writer, chunked
from sidecar_balancer.addresses import Address
from sidecar_process import SHORT_FIELD

_ids = itertools.count(1)
Act = Callable[[Reader, Writer], Awaitable[None]]


def unique_request(service_class: str = "look", **changes: str | bytes | None) -> bytes:
    """Return a request with an id that no other one has."""
    return request(service_class, X_Call_Id=f"c{next(_ids):015x}", **changes)  # type: ignore[arg-type]


def with_fields(size: int, head: bytes) -> bytes:
    """Return a head with `size` more bytes of short fields."""
    return head[:-2] + SHORT_FIELD * (size // len(SHORT_FIELD)) + b"\r\n"


async def _stay(reader: Reader, writer: Writer, data: bytes) -> None:
    writer.write(data)
    await reader.read(1)


async def idle(reader: Reader, _: Writer) -> None:
    await reader.read(1)


async def slow_head(reader: Reader, writer: Writer) -> None:
    for byte in unique_request():
        writer.write(bytes((byte,)))
        await writer.drain()
        await asyncio.sleep(0.015)
    await reader.read(1)


async def stopped_in_short_body(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, unique_request("pay", path="/api/ok", body=bytes(64_000))[:-10])


async def stopped_in_long_body(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, unique_request("pay", path="/api/ok", body=bytes(1_000_000))[:-500_000])


async def stopped_in_unread_body(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, unique_request("pay", path="/api/unread", body=bytes(1_000_000))[:-500_000])


async def stopped_in_chunks(reader: Reader, writer: Writer) -> None:
    head = unique_request("pay", path="/api/ok", Content_Length=None, Transfer_Encoding="chunked")
    await _stay(reader, writer, head + chunked(bytes(60_000), 1)[:-20])


async def short_fields(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, with_fields(16_000, unique_request(path="/api/hang")))


async def very_many_short_fields(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, with_fields(60_000, unique_request(path="/api/hang")))


async def unfinished_fields(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, with_fields(15_000, unique_request(path="/api/hang"))[:-2])


async def trailing_fields(reader: Reader, writer: Writer) -> None:
    head = unique_request("pay", path="/api/hang", Content_Length=None, Transfer_Encoding="chunked")
    await _stay(reader, writer, head + b"1\r\nx\r\n0\r\n" + SHORT_FIELD * 15_000 + b"\r\n")


async def whole_bodies(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, unique_request("pay", path="/api/hang", body=bytes(64_000)))


async def input_behind_request(reader: Reader, writer: Writer) -> None:
    await _stay(reader, writer, unique_request(path="/api/hang") + unique_request(path="/api/hang") * 1_000)


async def _read_slowly(writer: Writer, size: int) -> None:
    assert isinstance(writer.transport, asyncio.Transport)
    writer.transport.pause_reading()
    sock = writer.get_extra_info("socket").dup()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    writer.write(unique_request(path=f"/api/long/{size}"))
    loop = asyncio.get_running_loop()
    try:
        while True:
            if not await loop.sock_recv(sock, 2_000):
                return
            await asyncio.sleep(0.1)
    finally:
        sock.close()


async def slow_reader_of_short_answer(_: Reader, writer: Writer) -> None:
    await _read_slowly(writer, 64_000)


async def slow_reader_of_long_answer(_: Reader, writer: Writer) -> None:
    await _read_slowly(writer, 4_000_000)


async def answers_with_short_fields(reader: Reader, writer: Writer) -> None:
    writer.write(unique_request(path="/api/fields/60000"))
    await reader.read()


async def flood_behind_error(_: Reader, writer: Writer) -> None:
    writer.write(b"NONSENSE\r\n\r\n")
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(bytes(100_000))
            await writer.drain()
            await asyncio.sleep(0.05)


async def _flood(reader: Reader, writer: Writer, make: Callable[[], bytes]) -> None:
    """Send requests at full speed on one connection, and read what comes back."""

    async def discard() -> None:
        while await reader.read(65_536):
            pass

    reading = asyncio.create_task(discard())
    try:
        while not reading.done():
            writer.write(b"".join(make() for _ in range(50)))
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)


async def flood_of_requests(reader: Reader, writer: Writer) -> None:
    await _flood(reader, writer, lambda: unique_request(path="/api/ok"))


async def flood_of_posts(reader: Reader, writer: Writer) -> None:
    await _flood(reader, writer, lambda: unique_request("pay", path="/api/ok", body=b"x"))


async def flood_of_names(reader: Reader, writer: Writer) -> None:
    await _flood(
        reader, writer, lambda: unique_request(path="/api/ok", X_Caller=f"{next(_ids):0200x}", budget="0.001")
    )


async def flood_of_classes(reader: Reader, writer: Writer) -> None:
    await _flood(reader, writer, lambda: unique_request(f"{next(_ids):0200x}"))


async def flood_of_unknown_paths(reader: Reader, writer: Writer) -> None:
    await _flood(reader, writer, lambda: b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")


async def flood_without_time(reader: Reader, writer: Writer) -> None:
    await _flood(reader, writer, lambda: unique_request(path="/api/ok", budget="0"))


async def flood_of_health_checks(reader: Reader, writer: Writer) -> None:
    await _flood(reader, writer, lambda: b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")


async def flood_of_chunks(reader: Reader, writer: Writer) -> None:
    writer.write(unique_request("pay", path="/api/ok", Content_Length=None, Transfer_Encoding="chunked"))
    await _flood(reader, writer, lambda: b"1\r\nx\r\n" * 20)


async def flood_of_trailers(reader: Reader, writer: Writer) -> None:
    head = unique_request("pay", path="/api/ok", Content_Length=None, Transfer_Encoding="chunked")
    await _flood(reader, writer, lambda: head + b"0\r\n" + SHORT_FIELD * 3_000 + b"\r\n")


async def flood_of_fields(reader: Reader, writer: Writer) -> None:
    await _flood(reader, writer, lambda: with_fields(15_000, unique_request(path="/api/ok")))


async def flood_behind_last_request(reader: Reader, writer: Writer) -> None:
    writer.write(unique_request(path="/api/hang", Connection="close"))
    await _flood(reader, writer, lambda: unique_request(path="/api/ok"))


STATES: dict[str, Act] = {
    function.__name__: function
    for function in (
        idle,
        slow_head,
        stopped_in_short_body,
        stopped_in_long_body,
        stopped_in_unread_body,
        stopped_in_chunks,
        short_fields,
        very_many_short_fields,
        unfinished_fields,
        trailing_fields,
        whole_bodies,
        input_behind_request,
        slow_reader_of_short_answer,
        slow_reader_of_long_answer,
        answers_with_short_fields,
        flood_behind_error,
    )
}
FLOODS: dict[str, Act] = {
    function.__name__: function
    for function in (
        flood_of_requests,
        flood_of_posts,
        flood_of_names,
        flood_of_classes,
        flood_of_unknown_paths,
        flood_without_time,
        flood_of_health_checks,
        flood_of_chunks,
        flood_of_trailers,
        flood_of_fields,
        flood_behind_last_request,
    )
}


async def _client(address: Address, act: Act) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await act(reader, writer)
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.05)


async def run_clients(address: Address, size: int, states: list[str]) -> None:
    """Keep this many clients connected until cancelled; each comes again when it is closed."""
    async with asyncio.TaskGroup() as clients:
        for number in range(size):
            clients.create_task(_client(address, (STATES | FLOODS)[states[number % len(states)]]))


@contextlib.asynccontextmanager
async def crowd(address: Address, size: int, states: list[str]) -> AsyncIterator[None]:
    """Run clients in a process of their own, so that they take no time from those of this process."""
    folders = (Path(__file__).parent, Path(__file__).parent.parent.parent)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        address[0],
        str(address[1]),
        str(size),
        *states,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(map(str, folders))},
    )
    try:
        yield
    finally:
        process.kill()
        await process.wait()


def main() -> None:
    """Run the clients that the command line names: HOST PORT SIZE STATE..."""
    host, port, size, *states = sys.argv[1:]
    logging.disable()  # asyncio reports each write on a connection that the sidecar has reset
    asyncio.run(run_clients((host, int(port)), int(size), states))


if __name__ == "__main__":
    main()
