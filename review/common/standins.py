"""Stand-ins for the platform, discovery and the servers, and the start of a sidecar by the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import multiprocessing
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close resets the connection


def free_port() -> int:
    """Return a port that no socket is bound to."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """The record of a run: lines with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def line(self, text: str, show: bool = False) -> None:
        """Write a line; with `show`, print it too."""
        self._file.write(f"{time.monotonic() - self._started:9.4f} {text}\n")
        self._file.flush()
        if show:
            print(text, flush=True)


def settings(lanes: list[dict], **changes: dict) -> dict:
    """Return the settings of a small deployment, as WIRE shows them, with these classes."""
    bounds = {
        "dialTimeoutUs": 250_000,
        "idleCloseUs": 15_000_000,
        "maxRetryAfterUs": 2_000_000,
        "mayCancel": True,
        "mayTell": False,
        "probing": True,
        "retryAfter": True,
        "secondCopies": True,
        "sendCap": 4,
        "streamsPerConn": 1,
    }
    guarantees = {
        "answerSlackUs": 20_000,
        "askWithinUs": 10_000_000,
        "coldFrom": 0.13,
        "coldUs": 24_000_000,
        "drainGraceUs": 500_000,
        "fallMultiple": 3.0,
        "fallUs": 2_000_000,
    }
    return {
        "lanes": lanes,
        "bounds": bounds | changes.get("bounds", {}),
        "guarantees": guarantees | changes.get("guarantees", {}),
        "discovery": "on_request",
        "groupSize": 1,
        "me": 0,
        "quantumUs": 5000,
        "report": {"columns": [], "source": "silent"},
        "zone": "quilicura",
        "zones": ["quilicura"],
    }


def lane(name: str, repeat: str, give_up_us: int, promise_us: int, worth: float = 3.0) -> dict:
    """Return a class of requests."""
    return {
        "name": name,
        "repeat": repeat,
        "giveUpUs": give_up_us,
        "promiseUs": promise_us,
        "worth": worth,
        "lateValue": 0.0,
        "memorySpanUs": 5_000_000,
        "group": "all",
        "streaming": False,
    }


_running: set[Sidecar] = set()


class Sidecar:
    """One sidecar, started by the deploy file's `run` as the platform starts it."""

    def __init__(self, config: dict, log: Path) -> None:
        self.address = (HOST, free_port())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        tmp = self.folder / "tmp"
        tmp.mkdir()
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        } | config
        (self.folder / "config.json").write_text(json.dumps(config))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environ |= {
            "RELAY_NAME": config["name"],
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(tmp),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self._log = log.open("a")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=self._log, stderr=self._log
        )
        _running.add(self)

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until it answers that it is ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until and self.process.poll() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                status, _, _ = await read_response(reader)
                writer.close()
                if status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the program that `run` started."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def memory_kb(self) -> dict[str, int]:
        """Return the resident memory of the process by kind, as the platform sees it."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return {key: int(value) for key, value in re.findall(r"(VmRSS|RssAnon|VmHWM):\s+(\d+) kB", text)}

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, as the platform sees it."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def end(self) -> None:
        """Kill the process and remove its folder; a second call does nothing."""
        if self not in _running:
            return
        _running.discard(self)
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.strip().split("\r\n")
    return first_line, {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return bytes(body)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one response with a framed body."""
    first_line, headers = await read_head(reader)
    return int(first_line.split(" ")[1]), headers, await read_body(reader, headers)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()


class Discovery:
    """Discovery: the whole list, and watches that wait for a change or the end of their wait."""

    def __init__(self) -> None:
        self.address = (HOST, 0)
        self.index = 1
        self.entries: dict[str, dict] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]

    def add(self, name: str, address: tuple[str, int], since_ms: int = 0, status: str = "active") -> None:
        """List a server."""
        self.entries[name] = {
            "name": name,
            "address": "{}:{}".format(*address),
            "zone": "quilicura",
            "type": "nodo-base",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        self.index += 1

    def list(self) -> dict:
        """Return the whole list in the published form."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                first_line, _ = await read_head(reader)
                after = re.search(r"after=(\d+)", first_line)
                wait_ms = re.search(r"wait_ms=(\d+)", first_line)
                until = time.monotonic() + (int(wait_ms[1]) / 1000 if wait_ms else 0.0)
                while after and int(after[1]) >= self.index and time.monotonic() < until:
                    await asyncio.sleep(0.02)
                unchanged = after is not None and int(after[1]) >= self.index
                answer = (
                    {"index": self.index, "snapshot": False, "endpoints": []} if unchanged else self.list()
                )
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()


def run_case(main: Callable[[], Coroutine[Any, Any, int]], limit_s: float = 115.0) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await main()

    code = 2
    try:
        with asyncio.Runner() as runner:
            code = runner.run(bounded())
            sys.stdout.flush()
            end_children()
            os._exit(code)  # the stand-ins' open connections need no orderly end
    except Exception as error:
        print(f"the case could not run: {error!r}", flush=True)
    finally:
        end_children()
    os._exit(2)


def end_children() -> None:
    """End all stand-ins that run as processes of their own, and all sidecars."""
    for child in multiprocessing.active_children():
        child.kill()
    for sidecar in list(_running):
        sidecar.end()
