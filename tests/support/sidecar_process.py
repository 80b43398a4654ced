"""A sidecar as a process of its own under the limits of its configuration, beside servers in this process.

The servers choose their behavior by the path of a request, which the sidecar passes on unchanged:

    /api/ok             read the body, answer "served"
    /api/hang           read the body, never answer
    /api/unread         read the head alone, never answer
    /api/slow/RATE      read the body at RATE bytes a second, then answer "served"
    /api/long/SIZE      answer with SIZE bytes
    /api/drip/SIZE/S    answer with SIZE bytes, pausing S seconds after each sixteenth
    /api/fields/SIZE    answer with a head of SIZE bytes of short fields
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harness import ROOT, format_address, free_addresses, new_host, program_command
from loopback import LoopbackServer, read_response, request
from raw_server import Reader, Writer
from sidecar_balancer.addresses import Address

SERVERS = 4
READY_TIMEOUT_S = 30.0
DRIP_PIECES = 16
SHORT_FIELD = b"a:\r\n"
SETTINGS: dict[str, Any] = {
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"},
        {"name": "pay", "giveUpUs": 2_000_000, "repeat": "non_idempotent"},
        {"name": "amend", "giveUpUs": 2_000_000, "repeat": "idempotency_key"},
    ],
    "bounds": {"sendCap": 3, "mayCancel": True},
    "discovery": "on_request",
    "zone": "east",
}


@dataclass
class ScriptedServer(LoopbackServer):
    """A server whose behavior follows from the path of each request.

    Attributes:
        name: Its name in the endpoint list.
        executed: How often it has received each request id whole.
        begun_at: When the first byte of each request arrived, on the event loop's clock.
    """

    name: str
    executed: Counter[str] = field(default_factory=Counter)
    begun_at: dict[str, list[float]] = field(default_factory=dict)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                await self._answer(reader, writer)

    async def _answer(self, reader: Reader, writer: Writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        request_id = head.partition("x-call-id: ")[2].partition("\r")[0]
        self.begun_at.setdefault(request_id, []).append(asyncio.get_running_loop().time())
        _, behavior, *arguments = head.split(" ")[1].strip("/").split("/")
        if behavior == "unread":
            assert isinstance(writer.transport, asyncio.Transport)
            writer.transport.pause_reading()
            await asyncio.Event().wait()
        await self._read_body(head, reader, float(arguments[0]) if behavior == "slow" else 0.0)
        self.executed[request_id] += 1
        if behavior == "hang":
            await reader.read(1)
            raise ConnectionError
        if behavior == "fields":
            fields = SHORT_FIELD * (int(arguments[0]) // len(SHORT_FIELD))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + fields + b"\r\nserved")
            return
        size = int(arguments[0]) if behavior in ("long", "drip") else 6
        body = bytes(size) if behavior in ("long", "drip") else b"served"
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        pieces = DRIP_PIECES if behavior == "drip" else 1
        for start in range(0, size, -(-size // pieces)):
            writer.write(body[start : start + -(-size // pieces)])
            await writer.drain()
            if behavior == "drip":
                await asyncio.sleep(float(arguments[1]))

    @staticmethod
    async def _read_body(head: str, reader: Reader, bytes_per_s: float) -> None:
        length = head.partition("content-length: ")[2].partition("\r")[0]
        remaining = int(length or 0)
        if "chunked" in head:
            while not (await reader.readuntil(b"\r\n")).startswith(b"0\r"):
                pass
            await reader.readline()
        while remaining:
            data = await reader.read(min(remaining, 16_384))
            if not data:
                raise ConnectionError
            remaining -= len(data)
            if bytes_per_s:
                await asyncio.sleep(len(data) / bytes_per_s)


@dataclass
class MemoryUse:
    """Resident memory and files of one or more processes, in MiB.

    Attributes:
        before_mb: At the start of the measurement.
        peak_mb: The highest of its samples.
        after_mb: The latest sample.
        descriptors: The most descriptors in a sample.
    """

    before_mb: float = 0.0
    peak_mb: float = 0.0
    after_mb: float = 0.0
    descriptors: int = 0


class SidecarProcess:
    """A sidecar process, its servers and its memory.

    Attributes:
        address: The address that it listens on for clients.
        servers: The servers in its endpoint list.
        processes: The processes, in the order of their start; two during an upgrade.
        admin_addresses: The addresses of their admin servers.
        config_changes: Keys of the configuration that replace the usual ones.
        program: The words of the command in place of the module `sidecar_balancer`; empty: the module.
        log_pipe: The descriptor for the processes' standard error; None: a file in the folder.
        inherits_listener: Whether the processes share a listening socket of this one; else each has its own.
    """

    def __init__(self, folder: Path, memory_mb: int, sockets: int) -> None:
        self.folder = folder
        self.address: Address = ("", 0)
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.servers = [ScriptedServer(f"s-{number}") for number in range(SERVERS)]
        self.processes: list[asyncio.subprocess.Process] = []
        self.admin_addresses: list[Address] = []
        self.settings = SETTINGS
        self.config_changes: dict[str, Any] = {}
        self.program: list[str] = []
        self.log_pipe: int | None = None
        self.inherits_listener = True
        self._listener = socket.socket()
        self._admin_host = new_host()

    async def open(self) -> None:
        """Start the servers and the first process, and wait until it is ready."""
        for server in self.servers:
            await server.start()
        if self.inherits_listener:
            self._listener.bind((new_host(), 0))
            self._listener.listen(512)
            self.address = self._listener.getsockname()
        else:
            self.address = free_addresses(new_host(), 1)[0]
        await self.start_process()

    async def start_process(self) -> asyncio.subprocess.Process:
        """Start one more process on the same listening socket, and wait until it says that it is ready."""
        admin = free_addresses(self._admin_host, 1)[0]
        number = len(self.processes)
        self.admin_addresses.append(admin)
        path = self.folder / f"config{number}.json"
        path.write_text(json.dumps(self._config(admin)), encoding="utf-8")
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environ |= {"RELAY_CONFIG": str(path), "TMPDIR": str(temporary)}
        if self.inherits_listener:
            environ["RELAY_ACCEPT_FD"] = str(self._listener.fileno())
        with (self.folder / f"log{number}").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *self._command(),
                cwd=ROOT,
                env=environ,
                pass_fds=(self._listener.fileno(),),
                stderr=log if self.log_pipe is None else self.log_pipe,
            )
        self.processes.append(process)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready(admin):  # noqa: ASYNC110  # another process has no event to wait for
                await asyncio.sleep(0.05)
        return process

    def _command(self) -> list[str]:
        command = program_command(ROOT)
        return [*command[: command.index("-m")], *self.program] if self.program else command

    def _config(self, admin: Address) -> dict[str, Any]:
        entries = [
            {"name": each.name, "address": format_address(each.address), "zone": "east", "type": "m"}
            | {"group": 1, "status": "active", "weight": 1.0, "since_ms": 0}
            for each in self.servers
        ]
        return {
            "name": "n0",
            "listen": format_address(self.address),
            "mgmt": format_address(admin),
            "discovery": "127.0.0.1:1",
            "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
            "settings": self.settings,
        } | self.config_changes

    @staticmethod
    async def _is_ready(admin: Address) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*admin)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            status, _, _ = await read_response(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def close(self) -> None:
        """End the processes and the servers."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        self._listener.close()
        for server in self.servers:
            await server.end()

    def memory_mb_now(self) -> float:
        """Return the resident memory of all processes with their files, in MiB."""
        total = sum(path.stat().st_blocks * 512 for path in (self.folder / "tmp").rglob("*"))
        for process in self.processes:
            with contextlib.suppress(OSError, ValueError):
                pages = int(Path(f"/proc/{process.pid}/statm").read_text(encoding="ascii").split()[1])
                total += pages * os.sysconf("SC_PAGE_SIZE")
        return total / 2**20

    def descriptors_now(self) -> int:
        """Return the open descriptors of all processes."""
        total = 0
        for process in self.processes:
            with contextlib.suppress(OSError):
                total += sum(1 for _ in Path(f"/proc/{process.pid}/fd").iterdir())
        return total

    @contextlib.asynccontextmanager
    async def measured(self) -> AsyncIterator[MemoryUse]:
        """Sample the memory for the length of the block."""
        now = self.memory_mb_now()
        use = MemoryUse(now, now, now)

        async def sample() -> None:
            while True:
                use.after_mb = self.memory_mb_now()
                use.peak_mb = max(use.peak_mb, use.after_mb)
                use.descriptors = max(use.descriptors, self.descriptors_now())
                await asyncio.sleep(0.01)

        task = asyncio.create_task(sample())
        try:
            yield use
        finally:
            task.cancel()
            use.after_mb = self.memory_mb_now()

    def executed(self) -> Counter[str]:
        """Return how often each request id has reached a server whole."""
        return sum((server.executed for server in self.servers), Counter())


@contextlib.asynccontextmanager
async def running_process(
    folder: Path,
    memory_mb: int = 32,
    sockets: int = 1024,
    settings: dict[str, Any] = SETTINGS,
    program: list[str] | None = None,
    log_pipe: int | None = None,
    inherits_listener: bool = True,
    **config_changes: Any,
) -> AsyncIterator[SidecarProcess]:
    """Run a sidecar process with these limits; end it on exit."""
    sidecar = SidecarProcess(folder, memory_mb, sockets)
    sidecar.settings, sidecar.config_changes = settings, config_changes
    sidecar.program, sidecar.log_pipe = program or [], log_pipe
    sidecar.inherits_listener = inherits_listener
    try:
        await sidecar.open()
        yield sidecar
    finally:
        await sidecar.close()


@dataclass
class Neighbors:
    """Well-behaved clients, which send one request after another beside others.

    Attributes:
        results: The number of requests by status, or "closed" without an answer.
        late: The number of answers that came more than half a second after their time.
        longest_s: The longest time to an answer, in seconds.
    """

    budget_s: float = 1.0
    results: Counter[str] = field(default_factory=Counter)
    late: int = 0
    longest_s: float = 0.0

    async def run(self, address: Address, seconds: float, interval_s: float = 0.1) -> None:
        """Send requests for this long, each on a connection of its own, and wait for their answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as requests:
            for number in itertools.count():
                requests.create_task(self._ask(address, f"{id(self):016x}{number:08x}"))
                await asyncio.sleep(interval_s)
                if loop.time() >= end:
                    break

    async def _ask(self, address: Address, request_id: str) -> None:
        started_at = asyncio.get_running_loop().time()
        result = "closed"
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request(path="/api/ok", budget=str(self.budget_s), X_Call_Id=request_id))
            result = str((await read_response(reader))[0])
            writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.results[result] += 1
        self.longest_s = max(self.longest_s, elapsed_s)
        self.late += elapsed_s > self.budget_s + 0.55
