"""Uploads while one server resets its new connections: what runs has to be what a client sent."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import multiprocessing
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (
    HOST,
    Discovery,
    Record,
    Sidecar,
    lane,
    read_body,
    read_head,
    read_response,
    reset,
    run_case,
    settings,
)

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 8
BAD_SERVER = 0  # one of eight
RESET_AFTER_MS = (45, 60, 75, 90, 105, 120, 30)  # for one connection after another
SEEDS = (4, 5, 7, 8, 1, 3, 4, 5, 7, 8, 1, 3)  # a round, with a sidecar of its own, for each
CLIENTS = 12  # three in four send their bodies in small pieces
BODY_BYTES = 200_000
SMALL_PIECE, LARGE_PIECE = 32, 16_384
BUDGET_S = 3.0
LATE_S = 0.5 + 0.05  # half a second after its time, and the 50 ms by which every limit is longer on sockets


class Servers:
    """The servers: each runs a request once its last byte has come, and notes the body that it ran."""

    def __init__(self, record: Record) -> None:
        self.ran: dict[str, list[tuple[str, int, str]]] = {}
        self.reset_count = 0
        self._reset_after_ms = itertools.cycle(RESET_AFTER_MS)
        self.addresses: list[tuple[str, int]] = []
        self._record = record

    async def start(self) -> None:
        """Listen on free ports."""
        for number in range(SERVERS):
            serve = self._reset if TROUBLE and number == BAD_SERVER else self._serve
            server = await asyncio.start_server(
                lambda reader, writer, number=number, serve=serve: serve(f"s-{number}", reader, writer),
                HOST,
                0,
            )
            self.addresses.append(server.sockets[0].getsockname()[:2])

    async def _reset(self, name: str, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()
        reset_after_ms = next(self._reset_after_ms)
        await asyncio.sleep(reset_after_ms / 1000)
        reset(writer)
        self.reset_count += 1
        self._record.line(f"{name} reset a new connection {reset_after_ms} ms after it came up")

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                _, headers = await read_head(reader)
                body = await read_body(reader, headers)
                call_id = headers["x-call-id"]
                digest = hashlib.sha256(body).hexdigest()
                self.ran.setdefault(call_id, []).append((name, len(body), digest))
                self._record.line(f"{name} ran {call_id}: {len(body)} bytes, sha256 {digest[:16]}")
                await asyncio.sleep(0.02)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        writer.close()


def serve_clients(address: tuple[str, int], first_id: int, seed: int, results: multiprocessing.Queue) -> None:
    """Send the uploads of one round; put a tuple a request: id, digest, piece, status, time after its end."""

    async def send(number: int) -> None:
        call_id = f"{first_id + number:016x}"
        body = random.Random(f"{seed}/{number}").randbytes(BODY_BYTES)
        piece = SMALL_PIECE if number % 4 else LARGE_PIECE
        head = (
            "POST /api HTTP/1.1\r\nHost: app.svc\r\n"
            f"X-Call-Id: {call_id}\r\nX-Call-Class: reservar\r\nX-Budget: {BUDGET_S:.3f}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        pieces = [body[at : at + piece] for at in range(0, len(body), piece)]
        message = head + b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces) + b"0\r\n\r\n"
        reader, writer = await asyncio.open_connection(*address)
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(message)
        written, status = False, "none"
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            await asyncio.wait_for(writer.drain(), 10.0)
            written = True
        sent_at = time.monotonic()
        try:
            answer = await asyncio.wait_for(read_response(reader), BUDGET_S + LATE_S)
            status = str(answer[0])
        except TimeoutError:
            status = "no answer"
        except (OSError, asyncio.IncompleteReadError) as error:
            status = f"closed ({error!r:.40})"
        after_s = time.monotonic() - sent_at
        writer.close()
        results.put((call_id, hashlib.sha256(body).hexdigest(), piece, written, status, after_s))

    async def send_all() -> None:
        await asyncio.gather(*(send(number) for number in range(CLIENTS)))

    asyncio.run(send_all())


async def play_round(
    record: Record, servers: Servers, discovery: Discovery, seed: int, first_id: int
) -> tuple[int, int, int]:
    """Play one round; return the numbers of requests that ran altered, that were lost, and of all."""
    config = {
        "seed": f"{seed:x}",
        "discovery": "{}:{}".format(*discovery.address),
        "settings": settings([lane("reservar", "non_idempotent", 6_000_000, 2_000_000, 10.0)]),
    }
    sidecar = Sidecar(config, FOLDER / "sidecar.log")
    altered = lost = 0
    try:
        if not await sidecar.wait_ready():
            raise RuntimeError("the sidecar was not ready")
        await asyncio.sleep(0.5)
        results: multiprocessing.Queue = multiprocessing.Queue()
        clients = multiprocessing.Process(
            target=serve_clients, args=(sidecar.address, first_id, seed, results), daemon=True
        )
        clients.start()
        for _ in range(CLIENTS):
            while results.empty():
                await asyncio.sleep(0.01)
            call_id, digest, piece, written, status, after_s = results.get()
            record.line(
                f"client sent {call_id}: {BODY_BYTES} bytes in pieces of {piece}, sha256 {digest[:16]}; "
                f"answered {status} {after_s:.3f} s after its last byte"
            )
            for name, length, ran_digest in servers.ran.get(call_id, []):
                if ran_digest != digest:
                    altered += 1
                    record.line(
                        f"BROKEN {call_id}: {name} ran {length} bytes that no client sent as a request, "
                        f"and the client was answered {status}",
                        show=True,
                    )
            if written and not status.isdecimal():
                lost += 1
                record.line(f"BROKEN {call_id}: {status} {after_s:.3f} s after its last byte", show=True)
        clients.join(5.0)
    finally:
        sidecar.end()
    return altered, lost, CLIENTS


async def main() -> int:
    """Play all rounds; return the exit code."""
    record = Record(FOLDER / "record.txt")
    record.line(f"TROUBLE={int(TROUBLE)}")
    servers, discovery = Servers(record), Discovery()
    await servers.start()
    await discovery.start()
    for number, address in enumerate(servers.addresses):
        discovery.add(f"s-{number}", address)
    altered = lost = total = 0
    for number, seed in enumerate(SEEDS):
        record.line(f"round {number}: seed {seed:x}")
        counts = await play_round(record, servers, discovery, seed, 1000 * (number + 1))
        altered, lost, total = altered + counts[0], lost + counts[1], total + counts[2]
    record.line(
        f"{total} requests, {servers.reset_count} connections reset: "
        f"{altered} ran with another body than the client sent, {lost} got no final answer in time",
        show=True,
    )
    if TROUBLE and not servers.reset_count:
        return 2
    return 1 if altered or lost else 0


if __name__ == "__main__":
    run_case(main)
