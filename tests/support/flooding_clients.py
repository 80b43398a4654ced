"""Clients that each send at full speed on one connection, every one a process of its own.

Their requests come from a seed.  A client whose connection is closed connects again at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import select
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

from loopback import request
from sidecar_balancer.addresses import Address

_BATCH_REQUESTS = 50
_READ_BYTES = 64 * 1024
_POLL_MS = 100
_SHORT_BUDGET = "0.15"


def _new_id(rng: random.Random) -> str:
    return f"f{rng.getrandbits(60):015x}"


def sound_requests(rng: random.Random) -> bytes:
    return request(path="/api/ok", budget=_SHORT_BUDGET, X_Call_Id=_new_id(rng))


def new_names(rng: random.Random) -> bytes:
    name = f"{rng.getrandbits(128):032x}"
    return request(path="/api/ok", budget=_SHORT_BUDGET, X_Call_Id=_new_id(rng), X_Caller=name)


def unknown_paths(rng: random.Random) -> bytes:
    return b"GET /nowhere/%d HTTP/1.1\r\nHost: x\r\n\r\n" % rng.getrandbits(32)


def posts(rng: random.Random) -> bytes:
    return request("pay", path="/api/ok", body=b"x", budget=_SHORT_BUDGET, X_Call_Id=_new_id(rng))


def mixed_requests(rng: random.Random) -> bytes:
    return rng.choice((sound_requests, new_names, unknown_paths, posts))(rng)


def no_requests(rng: random.Random) -> bytes:
    """Return bytes that are no request, after which the sidecar closes the connection."""
    return rng.randbytes(40).replace(b"\n", b"\0") + b"\r\n\r\n"


def no_lines(rng: random.Random) -> bytes:
    """Return bytes that could begin a request but never end a line."""
    return b"A" + rng.randbytes(2_000).replace(b"\n", b"\0")


FLOODS: dict[str, Callable[[random.Random], bytes]] = {
    function.__name__: function
    for function in (sound_requests, new_names, unknown_paths, posts, mixed_requests, no_requests, no_lines)
}


class FloodingClient:
    """One client, which sends what it makes as fast as its connection takes it."""

    def __init__(self, address: Address, make: Callable[[], bytes]) -> None:
        self._address = address
        self._make = make

    def run(self, seconds: float) -> None:
        """Send for this long, on one connection after another."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError), socket.create_connection(self._address, seconds) as sock:
                self._send(sock, end)

    def _send(self, sock: socket.socket, end: float) -> None:
        """Send until the connection is closed, and discard what comes back."""
        sock.setblocking(False)
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLOUT)
        unsent = b""
        while time.monotonic() < end:
            for _, mask in poller.poll(_POLL_MS):
                if mask & ~select.POLLOUT and not sock.recv(_READ_BYTES):
                    return
                if mask & select.POLLOUT:
                    unsent = unsent or b"".join(self._make() for _ in range(_BATCH_REQUESTS))
                    unsent = unsent[sock.send(unsent) :]


@contextlib.asynccontextmanager
async def flooding_clients(
    address: Address, count: int, flood: str, seed: int, seconds: float
) -> AsyncIterator[None]:
    """Run this many clients, each in a process of its own, until they end or the block does."""
    folders = (Path(__file__).parent, Path(__file__).parent.parent.parent)
    environ = os.environ | {"PYTHONPATH": os.pathsep.join(map(str, folders))}
    host, port = address
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, __file__, host, str(port), flood, str(seed + number), str(seconds), env=environ
        )
        for number in range(count)
    ]
    try:
        yield
    finally:
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in processes:
            await process.wait()


def main() -> None:
    """Run one client as the command line says: HOST PORT FLOOD SEED SECONDS."""
    host, port, flood, seed, seconds = sys.argv[1:]
    rng = random.Random(int(seed))
    FloodingClient((host, int(port)), lambda: FLOODS[flood](rng)).run(float(seconds))


if __name__ == "__main__":
    main()
