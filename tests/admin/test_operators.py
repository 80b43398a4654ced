"""The operators' door, their orders on disk and the drain, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from loopback import World, answer, ask, is_closed, play, read_answer, request, until, world
from sidecar_balancer.admin import server as admin
from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.downstream import frontend
from sidecar_balancer.downstream.client_connection import ClientConnection


def served(*_: object) -> bytes:
    return answer(200, b"served")


async def call(w: World, method: str, path: str, head: str = "") -> int:
    assert w.sidecar.admin_server is not None
    data = f"{method} {path} HTTP/1.1\r\nHost: ops\r\n{head}\r\n".encode()
    return (await ask(w.sidecar.admin_server.address, data))[0]


@pytest.mark.parametrize(
    ("method", "path", "head", "status"),
    [
        ("GET", "/api/ready", "", 200),
        ("PUT", "/api/ready", "", 405),
        ("GET", "/api/evacuate", "", 405),
        ("PUT", "/api/evacuate/s-0", "", 404),
        ("PUT", "/api/nothing", "", 404),
        ("PUT", "/exclude/s-0", "", 404),
        ("PUT", "/api/exclude/", "", 404),
        ("PUT", "/api/exclude/s-9", "", 404),
        ("PUT", "/api/include/s-9", "", 404),
        ("PUT", "/api/exclude/%73-0", "", 200),
        ("PUT", "/api/include/s-0", "Content-Length: 0\r\n", 200),
        ("PUT", "/api/exclude/s-0", "Content-Length: many\r\n", 400),
        ("PUT", "/api/exclude/s-0", "X-Long: " + "a" * 60_000 + "\r\n", 400),
        ("nonsense", "", "", 400),
    ],
)
def test_each_call_has_its_answer(method: str, path: str, head: str, status: int, tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, served, orders=tmp_path) as w:
            assert await call(w, method, path, head) == status
            assert (await w.ask())[0] == 200

    play(scene())


def test_a_call_has_its_connection_to_itself_and_a_large_body_is_refused(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as w:
            assert w.sidecar.admin_server is not None
            reader, writer = await asyncio.open_connection(*w.sidecar.admin_server.address)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n" * 2)
            assert (await read_answer(reader))[0] == 200
            assert await is_closed(reader)
            writer.close()
            data = b"PUT /api/exclude/s-0 HTTP/1.1\r\nHost: ops\r\nContent-Length: 100000\r\n\r\n" + bytes(
                100_000
            )
            assert (await ask(w.sidecar.admin_server.address, data))[0] == 413
            assert OperatorOverrides(tmp_path).load() == (frozenset(), False)

    play(scene())


def test_callers_that_hold_the_door_keep_no_good_call_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as w:
            assert w.sidecar.admin_server is not None
            held = [
                await asyncio.open_connection(*w.sidecar.admin_server.address)
                for _ in range(3 * admin.CONNECTIONS_MOST)
            ]
            for _, writer in held:
                with contextlib.suppress(ConnectionError):
                    writer.write(b"PUT /api/evac")
            assert await call(w, "GET", "/api/ready") == 200
            assert len(w.sidecar.admin_server._callers) <= admin.CONNECTIONS_MOST
            for _, writer in held:
                writer.close()

    play(scene())


def test_a_call_that_does_not_come_in_time_is_ended(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin, "_WHOLE_S", 0.05)
    monkeypatch.setattr(admin, "_LINGER_S", 0.05)

    async def scene() -> None:
        async with world(served, orders=tmp_path) as w:
            door = w.sidecar.admin_server
            assert door is not None
            reader, writer = await asyncio.open_connection(*door.address)
            writer.write(b"PUT /api/evac")
            assert (await read_answer(reader))[0] == 408
            await until(lambda: not door._callers)
            writer.close()

    play(scene())


def test_without_an_address_there_is_no_door() -> None:
    async def scene() -> None:
        async with world(served) as w:
            assert w.sidecar.admin_server is None

    play(scene())


# Maintenance of servers


def test_an_excluded_server_gets_nothing_and_its_idle_connections_are_closed(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, served, orders=tmp_path) as w:
            out, other = w.servers
            await until_used(w, 0)
            idle = len(out.writers) - out.closed
            assert idle >= 1 and await call(w, "PUT", "/api/exclude/s-0") == 200
            await until(lambda: out.closed == len(out.writers))
            had, others = len(out.requests), len(other.requests)
            for _ in range(20):
                assert (await w.ask())[0] == 200
            assert len(out.requests) == had and len(other.requests) == others + 20

    play(scene())


async def until_used(w: World, number: int) -> None:
    while not w.servers[number].requests:
        assert (await w.ask())[0] == 200


def test_bans_are_read_back_by_the_next_process_before_it_serves(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, served, orders=tmp_path) as w:
            assert await call(w, "PUT", "/api/exclude/s-0") == 200
        async with world(served, served, orders=tmp_path) as w:  # the first ended without a word
            for _ in range(20):
                assert (await w.ask())[0] == 200
            assert not w.servers[0].requests
            assert await call(w, "PUT", "/api/include/s-0") == 200
            assert OperatorOverrides(tmp_path).load()[0] == frozenset()

    play(scene())


def test_of_two_processes_each_follows_what_the_other_was_told(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as one, world(served, orders=tmp_path) as two:
            assert await call(one, "PUT", "/api/exclude/s-0") == 200
            await until(lambda: two.sidecar._engine.balancer.disabled_servers == {"s-0"})
            assert await call(two, "PUT", "/api/evacuate") == 200
            await until(lambda: one.sidecar.frontend.draining)
            assert await call(two, "PUT", "/api/include/s-0") == 200
            await until(lambda: not one.sidecar._engine.balancer.disabled_servers)

    play(scene())


def test_a_ban_that_cannot_be_stored_is_a_no_and_not_in_force(tmp_path: Path) -> None:
    async def scene() -> None:
        (tmp_path / "excluded").write_text("junk")
        async with world(served, orders=tmp_path) as w:
            assert await call(w, "PUT", "/api/exclude/s-0") == 500
            assert not w.sidecar._engine.balancer.disabled_servers
            assert (await w.ask())[0] == 200

    play(scene())


@pytest.mark.parametrize("server", ["s-0", "../../up", "10.1.0.18:8443", "ñandú %2F", "."])
def test_orders_name_any_server(server: str, tmp_path: Path) -> None:
    orders = OperatorOverrides(tmp_path)
    for _ in range(2):
        orders.disable_server(server)
    assert orders.load() == (frozenset([server]), False)
    assert [each.parent for each in (tmp_path / "excluded").iterdir()] == [tmp_path / "excluded"]
    for _ in range(2):
        orders.enable_server(server)
    assert orders.load() == (frozenset(), False)


# Drain


async def health(w: World) -> int:
    return (await ask(w.sidecar.frontend.address, request(path="/health/ready")))[0]


def test_evacuate_says_no_at_once_and_lets_clients_go_and_rejoin_says_yes(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as w:
            resting, resting_writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            using, using_writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            for reader, writer in ((resting, resting_writer), (using, using_writer)):
                writer.write(request())
                assert "connection" not in (await read_answer(reader))[1]
            for _ in range(2):
                assert await call(w, "PUT", "/api/evacuate") == 200
            assert await health(w) == 503
            using_writer.write(request())  # what still comes is served, and its connection ended
            status, headers, _ = await read_answer(using)
            assert (status, headers["connection"]) == (200, "close")
            assert await is_closed(using) and await is_closed(resting)
            assert await call(w, "GET", "/api/ready") == 200
            for _ in range(2):
                assert await call(w, "PUT", "/api/rejoin") == 200
            assert await health(w) == 200
            status, headers, _ = await w.ask()
            assert status == 200 and "connection" not in headers
            for writer in (resting_writer, using_writer):
                writer.close()

    play(scene())


@pytest.mark.parametrize("data", [request(), request(Connection="close")], ids=["drain", "client"])
def test_an_answer_that_ends_its_connection_ends_it_at_once(
    data: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards descriptors and drains: only what was not read to its end is lingered for.
    lingered: list[object] = []

    def linger(connection: ClientConnection) -> None:
        lingered.append(connection)
        connection.close()

    monkeypatch.setattr(ClientConnection, "_linger", linger)

    async def scene() -> None:
        async with world(served, orders=tmp_path) as w:
            if data == request():
                assert await call(w, "PUT", "/api/evacuate") == 200
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(data)
            assert (await read_answer(reader))[1]["connection"] == "close"
            await until(lambda: not w.sidecar.frontend.connections)
            assert not lingered
            writer.close()

    play(scene())


def test_a_connection_that_comes_to_rest_during_a_drain_is_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "_IDLE_CLOSE_INTERVAL_S", 0.001)

    async def scene() -> None:
        async with world(served, orders=tmp_path) as w:
            assert await call(w, "PUT", "/api/evacuate") == 200
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request(path="/nowhere"))
            assert (await read_answer(reader))[0] == 404
            assert await is_closed(reader)
            writer.close()

    play(scene())


def test_a_drain_outlasts_the_process_and_sigterm_during_it_ends_the_program(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as w:
            assert await call(w, "PUT", "/api/evacuate") == 200
        async with world(served, orders=tmp_path) as w:
            assert await health(w) == 503
            assert await call(w, "PUT", "/api/exclude/s-0") == 200  # bans go on during a drain
            w.stop.set()
            await until(lambda: w.sidecar.admin_handlers.is_shutting_down)
            OperatorOverrides(tmp_path).end_drain()
            w.sidecar.admin_handlers.apply_stored_overrides()
            assert w.sidecar.frontend.draining

    play(scene())
