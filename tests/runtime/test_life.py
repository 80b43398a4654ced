"""The program as the platform starts and stops it, in a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from loopback import (
    PATIENCE_S,
    FakeDiscovery,
    FakeServer,
    answer,
    ask,
    is_closed,
    play,
    read_answer,
    request,
    until,
    world,
)
from sidecar_balancer.addresses import Address
from sidecar_balancer.observability.logs import LogConfig, LogRateLimiter, configure_logging
from sidecar_balancer.runtime import shutdown

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
    known = {"index": 1, "snapshot": True, "endpoints": []}
    given = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "8c1f"}
    return given | {"known": known, "settings": SETTINGS} | changes


async def launch(
    path: Path, given: object, accept_fd: int | None = None, **environment: str
) -> asyncio.subprocess.Process:
    path.write_text(given if isinstance(given, str) else json.dumps(given), encoding="utf-8")
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
    "given",
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
def test_a_bad_configuration_ends_the_start_with_one_line(given: object, tmp_path: Path) -> None:
    async def scene() -> None:
        process = await launch(tmp_path / "config.json", given)
        _, err = await asyncio.wait_for(process.communicate(), PATIENCE_S)
        assert process.returncode == 2
        assert len(err.decode().strip().splitlines()) == 1 and err.startswith(b"bad configuration: ")

    play(scene())


def test_a_flood_of_log_lines_is_cut_and_counted() -> None:
    flood = LogRateLimiter(5, 3)
    times = (7.0, 7.1, 7.2, 7.3, 7.9, 8.0)
    lines = [logging.makeLogRecord({"created": at, "msg": "lost %s"}) for at in times]
    assert [flood.filter(each) for each in lines] == [True, True, True, False, False, True]
    assert flood.suppressed == 2 and vars(lines[-1])["suppressed"] == 2
    others = [logging.makeLogRecord({"created": 8.5, "msg": f"word {n}"}) for n in "abcdef"]
    assert [flood.filter(each) for each in others] == [True] * 4 + [False] * 2  # five lines in all


def test_a_json_line_names_its_event_and_what_it_is_about(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logging(LogConfig(format="json"))
    log = logging.getLogger("sidecar_balancer.runtime.sidecar")
    log.info("%s: %d", "ejected s-1", 3, extra={"event": "ejected", "server": "s-1"})
    log.warning("the event loop was %.0f ms late", 70.2)
    try:
        raise ValueError("odd")
    except ValueError:
        log.exception("it failed on %r", "x")
    first, second, third = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert first["event"] == "ejected" and first["server"] == "s-1" and first["msg"] == "ejected s-1: 3"
    assert first["level"] == "info" and first["subsystem"] == "runtime.sidecar" and first["ts"].endswith("Z")
    assert second["event"] == "the_event_loop_was_ms_late" and second["level"] == "warning"
    assert "ValueError: odd" in third["exception"]
    configure_logging(LogConfig(format="plain", level="warning"))
    log.info("not told")
    log.error("told %d", 1)
    (line,) = capsys.readouterr().err.splitlines()
    assert line.endswith("sidecar_balancer.runtime.sidecar told 1")
    logging.getLogger().handlers.clear()


def free_address() -> Address:
    """Port 0 is no address to be told, so a free one is picked and given back just before."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        host, port = free.getsockname()
        return host, port


async def says_yes(address: Address, data: bytes) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await ask(address, data))[0] == 200:
                    return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def program(tmp_path: Path, server: FakeServer) -> AsyncIterator[tuple[Any, Address]]:
    """The program, ready, with one server behind it."""
    discovery = FakeDiscovery()
    await discovery.start()
    await server.start()
    known = {"index": 1, "snapshot": True, "endpoints": [server.entry()]}
    where = "{}:{}".format(*discovery.address)
    listen = free_address()
    process = await launch(
        tmp_path / "config.json", config(listen="{}:{}".format(*listen), discovery=where, known=known)
    )
    try:
        await says_yes(listen, request(path="/health/ready"))
        yield process, listen
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()
        server.stop()
        discovery.stop()


def test_on_sigterm_all_that_is_held_is_answered_and_the_program_ends(tmp_path: Path) -> None:
    async def scene() -> None:
        server = FakeServer("s-0", lambda first, *_: None if "held" in first else answer(200, b"served"))
        async with program(tmp_path, server) as (process, listen):
            resting, resting_writer = await asyncio.open_connection(*listen)
            resting_writer.write(request())
            status, headers, _ = await read_answer(resting)
            assert status == 200 and "connection" not in headers
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", path="/api/held", body=b"x"))
            await until(lambda: len(server.requests) == 2)

            process.send_signal(signal.SIGTERM)
            assert await is_closed(resting)
            for each in server.writers:
                if not each.is_closing():
                    each.write(answer(200, b"held"))
            status, headers, body = await read_answer(reader)
            assert (status, headers["connection"], body) == (200, "close", b"held")
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
            for each in (resting_writer, writer):
                each.close()

    play(scene())


TERM, HUP = signal.SIGTERM, signal.SIGHUP


@pytest.mark.parametrize("signals", [(TERM, TERM), (TERM, HUP), (HUP, TERM)])
def test_signals_that_come_together_leave_what_is_held_answered(
    tmp_path: Path, signals: tuple[signal.Signals, ...]
) -> None:
    async def scene() -> None:
        server = FakeServer("s-0", lambda *_: None)
        async with program(tmp_path, server) as (process, listen):
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", body=b"x"))
            await until(lambda: server.requests)
            for each in signals:
                process.send_signal(each)
            await logged(process, "draining")
            server.writers[-1].write(answer(200, b"held"))
            assert (await read_answer(reader))[2] == b"held"
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
            writer.close()

    play(scene())


def test_sigterm_before_it_is_ready_leaves_whoever_could_connect_answered(tmp_path: Path) -> None:
    async def scene() -> None:
        server = FakeServer("s-0", lambda *_: answer(200, b"served"))
        await server.start()
        known = {"index": 1, "snapshot": True, "endpoints": [server.entry()]}
        listen = free_address()
        given = config(listen="{}:{}".format(*listen), known=known)
        process = await launch(tmp_path / "config.json", given)
        client = socket.socket()
        while client.connect_ex(listen):  # a busy loop: it is to connect before anything is served
            client.close()
            client = socket.socket()
            assert process.returncode is None
        process.send_signal(signal.SIGTERM)
        reader, writer = await asyncio.open_connection(sock=client)
        writer.write(request())
        assert (await read_answer(reader))[2] == b"served"
        assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        await process.communicate()
        writer.close()
        await server.end()

    play(scene())


def test_after_sigterm_a_request_that_never_ends_is_failed_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        server = FakeServer("s-0", lambda *_: None)
        async with program(tmp_path, server) as (process, listen):
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", body=b"x", budget="500"))
            await until(lambda: server.requests)
            process.send_signal(signal.SIGTERM)
            assert (await read_answer(reader))[0] == 500
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
            writer.close()

    play(scene())


def test_a_drain_still_takes_connections_and_serves_those_just_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards the 0.4 s in which connections still come; made long, so that a slow machine can't miss them.
    monkeypatch.setattr(shutdown, "_ACCEPT_WHILE_DRAINING_S", 600.0)

    async def scene() -> None:
        async with world(lambda *_: answer(200, b"served")) as w:
            listen = w.sidecar.frontend.address
            rested, rested_writer = await asyncio.open_connection(*listen)
            rested_writer.write(request())
            assert (await read_answer(rested))[0] == 200
            opened, opened_writer = await asyncio.open_connection(*listen)
            await until(lambda: len(w.sidecar.frontend.connections) == 2)
            w.stop.set()
            # What is at rest is closed while a request that crosses it can still come again.
            assert await is_closed(rested)
            assert (await ask(listen, request(path="/health/ready")))[0] == 503
            # What was just opened keeps its request, and so does what is opened now.
            late, late_writer = await asyncio.open_connection(*listen)
            for reader, writer in ((opened, opened_writer), (late, late_writer)):
                writer.write(request())
                status, headers, body = await read_answer(reader)
                assert (status, headers["connection"], body) == (200, "close", b"served")
                assert await is_closed(reader)
                writer.close()
            rested_writer.close()

    play(scene())


async def logged(process: asyncio.subprocess.Process, words: str) -> None:
    """Wait for a line of the program's log."""
    assert process.stderr is not None
    while words.encode() not in (line := await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)):
        assert line, f"it ended without a word of {words!r}"


def test_on_sighup_discovery_is_asked_where_the_file_says_and_a_bad_file_changes_nothing(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        server = FakeServer("s-0", lambda *_: answer(200, b"served"))
        moved = FakeDiscovery()
        await moved.start()
        async with program(tmp_path, server) as (process, address):
            path = tmp_path / "config.json"
            good = json.loads(path.read_text(encoding="utf-8"))
            path.write_text("not json", encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            await logged(process, "bad configuration, the old one stays")
            assert (await ask(address, request()))[0] == 200 and not moved.targets
            path.write_text(
                json.dumps(good | {"discovery": "{}:{}".format(*moved.address)}), encoding="utf-8"
            )
            process.send_signal(signal.SIGHUP)
            await until(lambda: moved.targets)
            assert (await ask(address, request()))[0] == 200 and process.returncode is None
        moved.stop()

    play(scene())


READY = b"GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n"


def test_an_upgrade_hands_the_clients_over_and_keeps_bans_and_held_requests(tmp_path: Path) -> None:
    async def scene() -> None:
        server, banned = (
            FakeServer(name, lambda first, *_: None if "held" in first else answer(200, b"served"))
            for name in ("s-0", "s-1")
        )
        discovery = FakeDiscovery()
        for each in (server, banned, discovery):
            await each.start()
        known = {"index": 1, "snapshot": True, "endpoints": [server.entry(), banned.entry()]}
        listening = socket.create_server(("127.0.0.1", 0))
        listen: Address = listening.getsockname()[:2]
        told = config(
            listen="{}:{}".format(*listen), discovery="{}:{}".format(*discovery.address), known=known
        )
        doors = [free_address(), free_address()]
        processes = []

        async def start(door: Address) -> Any:
            discovery.say(2, [])
            fd = listening.fileno()
            variables = {"RELAY_MGMT": "{}:{}".format(*door), "TMPDIR": str(tmp_path)}
            process = await launch(tmp_path / "config.json", told, fd, RELAY_ACCEPT_FD=str(fd), **variables)
            processes.append(process)
            await says_yes(door, READY)
            return process

        try:
            old = await start(doors[0])
            kept, kept_writer = await asyncio.open_connection(*listen)
            kept_writer.write(request())
            assert (await read_answer(kept))[0] == 200
            held, held_writer = await asyncio.open_connection(*listen)
            held_writer.write(request())
            assert (await read_answer(held))[0] == 200
            exclude = b"PUT /api/exclude/s-1 HTTP/1.1\r\nHost: ops\r\n\r\n"
            assert (await ask(doors[0], exclude))[0] == 200

            new = await start(doors[1])
            held_writer.write(request("pay", path="/api/held", body=b"x", budget="3"))
            await until(lambda: any("held" in first for first, *_ in server.requests + banned.requests))
            old.send_signal(signal.SIGTERM)
            assert await is_closed(kept)
            for writer in server.writers + banned.writers:
                if not writer.is_closing():
                    writer.write(answer(200, b"held"))
            status, headers, body = await read_answer(held)
            assert (status, headers["connection"], body) == (200, "close", b"held")
            assert await asyncio.wait_for(old.wait(), PATIENCE_S) == 0

            had = len(banned.requests)
            for _ in range(20):  # the shared socket still listens, and the ban is known to the new process
                assert (await ask(listen, request()))[2] == b"served"
            assert len(banned.requests) == had and new.returncode is None
            kept_writer.close()
            held_writer.close()
        finally:
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.communicate()
            for each in (server, banned, discovery):
                each.stop()
            listening.close()

    play(scene())


@pytest.mark.parametrize("kind", ["missing", "no number", "not listening", "no socket"])
def test_a_descriptor_that_is_no_listening_socket_ends_the_start_with_one_line(
    kind: str, tmp_path: Path
) -> None:
    async def scene() -> None:
        quiet = socket.socket()
        file = os.open(tmp_path, os.O_RDONLY)
        fd = {"not listening": quiet.fileno(), "no socket": file}.get(kind)
        told = "four" if kind == "no number" else str(fd if fd is not None else 1_000)
        process = await launch(tmp_path / "config.json", config(), fd, RELAY_ACCEPT_FD=told)
        _, err = await asyncio.wait_for(process.communicate(), PATIENCE_S)
        assert process.returncode not in (0, None)
        assert len(err.decode().strip().splitlines()) == 1 and (b"descriptor" in err)
        quiet.close()
        os.close(file)

    play(scene())


def test_a_door_that_cannot_be_bound_ends_the_start_with_one_line(tmp_path: Path) -> None:
    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            door = "{}:{}".format(*taken.getsockname())
            given = config(listen="{}:{}".format(*free_address()), mgmt=door)
            process = await launch(tmp_path / "config.json", given)
            _, err = await asyncio.wait_for(process.communicate(), PATIENCE_S)
        assert process.returncode not in (0, None)
        assert len(err.decode().strip().splitlines()) == 1 and err.startswith(b"can't serve: ")

    play(scene())
