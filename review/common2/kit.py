"""Stand-ins and the platform for the cases of the second review.

Servers, discovery and clients run in the process of the case; the project's programs run as processes of
their own, started with the `run` command of the deploy file.  Only loopback and the standard library.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 115.0

# The classes, bounds and guarantees of WIRE's example, which are those of the site catalogo-santiago.
CLASSES = [
    {
        "name": "buscar-pieza",
        "giveUpUs": 2_000_000,
        "promiseUs": 1_000_000,
        "repeat": "read_like",
        "worth": 3.0,
    },
    {
        "name": "ver-stock",
        "giveUpUs": 3_000_000,
        "promiseUs": 750_000,
        "repeat": "read_like",
        "worth": 3.0,
    },
    {
        "name": "reservar",
        "giveUpUs": 6_000_000,
        "promiseUs": 2_000_000,
        "repeat": "non_idempotent",
        "worth": 10.0,
    },
]
BOUNDS = {
    "sendCap": 4,
    "mayCancel": True,
    "secondCopies": True,
    "probing": True,
    "retryAfter": True,
    "maxRetryAfterUs": 2_000_000,
    "dialTimeoutUs": 250_000,
    "idleCloseUs": 15_000_000,
    "streamsPerConn": 1,
}
GUARANTEES = {
    "answerSlackUs": 20_000,
    "askWithinUs": 10_000_000,
    "coldFrom": 0.13,
    "coldUs": 24_000_000,
    "drainGraceUs": 500_000,
    "fallMultiple": 3.0,
    "fallUs": 2_000_000,
}


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


def settings(me: int = 0, size: int = 1, **changes: object) -> dict:
    """Return the settings of sidecar `me` of `size`."""
    return {
        "lanes": CLASSES,
        "bounds": BOUNDS,
        "guarantees": GUARANTEES,
        "discovery": "on_request",
        "me": me,
        "groupSize": size,
        "zone": "quilicura",
        "zones": ["quilicura", "san-bernardo"],
        "weights": "silent",
    } | changes


_hosts = itertools.count(1)


def new_host() -> str:
    """Return a loopback address of this process's own."""
    pid = os.getpid()
    return f"127.{32 + pid % 90}.{pid // 90 % 250}.{1 + next(_hosts) % 250}"


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a free port of a loopback address."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self._file.flush()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started


class Message:
    """A request or a response as it was read."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(" ")[1])

    @property
    def call_id(self) -> str:
        """The X-Call-Id of a request."""
        return self.headers.get("x-call-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length or is chunked."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return Message(first, headers, body)
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """A sound server: each request is begun once its last byte has come, and answered after `work_s`."""

    def __init__(self, name: str, record: Record, work_s: float = 0.02, zone: str = "quilicura") -> None:
        self.name, self.zone, self.work_s, self.record = name, zone, work_s, record
        self.host = new_host()
        self.port = 0
        self.status = "active"
        self.since_ms = 0
        self.runs: list[tuple[float, str]] = []  # when which request began
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """The address that discovery tells."""
        return f"{self.host}:{self.port}"

    def entry(self) -> dict:
        """Return the server's entry in discovery's form."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "nodo-base",
            "group": 1,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def answer(self, request: Message) -> bytes:
        """Return the answer to a request after its work."""
        await asyncio.sleep(self.work_s)
        return response(200, f"{request.call_id} by {self.name}".encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                path = request.first.split(" ")[1]
                if path == "/health/live":
                    writer.write(response(200))
                    continue
                if not request.call_id:
                    writer.write(response(404))
                    continue
                self.runs.append((self.record.now(), request.call_id))
                self.record(f"run      {request.call_id} at {self.name}")
                writer.write(await self.answer(request))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


class Discovery:
    """Discovery as PROTOCOL.md has it: the whole list, and watches that wait for a newer version."""

    def __init__(self, record: Record, index: int = 40) -> None:
        self.record, self.index, self.first_index = record, index, index
        self.host = new_host()
        self.port = 0
        self.servers: list[Server] = []
        self.changed_at: dict[str, int] = {}
        self.extra: list[dict] = []  # entries of servers that no case talks to
        self.paused = False  # True: no call is answered
        self._gone: dict[str, dict] = {}
        self._wake = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address of $RELAY_DISCOVERY."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def whole(self) -> dict:
        """Return the whole list."""
        entries = [server.entry() for server in self.servers] + self.extra
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    def tell(self, *servers: Server) -> None:
        """Make a new version in which these servers changed."""
        self.index += 1
        for server in servers:
            self.changed_at[server.name] = self.index
        self._wake.set()
        self._wake = asyncio.Event()

    def remove(self, server: Server) -> None:
        """Make a new version without this server, whose entry goes to watches as `left`."""
        self.servers.remove(server)
        self._gone[server.name] = server.entry() | {"status": "left"}
        self.tell(server)

    def _changes(self, after: int) -> dict:
        names = {name for name, index in self.changed_at.items() if index > after}
        entries = [server.entry() for server in self.servers if server.name in names]
        entries += [entry for name, entry in self._gone.items() if name in names]
        return {"index": self.index, "snapshot": False, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                while self.paused:
                    await asyncio.sleep(0.05)
                query = request.first.split(" ")[1].partition("?")[2]
                fields = dict(part.split("=") for part in query.split("&") if part)
                body = self.whole()
                if "after" in fields:
                    after = int(fields["after"])
                    if after >= self.index:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self._wake.wait(), int(fields.get("wait_ms", "0")) / 1000)
                    if after >= self.first_index:
                        body = self._changes(after)
                closing = request.headers.get("connection") == "close"
                writer.write(response(200, json.dumps(body).encode()))
                await writer.drain()
                if closing:
                    break
        writer.close()


def run_command() -> str:
    """Return the `run` command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Sidecar:
    """A sidecar's place on the platform: its addresses, its $TMPDIR and the processes that run there."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self.record = name, record
        self.host = new_host()
        self.folder = folder / name
        self.folder.mkdir()
        self.tmpdir = self.folder / "tmp"
        self.tmpdir.mkdir()
        self.port = free_port(self.host)
        self.peer_port = free_port(self.host, socket.SOCK_DGRAM)
        self.processes: list[subprocess.Popen] = []
        self.admin_ports: dict[int, int] = {}
        self.config: dict = {}
        self.listener: socket.socket | None = None
        self._starts = itertools.count(1)

    @property
    def address(self) -> str:
        """The address of the clients."""
        return f"{self.host}:{self.port}"

    @property
    def peer_address(self) -> str:
        """The address of the peers' datagrams."""
        return f"{self.host}:{self.peer_port}"

    def hold_listener(self) -> None:
        """Hold the clients' listening socket, as the platform does on days with upgrades."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        sock.listen(512)
        self.listener = sock

    def start(self, **changes: object) -> subprocess.Popen:
        """Start the program with the deploy file's `run`, with a seed and an admin address of its own."""
        start = next(self._starts)
        admin_port = free_port(self.host)
        config = {
            "name": self.name,
            "listen": self.address,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "mgmt": f"{self.host}:{admin_port}",
        }
        config |= self.config | changes
        path = self.folder / f"config-{start}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        self.config_path = path
        environ = {
            name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "WEIRLOCK_"))
        }
        environ |= {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.address,
            "RELAY_CONFIG": str(path),
            "RELAY_MGMT": config["mgmt"],
            "TMPDIR": str(self.tmpdir),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        prepare, fds = None, ()
        if self.listener is not None:
            environ["RELAY_ACCEPT_FD"] = "4"
            prepare, fds = partial(os.dup2, self.listener.fileno(), 4), (4,)
        log = (self.folder / f"log-{start}").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=environ,
            stdout=log,
            stderr=log,
            pass_fds=fds,
            preexec_fn=prepare,
        )
        log.close()
        self.processes.append(process)
        self.admin_ports[process.pid] = admin_port
        self.record(f"start    {self.name} as process {len(self.processes)}")
        return process

    def log_text(self, start: int) -> str:
        """Return the log of one start, counted from 1."""
        text = (self.folder / f"log-{start}").read_text(encoding="utf-8", errors="replace")
        return text.replace(f"{ROOT}/", "")

    def signal(self, process: subprocess.Popen, number: int) -> None:
        """Send a signal to one of the processes."""
        place = f"{self.name} process {self.processes.index(process) + 1}"
        self.record(f"signal   {signal.Signals(number).name} to {place}")
        process.send_signal(number)

    async def call(
        self, process: subprocess.Popen, method: str, path: str, wait_s: float = 1.0
    ) -> Message | None:
        """Call the operators' API of one process; None without an answer."""
        request = f"{method} {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode()
        return await exchange(self.host, self.admin_ports[process.pid], request, wait_s)

    async def ready(self, process: subprocess.Popen, wait_s: float = 30.0) -> None:
        """Wait until the operators' API of a process says that it takes clients."""
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            answer = await self.call(process, "GET", "/api/ready")
            if answer is not None and answer.status == 200:
                self.record(f"ready    {self.name} process {self.processes.index(process) + 1}")
                return
            if process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {process.returncode}")
            await asyncio.sleep(0.03)
        raise CannotRunError(f"{self.name} is not ready")

    def end(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self.listener is not None:
            self.listener.close()


async def exchange(host: str, port: int, request: bytes, wait_s: float) -> Message | None:
    """Send one request on a new connection; None without a whole answer in time."""
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


_calls = itertools.count(1)


def new_call_id() -> str:
    """Return an id that no other request has."""
    return f"{next(_calls):04x}{secrets.token_hex(6)}"


def api_request(call_id: str, name: str, budget_s: float, body: bytes = b"") -> bytes:
    """Return the bytes of a client's request of a class."""
    method = "POST" if name == "reservar" else "GET"
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {name}",
        f"X-Budget: {budget_s:.3f}",
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(
    sidecar: Sidecar, name: str, budget_s: float, record: Record, patience_s: float = 0.6
) -> Message | None:
    """Send one request on a new connection, and wait for its time and `patience_s` more."""
    call_id = new_call_id()
    record(f"sent     {call_id} {name} to {sidecar.name}, {budget_s} s")
    answer = await exchange(
        sidecar.host, sidecar.port, api_request(call_id, name, budget_s), budget_s + patience_s
    )
    record(
        f"answered {call_id} " + ("nothing" if answer is None else f"{answer.status} {answer.body[:60]!r}")
    )
    return answer


def main(play) -> None:  # a coroutine function of the record and a temporary folder
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record(f"trouble {'on' if TROUBLE else 'off'}")
    work = Path(tempfile.mkdtemp(prefix="review-"))
    verdict = NOT_RUN

    async def bounded() -> int:
        async with asyncio.timeout(LIMIT_S):
            return await play(record, work)

    try:
        verdict = asyncio.run(bounded())
    except (CannotRunError, TimeoutError, OSError) as error:
        record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
    finally:
        shutil.rmtree(work, ignore_errors=True)
    record({BROKEN: "RULE BROKEN", HELD: "rule held", NOT_RUN: "not run"}[verdict])
    print({BROKEN: "rule broken", HELD: "rule held", NOT_RUN: "not run"}[verdict])
    sys.exit(verdict)
