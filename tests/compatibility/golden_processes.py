"""Processes of the program, started as deployments start them, and raw sockets round them."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import re
import select
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
PATIENCE_S = 30.0  # for what must come; no test takes it as proof of anything

Address = tuple[str, int]
_hosts = itertools.count(1)


def own_host() -> str:
    """A loopback address that no other test process listens on."""
    number = next(_hosts)
    return f"127.{192 + os.getpid() % 48}.{os.getpid() // 48 % 256}.{1 + number % 254}"


def free_addresses(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[Address]:
    """Distinct free addresses on a loopback host of their own."""
    host = own_host()
    with contextlib.ExitStack() as held:
        found: list[Address] = []
        for _ in range(count):
            sock = held.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            found.append((host, int(sock.getsockname()[1])))
        return found


def text(address: Address) -> str:
    return "{}:{}".format(*address)


def masked(data: bytes, names: dict[str, Address], patterns: dict[str, str] | None = None) -> str:
    """Bytes as text, with addresses and what matches a pattern's group 1 replaced by placeholders."""
    told = data.decode("latin-1")
    for name, address in names.items():
        told = told.replace(text(address), f"<{name}>")
    for name, pattern in (patterns or {}).items():
        told = re.sub(pattern, partial(_placed, name), told)
    return told


def _placed(name: str, found: re.Match[str]) -> str:
    return found[0].replace(found[1], f"<{name}>")


def deployed(name: str) -> str:
    """A command line of deploy/balancer.toml."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)[name])


@contextlib.contextmanager
def _process(command: list[str], log: Path, **environ: str) -> Iterator[subprocess.Popen[bytes]]:
    kept = {name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "WEIRLOCK_"))}
    with open(log, "ab") as errors:
        process = subprocess.Popen(
            command, cwd=ROOT, env=kept | environ, stdin=subprocess.DEVNULL, stdout=errors, stderr=errors
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@contextlib.contextmanager
def sidecar(folder: Path, config: dict[str, Any]) -> Iterator[subprocess.Popen[bytes]]:
    """A sidecar process by the `run` line, its files in `folder`; killed by its id on leaving."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    command = ["/bin/sh", "-c", deployed("run")]
    with _process(command, folder / "log", RELAY_CONFIG=str(path), TMPDIR=str(folder)) as process:
        yield process


@contextlib.contextmanager
def relay(folder: Path, config: str) -> Iterator[subprocess.Popen[bytes]]:
    """A relay process by the `weirlock` command that the project's metadata names."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "relay.toml"
    path.write_text(config, encoding="utf-8")
    with open(ROOT / "pyproject.toml", "rb") as file:
        module, _, function = tomllib.load(file)["project"]["scripts"]["weirlock"].partition(":")
    code = f"import sys; from {module} import {function} as main; sys.exit(main())"
    command = [sys.executable, "-c", code, "relay", "--config", str(path)]
    with _process(command, folder / "log") as process:
        yield process


def simulate(lines: list[str]) -> tuple[int, list[str]]:
    """Play input lines through a process of the `sim` line: its exit code and the lines of its replies."""
    given = "".join(f"{line}\n" for line in lines).encode()
    command = ["/bin/sh", "-c", deployed("sim")]
    done = subprocess.run(
        command, cwd=ROOT, input=given, capture_output=True, timeout=PATIENCE_S, check=False
    )
    return done.returncode, done.stdout.decode().splitlines()


def until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds."""
    began = time.monotonic()
    while not condition():
        if time.monotonic() > began + PATIENCE_S:
            raise AssertionError(f"{what} did not come in {PATIENCE_S} s")
        time.sleep(0.02)


def message(sock: socket.socket) -> bytes:
    """Read one HTTP message with a length, or up to the end of the connection."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if end and len(body) >= (int(length[1]) if length else 0):
            return data
        piece = sock.recv(65536)
        if not piece:
            return data
        data += piece


def exchange(address: Address, data: bytes) -> bytes:
    """Send a message on a connection of its own and read the answer."""
    with socket.create_connection(address, PATIENCE_S) as sock:
        sock.sendall(data)
        return message(sock)


def call(address: Address, method: str, path: str) -> tuple[int, str]:
    """Make a call with an empty body; status 0 where nothing answers yet."""
    data = f"{method} {path} HTTP/1.1\r\nHost: here\r\n\r\n".encode()
    try:
        answer = exchange(address, data)
    except OSError:
        return 0, ""
    head, _, body = answer.partition(b"\r\n\r\n")
    return (int(head.split(b" ")[1]) if head else 0), body.decode()


def accepted(listener: socket.socket) -> socket.socket:
    """The next connection to a listening socket."""
    if not select.select([listener], [], [], PATIENCE_S)[0]:
        raise AssertionError(f"no connection came in {PATIENCE_S} s")
    sock, _ = listener.accept()
    sock.settimeout(PATIENCE_S)
    return sock


@contextlib.contextmanager
def listening() -> Iterator[tuple[socket.socket, Address]]:
    """A listening socket on a loopback host of its own."""
    with socket.create_server((own_host(), 0), backlog=64) as listener:
        host, port = listener.getsockname()
        yield listener, (host, port)
