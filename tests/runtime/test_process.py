"""The program in a separate process: start, signals, upgrade and exit codes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from harness import free_addresses, new_host
from loopback import (
    WAIT_TIMEOUT_S,
    FakeDiscovery,
    FakeServer,
    http_response,
    is_closed,
    read_response,
    request,
    run_scenario,
    running_sidecar,
    send_request,
    wait_until,
)
from sidecar_balancer.addresses import Address
from sidecar_balancer.sidecar import shutdown

ROOT = Path(__file__).parent.parent.parent
SETTINGS: dict[str, Any] = {
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"},
        {"name": "pay", "giveUpUs": 3_000_000, "repeat": "non_idempotent"},
    ],
    "bounds": {"sendCap": 3, "mayCancel": True},
    "discovery": "on_request",
    "zone": "east",
}


def config(**changes: Any) -> dict[str, Any]:
    """Return the content of a configuration file, with the given keys changed."""
    known = {"index": 1, "snapshot": True, "endpoints": []}
    defaults = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "8c1f"}
    return defaults | {"known": known, "settings": SETTINGS} | changes


def write_config(path: Path, configuration: object) -> None:
    path.write_text(
        configuration if isinstance(configuration, str) else json.dumps(configuration), encoding="utf-8"
    )


async def launch(
    path: Path, configuration: object, accept_fd: int | None = None, **environment: str
) -> asyncio.subprocess.Process:
    write_config(path, configuration)
    environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sidecar_balancer",
        cwd=ROOT,
        env=environ | {"RELAY_CONFIG": str(path)} | environment,
        pass_fds=() if accept_fd is None else (accept_fd,),
        stderr=asyncio.subprocess.PIPE,
    )


@pytest.mark.parametrize(
    "configuration",
    [
        "not json",
        "[]",
        config(listen="nowhere"),
        config(listen=None),
        config(discovery=7),
        config(seed="xyz"),
        config(known={"index": "x"}),
        config(settings=None),
        config(settings={"lanes": []}),
        config(limits={"sockets": "many"}),
        config(mgmt="nowhere"),
        config(mgmt=7),
    ],
)
def test_a_bad_configuration_ends_the_start_with_one_line(configuration: object, tmp_path: Path) -> None:
    async def scenario() -> None:
        process = await launch(tmp_path / "config.json", configuration)
        _, err = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
        assert process.returncode == 2
        assert len(err.decode().strip().splitlines()) == 1
        assert err.startswith(b"bad configuration: ")

    run_scenario(scenario())


def free_address() -> Address:
    """Return an address that no other test uses, as port 0 can't be configured."""
    return free_addresses(new_host(), 1)[0]


async def wait_until_ok(address: Address, data: bytes) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await send_request(address, data))[0] == 200:
                    return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def program(tmp_path: Path, server: FakeServer) -> AsyncIterator[tuple[Any, Address]]:
    """Run the program with one server, and wait until it is ready."""
    discovery = FakeDiscovery()
    await discovery.start()
    await server.start()
    known = {"index": 1, "snapshot": True, "endpoints": [server.entry()]}
    address = "{}:{}".format(*discovery.address)
    listen = free_address()
    process = await launch(
        tmp_path / "config.json", config(listen="{}:{}".format(*listen), discovery=address, known=known)
    )
    try:
        await wait_until_ok(listen, request(path="/health/ready"))
        yield process, listen
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()
        server.stop()
        discovery.stop()


def test_on_sigterm_requests_in_flight_are_answered_and_the_program_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer(
            "s-0", lambda first, *_: None if "held" in first else http_response(200, b"served")
        )
        async with program(tmp_path, server) as (process, listen):
            idle, idle_writer = await asyncio.open_connection(*listen)
            idle_writer.write(request())
            status, headers, _ = await read_response(idle)
            assert status == 200
            assert "connection" not in headers
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", path="/api/held", body=b"x"))
            await wait_until(lambda: len(server.requests) == 2)

            process.send_signal(signal.SIGTERM)
            assert await is_closed(idle)
            for server_writer in server.writers:
                if not server_writer.is_closing():
                    server_writer.write(http_response(200, b"held"))
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"held")
            assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0
            for client_writer in (idle_writer, writer):
                client_writer.close()

    run_scenario(scenario())


TERM, HUP = signal.SIGTERM, signal.SIGHUP


@pytest.mark.parametrize("signals", [(TERM, TERM), (TERM, HUP), (HUP, TERM)])
def test_signals_that_arrive_together_leave_requests_in_flight_answered(
    tmp_path: Path, signals: tuple[signal.Signals, ...]
) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", lambda *_: None)
        async with program(tmp_path, server) as (process, listen):
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", body=b"x"))
            await wait_until(lambda: server.requests)
            for number in signals:
                process.send_signal(number)
            await wait_for_log(process, "draining")
            server.writers[-1].write(http_response(200, b"held"))
            assert (await read_response(reader))[2] == b"held"
            assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0
            writer.close()

    run_scenario(scenario())


def test_sigterm_before_it_is_ready_leaves_no_connected_client_unanswered(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", lambda *_: http_response(200, b"served"))
        await server.start()
        known = {"index": 1, "snapshot": True, "endpoints": [server.entry()]}
        listen = free_address()
        configuration = config(listen="{}:{}".format(*listen), known=known)
        process = await launch(tmp_path / "config.json", configuration)
        client = socket.socket()
        while client.connect_ex(listen):  # a busy loop, to connect before the program is ready
            client.close()
            client = socket.socket()
            assert process.returncode is None
        process.send_signal(signal.SIGTERM)
        reader, writer = await asyncio.open_connection(sock=client)
        writer.write(request())
        assert (await read_response(reader))[2] == b"served"
        assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0
        await process.communicate()
        writer.close()
        await server.end()

    run_scenario(scenario())


def test_after_sigterm_a_request_that_never_ends_fails_by_its_deadline(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", lambda *_: None)
        async with program(tmp_path, server) as (process, listen):
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", body=b"x", budget="500"))
            await wait_until(lambda: server.requests)
            process.send_signal(signal.SIGTERM)
            assert (await read_response(reader))[0] == 500
            assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0
            writer.close()

    run_scenario(scenario())


def test_a_shutdown_still_accepts_connections_and_serves_those_just_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Clients open connections for up to 0.4 s after SIGTERM.  The time is long here, so that a slow machine
    # can't miss them.
    monkeypatch.setattr(shutdown, "_ACCEPT_WHILE_DRAINING_S", 600.0)

    async def scenario() -> None:
        async with running_sidecar(lambda *_: http_response(200, b"served")) as environment:
            listen = environment.sidecar.frontend.address
            idle, idle_writer = await asyncio.open_connection(*listen)
            idle_writer.write(request())
            assert (await read_response(idle))[0] == 200
            opened, opened_writer = await asyncio.open_connection(*listen)
            await wait_until(lambda: len(environment.sidecar.frontend.connections) == 2)
            environment.stop.set()
            # Idle connections are closed while a request that meets the close can still be retried.
            assert await is_closed(idle)
            assert (await send_request(listen, request(path="/health/ready")))[0] == 503
            # Requests on a connection opened just before, and on one opened now, are served.
            late, late_writer = await asyncio.open_connection(*listen)
            for reader, writer in ((opened, opened_writer), (late, late_writer)):
                writer.write(request())
                status, headers, body = await read_response(reader)
                assert (status, headers["connection"], body) == (200, "close", b"served")
                assert await is_closed(reader)
                writer.close()
            idle_writer.close()

    run_scenario(scenario())


async def wait_for_log(process: asyncio.subprocess.Process, text: str) -> None:
    """Wait for a line with `text` in the program's log."""
    assert process.stderr is not None
    while text.encode() not in (line := await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)):
        assert line, f"the program ended without logging {text!r}"


def test_sighup_moves_discovery_to_the_address_in_the_file_and_a_faulty_file_changes_nothing(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", lambda *_: http_response(200, b"served"))
        new_discovery = FakeDiscovery()
        await new_discovery.start()
        async with program(tmp_path, server) as (process, address):
            path = tmp_path / "config.json"
            good = json.loads(path.read_text(encoding="utf-8"))
            path.write_text("not json", encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            await wait_for_log(process, "bad configuration, keeping the previous one")
            assert (await send_request(address, request()))[0] == 200
            assert not new_discovery.request_targets
            path.write_text(
                json.dumps(good | {"discovery": "{}:{}".format(*new_discovery.address)}), encoding="utf-8"
            )
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: new_discovery.request_targets)
            assert (await send_request(address, request()))[0] == 200
            assert process.returncode is None
        new_discovery.stop()

    run_scenario(scenario())


READY = b"GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n"


EXCLUDE = b"PUT /api/exclude/s-1 HTTP/1.1\r\nHost: ops\r\n\r\n"


class UpgradeProcesses:
    """Processes that share one listening socket, with two servers that don't respond to /api/held."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.server, self.disabled = (
            FakeServer(name, lambda first, *_: None if "held" in first else http_response(200, b"served"))
            for name in ("s-0", "s-1")
        )
        self._discovery = FakeDiscovery()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.listen: Address = self._listener.getsockname()[:2]
        self._processes: list[asyncio.subprocess.Process] = []

    async def open(self) -> None:
        for fake in (self.server, self.disabled, self._discovery):
            await fake.start()

    async def start(self, admin_address: Address) -> asyncio.subprocess.Process:
        """Start a process and wait until it is ready."""
        self._discovery.publish(2, [])
        entries = [self.server.entry(), self.disabled.entry()]
        configuration = config(
            listen="{}:{}".format(*self.listen),
            discovery="{}:{}".format(*self._discovery.address),
            known={"index": 1, "snapshot": True, "endpoints": entries},
        )
        fd = self._listener.fileno()
        variables = {"RELAY_MGMT": "{}:{}".format(*admin_address), "TMPDIR": str(self._folder)}
        path = self._folder / "config.json"
        process = await launch(path, configuration, fd, RELAY_ACCEPT_FD=str(fd), **variables)
        self._processes.append(process)
        await wait_until_ok(admin_address, READY)
        assert process.returncode is None, "another process answered at the admin address"
        return process

    def requests(self) -> list[Any]:
        return self.server.requests + self.disabled.requests

    def answer_held_requests(self) -> None:
        for writer in self.server.writers + self.disabled.writers:
            if not writer.is_closing():
                writer.write(http_response(200, b"held"))

    async def close(self) -> None:
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.communicate()
        for fake in (self.server, self.disabled, self._discovery):
            fake.stop()
        self._listener.close()


@contextlib.asynccontextmanager
async def running_upgrade(folder: Path) -> AsyncIterator[UpgradeProcesses]:
    processes = UpgradeProcesses(folder)
    await processes.open()
    try:
        yield processes
    finally:
        await processes.close()


async def connect_and_send_request(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and complete one request on it."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request())
    assert (await read_response(reader))[0] == 200
    return reader, writer


def test_an_upgrade_hands_the_clients_over_and_keeps_overrides_and_requests_in_flight(tmp_path: Path) -> None:
    async def scenario() -> None:
        old_address, new_address = free_address(), free_address()
        async with running_upgrade(tmp_path) as processes:
            old_process = await processes.start(old_address)
            idle, idle_writer = await connect_and_send_request(processes.listen)
            busy, busy_writer = await connect_and_send_request(processes.listen)
            assert (await send_request(old_address, EXCLUDE))[0] == 200

            new_process = await processes.start(new_address)
            busy_writer.write(request("pay", path="/api/held", body=b"x", budget="3"))
            await wait_until(lambda: any("held" in first for first, *_ in processes.requests()))
            old_process.send_signal(signal.SIGTERM)
            assert await is_closed(idle)
            processes.answer_held_requests()
            status, headers, body = await read_response(busy)
            assert (status, headers["connection"], body) == (200, "close", b"held")
            assert await asyncio.wait_for(old_process.wait(), WAIT_TIMEOUT_S) == 0

            before = len(processes.disabled.requests)
            for _ in range(20):  # the new process accepts connections and applies the override
                assert (await send_request(processes.listen, request()))[2] == b"served"
            assert len(processes.disabled.requests) == before
            assert new_process.returncode is None
            idle_writer.close()
            busy_writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("kind", ["missing", "no number", "not listening", "no socket"])
def test_a_descriptor_that_is_no_listening_socket_ends_the_start_with_one_line(
    kind: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        unconnected_socket = socket.socket()
        file = os.open(tmp_path, os.O_RDONLY)
        fd = {"not listening": unconnected_socket.fileno(), "no socket": file}.get(kind)
        descriptor = "four" if kind == "no number" else str(fd if fd is not None else 1_000)
        process = await launch(tmp_path / "config.json", config(), fd, RELAY_ACCEPT_FD=descriptor)
        _, err = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
        assert process.returncode not in (0, None)
        assert len(err.decode().strip().splitlines()) == 1
        assert b"descriptor" in err
        unconnected_socket.close()
        os.close(file)

    run_scenario(scenario())


def test_an_admin_address_that_cannot_be_bound_ends_the_start_with_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = "{}:{}".format(*taken.getsockname())
            configuration = config(listen="{}:{}".format(*free_address()), mgmt=address)
            process = await launch(tmp_path / "config.json", configuration)
            _, err = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
        assert process.returncode not in (0, None)
        assert len(err.decode().strip().splitlines()) == 1
        assert err.startswith(b"can't serve: ")

    run_scenario(scenario())
