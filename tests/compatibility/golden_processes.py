"""Processes of the program, started as deployments start them, and raw sockets around them."""

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
WAIT_TIMEOUT_S = 30.0  # timeout of conditions that must come true; no test relies on its length

Address = tuple[str, int]
_host_numbers = itertools.count(1)


def new_host() -> str:
    """Return a loopback address that no other test process listens on."""
    number = next(_host_numbers)
    return f"127.{192 + os.getpid() % 48}.{os.getpid() // 48 % 256}.{1 + number % 254}"


def free_addresses(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[Address]:
    """Return distinct free addresses on a loopback host of their own."""
    host = new_host()
    with contextlib.ExitStack() as bound_sockets:
        addresses: list[Address] = []
        for _ in range(count):
            sock = bound_sockets.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            addresses.append((host, int(sock.getsockname()[1])))
        return addresses


def format_address(address: Address) -> str:
    return "{}:{}".format(*address)


def mask(data: bytes, addresses: dict[str, Address], patterns: dict[str, str] | None = None) -> str:
    """Return bytes as text, with addresses and the matches of patterns' group 1 replaced by placeholders."""
    text = data.decode("latin-1")
    for name, address in addresses.items():
        text = text.replace(format_address(address), f"<{name}>")
    for name, pattern in (patterns or {}).items():
        text = re.sub(pattern, partial(_insert_placeholder, name), text)
    return text


def _insert_placeholder(name: str, match: re.Match[str]) -> str:
    return match[0].replace(match[1], f"<{name}>")


def deployed_command(name: str) -> str:
    """Return a command line of deploy/balancer.toml."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)[name])


@contextlib.contextmanager
def _process(command: list[str], log: Path, **environ: str) -> Iterator[subprocess.Popen[bytes]]:
    inherited = {
        name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "WEIRLOCK_"))
    }
    with open(log, "ab") as log_file:
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=inherited | environ,
            stdin=subprocess.DEVNULL,
            stdout=log_file,
            stderr=log_file,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@contextlib.contextmanager
def sidecar(folder: Path, config: dict[str, Any]) -> Iterator[subprocess.Popen[bytes]]:
    """Run a sidecar process by the `run` line, with its files in `folder`; kill it by its id on exit."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    command = ["/bin/sh", "-c", deployed_command("run")]
    with _process(command, folder / "log", RELAY_CONFIG=str(path), TMPDIR=str(folder)) as process:
        yield process


@contextlib.contextmanager
def relay(folder: Path, config: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run a relay process by the `weirlock` command in the project's metadata."""
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
    """Send input lines to a process of the `sim` line; return its exit code and its reply lines."""
    input_data = "".join(f"{line}\n" for line in lines).encode()
    command = ["/bin/sh", "-c", deployed_command("sim")]
    completed = subprocess.run(
        command, cwd=ROOT, input=input_data, capture_output=True, timeout=WAIT_TIMEOUT_S, check=False
    )
    return completed.returncode, completed.stdout.decode().splitlines()


def wait_until(condition: Callable[[], bool], expected: str) -> None:
    """Wait until a condition holds."""
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() > started_s + WAIT_TIMEOUT_S:
            raise AssertionError(f"{expected}: not within {WAIT_TIMEOUT_S} s")
        time.sleep(0.02)


def read_message(sock: socket.socket) -> bytes:
    """Read one HTTP message, up to its Content-Length or, without one, the end of its head or of the data."""
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
    """Send a message on a new connection and return the response."""
    with socket.create_connection(address, WAIT_TIMEOUT_S) as sock:
        sock.sendall(data)
        return read_message(sock)


def call(address: Address, method: str, path: str) -> tuple[int, str]:
    """Send a request with an empty body; return status and body, status 0 if nothing listens yet."""
    data = f"{method} {path} HTTP/1.1\r\nHost: here\r\n\r\n".encode()
    try:
        response = exchange(address, data)
    except OSError:
        return 0, ""
    head, _, body = response.partition(b"\r\n\r\n")
    return (int(head.split(b" ")[1]) if head else 0), body.decode()


def accept(listener: socket.socket) -> socket.socket:
    """Return the next connection to a listening socket."""
    if not select.select([listener], [], [], WAIT_TIMEOUT_S)[0]:
        raise AssertionError(f"no connection within {WAIT_TIMEOUT_S} s")
    sock, _ = listener.accept()
    sock.settimeout(WAIT_TIMEOUT_S)
    return sock


@contextlib.contextmanager
def listening_socket() -> Iterator[tuple[socket.socket, Address]]:
    """Provide a listening socket on a loopback host of its own."""
    with socket.create_server((new_host(), 0), backlog=64) as listener:
        host, port = listener.getsockname()
        yield listener, (host, port)
