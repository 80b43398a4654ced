"""Servers that stand still for a moment: no sidecar may stop answering."""

from __future__ import annotations

import asyncio
import multiprocessing
import multiprocessing.sharedctypes
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import HOST, Discovery, Record, Sidecar, lane, run_case, settings

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 34
SIDECARS = 7
SERVERS = 30
WORK_S = 0.045
STILL_SHARE = 0.42  # the share of the servers that stand still at a time
STILL_S = 0.48
BETWEEN_S = 0.83  # from the end of one pause to the start of the next
FIRST_STILL_S = 2.0
LENGTH_S = 104.0
REQUESTS_PER_S = 500.0  # of each sidecar
MAX_CONNECTIONS = 340  # of each sidecar's clients, a third of its descriptors
MEMORY_MB = 192
PROMISE_US, GIVE_UP_US = 555_555, 1_111_111  # an aim of 1 s and a deadline of 2 s, on a day 1.8 times as fast
BUDGET_S = 0.6  # 54 % of the give-up time
LATE_S = 0.5 + 0.05  # half a second after its time, and the 50 ms by which every limit is longer on sockets
HUNG_S = 5.0  # no answer to any request for so long, by a process that has used the processor all the time


class Server(asyncio.Protocol):
    """A connection of a server, which answers each request after some work."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.input = transport, b""

    def data_received(self, data: bytes) -> None:
        self.input += data
        while b"\r\n\r\n" in self.input:
            self.input = self.input.partition(b"\r\n\r\n")[2]
            asyncio.get_running_loop().call_later(WORK_S, self.answer)

    def answer(self) -> None:
        self.runs[self.number] += 1
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")


def serve(addresses: multiprocessing.Queue, runs: multiprocessing.sharedctypes.Array, number: int) -> None:
    """Be one server; count the requests that it has run in `runs`."""
    Server.runs, Server.number = runs, number

    async def listen() -> None:
        server = await asyncio.get_running_loop().create_server(Server, HOST, 0, backlog=512)
        addresses.put((os.getpid(), server.sockets[0].getsockname()[:2]))
        await asyncio.Event().wait()

    asyncio.run(listen())


class Client(asyncio.Protocol):
    """A client's connection, which carries one request at a time."""

    def __init__(self, owner: Clients) -> None:
        self.owner = owner
        self.sent_at: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def send(self, call_id: int) -> None:
        self.input, self.sent_at = b"", time.monotonic()
        self.transport.write(
            b"GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %016x\r\n"
            b"X-Call-Class: buscar-pieza\r\nX-Budget: %.3f\r\n\r\n" % (call_id, BUDGET_S)
        )

    def data_received(self, data: bytes) -> None:
        self.input += data
        head, end, body = self.input.partition(b"\r\n\r\n")
        if end and len(body) >= int(head.lower().partition(b"content-length:")[2].split()[0]):
            self.sent_at = None
            self.owner.answered[int(head.split()[1])] += 1
            self.owner.last_answer_at = time.monotonic()
            self.owner.resting.append(self)

    def connection_lost(self, _: Exception | None) -> None:
        if self.sent_at is not None:
            self.owner.closed += 1
        self.owner.connections.discard(self)
        if self in self.owner.resting:
            self.owner.resting.remove(self)


class Clients:
    """The clients of one sidecar: arrivals don't wait for answers."""

    def __init__(self) -> None:
        self.answered = dict.fromkeys((200, 400, 408, 429, 500, 503), 0)
        self.sent = 0
        self.closed = 0  # connections that were closed under a request
        self.connections: set[Client] = set()
        self.resting: list[Client] = []
        self.last_answer_at = time.monotonic()

    async def run(
        self, address: tuple[str, int], number: int, state: multiprocessing.sharedctypes.Array
    ) -> None:
        """Send requests; keep in `state` what `report` reads."""
        loop, rng = asyncio.get_running_loop(), random.Random(f"{SEED}/{number}")
        next_at, call_id = time.monotonic(), number << 32
        report_at = next_at
        while True:
            now = time.monotonic()
            while next_at <= now:
                next_at += rng.expovariate(REQUESTS_PER_S)
                call_id += 1
                self.sent += 1
                if self.resting:
                    self.resting.pop().send(call_id)
                elif len(self.connections) < MAX_CONNECTIONS:
                    _, client = await loop.create_connection(lambda: Client(self), *address)
                    self.connections.add(client)
                    client.send(call_id)
                else:
                    self.sent -= 1  # the clients have no connection to spare
            if now >= report_at:
                report_at = now + 0.05
                self.write(state, now)
            await asyncio.sleep(0.002)

    def write(self, state: multiprocessing.sharedctypes.Array, now: float) -> None:
        """Write what `report` reads."""
        open_since = [client.sent_at for client in self.connections if client.sent_at is not None]
        state[0] = self.answered[200]
        state[1] = sum(self.answered.values()) - self.answered[200]
        state[2] = sum(now - sent_at > BUDGET_S + LATE_S for sent_at in open_since)
        state[3] = now - self.last_answer_at
        state[4] = self.closed
        state[5] = self.sent


def send_requests(address: tuple[str, int], number: int, state: multiprocessing.sharedctypes.Array) -> None:
    """Be the clients of one sidecar."""
    asyncio.run(Clients().run(address, number, state))


class Watch:
    """The platform's view of one sidecar."""

    def __init__(self, name: str, sidecar: Sidecar, state: multiprocessing.sharedctypes.Array) -> None:
        self.name, self.sidecar, self.state = name, sidecar, state
        self._samples: list[tuple[float, float]] = []  # time and processor time

    def fault(self) -> str:
        """Return what is wrong with the sidecar, or nothing."""
        if self.sidecar.process.poll() is not None:
            return f"ended with {self.sidecar.process.returncode}"
        now, cpu_s = time.monotonic(), self.sidecar.cpu_s()
        self._samples = [sample for sample in self._samples if sample[0] > now - HUNG_S - 0.5] + [
            (now, cpu_s)
        ]
        overdue, silent_s = self.state[2], self.state[3]
        memory_mb = self.sidecar.memory_kb().get("VmRSS", 0) // 1024
        used_s, over_s = cpu_s - self._samples[0][1], now - self._samples[0][0]
        if memory_mb > MEMORY_MB:
            text = f"holds {memory_mb} MB, over its limit of {MEMORY_MB}"
        elif silent_s > HUNG_S and overdue and used_s > 0.8 * over_s:
            text = (
                f"hangs: it used {used_s:.1f} s of processor time in {over_s:.1f} s and holds {memory_mb} MB"
            )
        else:
            return ""
        return f"{text}; {overdue:.0f} requests overdue, no answer to any request for {silent_s:.1f} s"


def report(record: Record, watch: Watch, pauses: int) -> None:
    """Record what one sidecar was sent and has answered."""
    served, others, overdue, silent_s, closed, sent = watch.state
    record.line(
        f"{watch.name}: {sent:.0f} requests sent, {served:.0f} answers of 200, {others:.0f} others, "
        f"{overdue:.0f} overdue, {closed:.0f} closed under a request, last answer {silent_s:.3f} s ago, "
        f"{pauses} pauses"
    )


class Pauses:
    """Lets a share of the servers stand still, again and again."""

    def __init__(self, pids: list[int], rng: random.Random, first_at: float) -> None:
        self.count = 0
        self._pids, self._rng, self._next_at = pids, rng, first_at
        self._still: list[int] = []

    def update(self, now: float) -> None:
        """Begin or end a pause if its time has come."""
        if not TROUBLE or now < self._next_at:
            return
        if self._still:
            self.end()
            self._next_at = now + BETWEEN_S
            return
        self._still = self._rng.sample(self._pids, int(STILL_SHARE * len(self._pids)))
        for pid in self._still:
            os.kill(pid, signal.SIGSTOP)
        self.count += 1
        self._next_at = now + STILL_S

    def end(self) -> None:
        """Let all servers go on."""
        for pid in self._still:
            os.kill(pid, signal.SIGCONT)
        self._still = []


def start_servers(discovery: Discovery) -> tuple[list[int], multiprocessing.sharedctypes.Array]:
    """Start and list the servers; return their process ids and their counts of requests run."""
    addresses: multiprocessing.Queue = multiprocessing.Queue()
    runs = multiprocessing.Array("L", SERVERS, lock=False)
    for number in range(SERVERS):
        multiprocessing.Process(target=serve, args=(addresses, runs, number), daemon=True).start()
    pids = []
    for number in range(SERVERS):
        pid, address = addresses.get(timeout=20.0)
        pids.append(pid)
        discovery.add(f"s-{number:02}", address)
    return pids, runs


async def start_sidecars(discovery: Discovery, rng: random.Random) -> list[Watch]:
    """Start the sidecars; raise RuntimeError if one isn't ready in time."""
    watches = []
    for number in range(SIDECARS):
        config = {
            "name": f"n{number}",
            "seed": f"{rng.getrandbits(63):x}",
            "discovery": "{}:{}".format(*discovery.address),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "settings": settings([lane("buscar-pieza", "read_like", GIVE_UP_US, PROMISE_US)]),
        }
        sidecar = Sidecar(config, FOLDER / "sidecar.log")
        watches.append(Watch(f"n{number}", sidecar, multiprocessing.Array("d", 6, lock=False)))
        if not await sidecar.wait_ready():
            raise RuntimeError("a sidecar was not ready")
    return watches


async def main() -> int:
    """Play the case; return the exit code."""
    record = Record(FOLDER / "record.txt")
    record.line(f"TROUBLE={int(TROUBLE)}")
    rng = random.Random(SEED)
    discovery = Discovery()
    await discovery.start()
    pids, runs = start_servers(discovery)
    watches = await start_sidecars(discovery, rng)
    await asyncio.sleep(0.5)
    for number, watch in enumerate(watches):
        args = (watch.sidecar.address, number, watch.state)
        multiprocessing.Process(target=send_requests, args=args, daemon=True).start()
    started, broken = time.monotonic(), False
    pauses = Pauses(pids, rng, started + FIRST_STILL_S)
    next_report_at = started + 5.0
    while (now := time.monotonic()) < started + LENGTH_S and not broken:
        pauses.update(now)
        if now >= next_report_at:
            next_report_at = now + 5.0
            for watch in watches:
                report(record, watch, pauses.count)
            record.line(f"the servers ran {sum(runs)} requests")
        for watch in watches:
            if fault := watch.fault():
                broken = True
                report(record, watch, pauses.count)
                record.line(f"BROKEN {watch.name} {fault}; after {now - started:.1f} s", show=True)
        await asyncio.sleep(0.02)
    pauses.end()
    answered = sum(watch.state[0] + watch.state[1] for watch in watches)
    record.line(f"{answered:.0f} requests answered, {pauses.count} pauses", show=True)
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)
