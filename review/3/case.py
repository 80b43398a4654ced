"""Long bodies to a server that hangs: each request has to get its final answer in its time."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import random
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import HOST, Discovery, Record, Sidecar, lane, run_case, settings

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 4
HUNG_SERVERS = 1  # a quarter
BODY_MB = (5, 6, 7, 8)  # each client sends one body; all below the 32 MB of the pages
CLIENTS = 16
BUDGET_S = 3.0
LATE_S = 0.5 + 0.05  # half a second after its time, and the 50 ms by which every limit is longer on sockets
WATCH_S = 40.0  # how long a client goes on waiting, to see whether an answer comes at all


def serve(addresses: multiprocessing.Queue, ran: multiprocessing.Queue) -> None:
    """Be one server: run a request once its last byte has come."""

    class Server(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = transport
            self.head, self.left, self.call_id = b"", -1, ""

        def data_received(self, data: bytes) -> None:
            while data:
                if self.left < 0:
                    self.head += data
                    head, end, data = self.head.partition(b"\r\n\r\n")
                    if not end:
                        return
                    self.head = b""
                    fields = dict(line.split(": ", 1) for line in head.decode().lower().split("\r\n")[1:])
                    self.left, self.call_id = int(fields["content-length"]), fields["x-call-id"]
                used = min(self.left, len(data))
                self.left, data = self.left - used, data[used:]
                if self.left == 0:
                    self.left = -1
                    ran.put(self.call_id)
                    self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

    async def listen() -> None:
        server = await asyncio.get_running_loop().create_server(Server, HOST, 0)
        addresses.put(server.sockets[0].getsockname()[:2])
        await asyncio.Event().wait()

    asyncio.run(listen())


def send(address: tuple[str, int], number: int, results: multiprocessing.Queue) -> None:
    """Be one client with one long request; put its id, its size and what came of it."""
    call_id, size = f"{number:016x}", BODY_MB[number % len(BODY_MB)] * 1_000_000
    head = (
        "POST /api HTTP/1.1\r\nHost: app.svc\r\n"
        f"X-Call-Id: {call_id}\r\nX-Call-Class: reservar\r\nX-Budget: {BUDGET_S:.3f}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()
    started = time.monotonic()
    written_s, answer, after_s = -1.0, "none", -1.0
    try:
        sock = socket.create_connection(address)
        sock.settimeout(WATCH_S)
        sock.sendall(head + random.Random(number).randbytes(size))
        written = time.monotonic()
        written_s = written - started
        reply = b""
        while b"\r\n\r\n" not in reply:
            data = sock.recv(65_536)
            if not data:
                break
            reply += data
        answer = reply.split(b" ")[1].decode() if reply else "closed without an answer"
        after_s = time.monotonic() - written
    except OSError as error:
        answer = f"{error!r:.60}"
        after_s = time.monotonic() - started - max(written_s, 0.0)
    results.put((call_id, size, written_s, answer, after_s))


async def main() -> int:
    """Play the case; return the exit code."""
    record = Record(FOLDER / "record.txt")
    record.line(f"TROUBLE={int(TROUBLE)}")
    addresses: multiprocessing.Queue = multiprocessing.Queue()
    ran: multiprocessing.Queue = multiprocessing.Queue()
    results: multiprocessing.Queue = multiprocessing.Queue()
    discovery = Discovery()
    await discovery.start()
    servers = []
    for number in range(SERVERS):
        servers.append(multiprocessing.Process(target=serve, args=(addresses, ran), daemon=True))
        servers[-1].start()
        discovery.add(f"s-{number}", addresses.get(timeout=10.0))
    config = {
        "discovery": "{}:{}".format(*discovery.address),
        "settings": settings([lane("reservar", "non_idempotent", 6_000_000, 2_000_000, 10.0)]),
    }
    sidecar = Sidecar(config, FOLDER / "sidecar.log")
    if not await sidecar.wait_ready():
        return 2
    await asyncio.sleep(0.5)
    if TROUBLE:
        for number in range(HUNG_SERVERS):
            os.kill(servers[number].pid, signal.SIGSTOP)
            record.line(f"s-{number} hangs from now on", show=True)
    for number in range(CLIENTS):
        multiprocessing.Process(target=send, args=(sidecar.address, number, results), daemon=True).start()
    lost = 0
    for _ in range(CLIENTS):
        while results.empty():
            await asyncio.sleep(0.02)
        call_id, size, written_s, answer, after_s = results.get()
        is_lost = written_s >= 0.0 and not (answer.isdecimal() and after_s <= BUDGET_S + LATE_S)
        lost += is_lost
        record.line(
            f"{'BROKEN ' if is_lost else ''}request {call_id}, {size} bytes: last byte written after "
            f"{written_s:.3f} s, {BUDGET_S:.1f} s to wait; answered {answer} {after_s:.3f} s after it",
            show=is_lost,
        )
    while not ran.empty():
        record.line(f"ran {ran.get()}")
    record.line(f"{CLIENTS} requests: {lost} without a final answer in time", show=True)
    return 1 if lost else 0


if __name__ == "__main__":
    run_case(main)
