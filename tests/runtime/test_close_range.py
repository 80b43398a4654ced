"""Close range: what is owed at the instant something ends, on a clock that the tests move.

Each scene ends with nothing owed: no request, attempt, connection, task, timer or descriptor is left.
The paths are in docs/incidents/close-range.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import Any

import h11
import pytest

from helpers import IDEMPOTENT, NON_IDEMPOTENT, S
from loopback import (
    FakeDiscovery,
    FakeServer,
    World,
    answer,
    assert_nothing_owed,
    deaf,
    read_answer,
    request,
    reset,
    until,
    world,
)
from sidecar_balancer.admin.overrides import OperatorOverrides
from sidecar_balancer.discovery import source_connection
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.policy.actions import HealthCheck
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    HealthCheckEnded,
    ServerOverrideRequested,
    TimerFired,
)
from sidecar_balancer.policy.types import Outcome, ServerState
from sidecar_balancer.runtime.streams import STALL_TIMEOUT_S
from sidecar_balancer.upstream import dialing, endpoint_pool
from sidecar_balancer.upstream.endpoint_pool import EndpointPool
from sidecar_balancer.upstream.exchange import Exchange, UpstreamRequest
from sidecar_balancer.upstream.server_connection import ServerConnection
from virtual import run_on_virtual_clock, stall

GRACE_S = 0.55  # of a drain, with the slack of the rules
SILENT_S = 6.0  # what a watch that fell silent misses counts as told so long after
MOVED_S = 4.0  # and after SIGHUP what there is to tell

Play = Callable[[Any], None]


@pytest.fixture
def on_clock(monkeypatch: pytest.MonkeyPatch) -> Play:
    return lambda scene: run_on_virtual_clock(scene, monkeypatch)


@contextlib.contextmanager
def told_to_the_loop() -> Iterator[list[BaseException | None]]:
    """What callbacks of the event loop raise meanwhile, which would else count as a fault of the scene."""
    loop, faults = asyncio.get_running_loop(), list[BaseException | None]()
    before = loop.get_exception_handler()
    loop.set_exception_handler(lambda _, context: faults.append(context.get("exception")))
    try:
        yield faults
    finally:
        loop.set_exception_handler(before)


def served(*_: object) -> bytes:
    return answer(200, b"served")


def hung(*_: object) -> None:
    return None


# -- Silence ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("chance", [0.0, 0.999])
@pytest.mark.parametrize("first", [True, False])
def test_a_silent_watch_is_asked_anew_long_before_its_news_counts_as_told(
    on_clock: Play, mode: str, chance: float, first: bool
) -> None:
    async def scene() -> None:
        async with world(served, drained=True, discovery=mode) as w:
            w.sidecar._discovery._state.random_fraction = lambda: chance
            if not first:  # else the first call after the start falls silent
                w.discovery.say(42, [])
            await until(lambda: len(w.discovery.targets) == 4 - first)
            fell_silent, again, third = w.discovery.called_at[-3:]
            assert again - fell_silent <= SILENT_S - 2.0  # time for the service's queue
            assert third - fell_silent <= SILENT_S  # and the grace is left where that is silent too
            w.discovery.say(43, [w.servers[0].entry(status="leaving")])
            await until(lambda: not w.sidecar._engine.balancer.ready_servers)

    on_clock(scene())


async def fail(w: World, calls: int) -> None:
    """Let so many calls in a row fail."""
    await until(lambda: w.discovery.targets)
    for _ in range(calls):
        seen = len(w.discovery.targets)
        w.discovery.answers.put_nowait(answer(503, b""))
        await until(lambda seen=seen: len(w.discovery.targets) > seen)  # type: ignore[misc]


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("failures", [1, 4])
def test_a_watch_that_falls_silent_after_failures_is_asked_anew_as_early(
    on_clock: Play, mode: str, failures: int
) -> None:
    async def scene() -> None:
        async with world(served, drained=True, discovery=mode) as w:
            w.sidecar._discovery._state.random_fraction = lambda: 0.999
            await fail(w, failures)
            fell_silent = w.discovery.called_at[-1]
            await until(lambda: len(w.discovery.targets) == failures + 3)
            again, third = w.discovery.called_at[-2:]
            assert again - fell_silent <= SILENT_S - 2.0 and third - fell_silent <= SILENT_S
            w.discovery.say(43, [w.servers[0].entry(status="leaving")])
            await until(lambda: not w.sidecar._engine.balancer.ready_servers)

    on_clock(scene())


@pytest.mark.parametrize("silent_calls", [1, 2])
@pytest.mark.parametrize("failures", [0, 4])
def test_after_a_reload_silence_leaves_time_to_hear_the_list(
    on_clock: Play, silent_calls: int, failures: int
) -> None:
    async def scene() -> None:
        async with world(served, served, drained=True) as w:
            await fail(w, failures)  # at the old place: they say nothing of the new one
            moved = FakeDiscovery()
            await moved.start()
            began = asyncio.get_running_loop().time()
            w.move_discovery(moved.address)
            await until(lambda: len(moved.targets) == silent_calls + 1)
            assert set(moved.targets) == {"/registry/instances"}  # nothing is known there yet
            assert moved.called_at[-1] - began <= MOVED_S + GRACE_S - 0.3
            moved.say(7, [w.servers[1].entry()], snapshot=True)
            await until(lambda: "s-0" not in w.sidecar._engine.balancer.servers)
            await moved.end()

    on_clock(scene())


# -- A client that leaves ---------------------------------------------------------------------------------

LEAVES_S = 0.1  # no attempt begins later than that after its client left
LEAVE = ["close", "half-close", "reset"]
AHEAD = bytes(300_000)  # sent behind a request: more than is read before that is answered


class Unread(FakeServer):
    """A server that reads nothing until it is told to, and keeps what comes."""

    def __init__(self) -> None:
        super().__init__("s-9", hung)
        self.go_on = asyncio.Event()
        self.came: list[bytes] = []
        self.ended = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await self.go_on.wait()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100_000):
                self.came.append(data)
        self.ended = True


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    return body


class Client:
    """A client whose every system call happens at once, between two turns of the event loop."""

    def __init__(self, w: World) -> None:
        self.sock = socket.create_connection(w.sidecar.frontend.address)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def send_some(self, data: bytes) -> None:
        """As much as the kernel takes."""
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while data:
                data = data[self.sock.send(data) :]

    def leave(self, how: str) -> None:
        if how == "half-close":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def is_over(w: World) -> Callable[[], bool]:
    return lambda: not w.sidecar.proxy.in_flight and not w.sidecar._engine.balancer.open_requests


async def over_soon(w: World) -> None:
    """What its client left behind is over well before the rule bites."""
    began = asyncio.get_running_loop().time()
    await until(is_over(w))
    assert asyncio.get_running_loop().time() - began < LEAVES_S


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("kind", ["look", "pay"])
def test_a_request_read_together_with_its_clients_leaving_is_not_sent(
    on_clock: Play, how: str, kind: str
) -> None:
    async def scene() -> None:
        async with world(served, served, drained=True) as w:
            assert (await w.ask())[0] == 200  # a connection to a server is there
            client = Client(w)
            client.send(request(kind, body=b"" if kind == "look" else b"x"))
            client.leave(how)
            stall(1.0)  # the sidecar stands still, or leaves it in the queue of connections
            await until(lambda: len(w.sidecar.frontend.connections) == 1)
            await until(lambda: not w.sidecar.frontend.connections)
            assert len(w.sent()) == 1 and is_over(w)()
            client.sock.close()

    on_clock(scene())


@pytest.mark.parametrize("how", LEAVE)
def test_a_dial_for_a_client_that_left_ends_at_once(on_clock: Play, how: str) -> None:
    async def scene() -> None:
        limits = {"max_attempts": 3, "may_cancel": False, "dial_timeout_us": 600_000_000}
        with deaf() as address:
            async with world(served, drained=True, limits=limits) as w:
                w.sidecar._endpoint_pool.update("s-0", address, None, ServerState.READY)
                client = Client(w)
                client.send(request("pay", body=b"x", budget="1.9"))
                await until(lambda: w.sidecar._endpoint_pool.open_count == 1)
                client.leave(how)
                await over_soon(w)
                assert w.sidecar._endpoint_pool.open_count == 0
                client.sock.close()

    on_clock(scene())


@pytest.mark.parametrize("how", LEAVE)
def test_a_dial_that_comes_up_for_an_unread_client_that_left_writes_nothing(
    on_clock: Play, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        up, real = asyncio.Event(), dialing.connect

        async def late(*given: Any) -> Any:
            connection = await real(*given)
            await up.wait()
            return connection

        async with world(served, served, drained=True) as w:
            monkeypatch.setattr(endpoint_pool, "connect", late)
            client = Client(w)
            client.send(request())
            await until(lambda: w.sidecar._endpoint_pool.open_count == 1)
            (connection,) = w.sidecar.frontend.connections
            assert connection._transport is not None
            connection._transport.pause_reading()  # nothing but the dial's end can see it leave
            client.leave(how)
            up.set()
            await over_soon(w)
            assert not w.sent()
            client.sock.close()

    on_clock(scene())


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("ahead", [b"", AHEAD])
@pytest.mark.parametrize("end", [answer(503, b"", X_Rejected="1"), answer(500, b"")])
def test_what_ends_together_with_its_clients_leaving_is_not_sent_elsewhere(
    on_clock: Play, how: str, ahead: bytes, end: bytes
) -> None:
    async def scene() -> None:
        async with world(hung, hung, drained=True) as w:
            client = Client(w)
            client.send(request())
            await until(w.sent)
            client.send(ahead)
            await asyncio.sleep(0.05)
            (there,) = [each for each in w.servers if each.requests]
            there.writers[-1].write(end)  # it comes first, and its client's leaving right behind
            client.leave(how)
            await over_soon(w)
            assert len(w.sent()) == 1
            client.sock.close()

    on_clock(scene())


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_leaves_while_it_is_not_read_is_noticed_in_time(
    on_clock: Play, how: str, may_cancel: bool
) -> None:
    async def scene() -> None:
        limits = {"max_attempts": 3, "may_cancel": may_cancel}
        async with world(hung, hung, drained=True, limits=limits) as w:
            client = Client(w)
            client.send(request("pay", body=b"x") + AHEAD)
            await until(w.sent)
            await asyncio.sleep(0.25)
            client.leave(how)
            began = asyncio.get_running_loop().time()
            await until(lambda: not w.sidecar.proxy.by_client_request)
            assert asyncio.get_running_loop().time() - began < LEAVES_S
            (there,) = [each for each in w.servers if each.requests]
            if may_cancel:
                await until(lambda: there.closed == 1)
            else:  # what is whole at a server stays there, and is not repeated
                there.writers[-1].write(answer(503, b"", X_Rejected="1"))
            await until(is_over(w))
            assert len(w.sent()) == 1
            client.sock.close()

    on_clock(scene())


@contextlib.asynccontextmanager
async def unread_world(**changes: Any) -> AsyncIterator[tuple[World, Unread]]:
    """A world with one server, which reads nothing until it is told to."""
    server = Unread()
    await server.start()
    async with world(drained=True, **changes) as w:
        w.discovery.say(42, [server.entry()])
        await until(lambda: w.sidecar._engine.balancer.ready_servers)
        yield w, server
    await server.end()


@pytest.mark.parametrize(
    ("how", "behind"), [("close", 0), ("half-close", 0), ("reset", 0), ("reset", 9_000_000)]
)
def test_a_full_upload_whose_client_left_is_given_up(on_clock: Play, how: str, behind: int) -> None:
    async def scene() -> None:
        async with unread_world() as (w, server):
            client = Client(w)
            client.send(request("pay", Content_Length="30000000"))
            await until(lambda: w.sidecar.frontend.connections)
            connection = next(iter(w.sidecar.frontend.connections))
            while not connection._reading_paused:
                client.send_some(bytes(65_536))
                await asyncio.sleep(0)
            client.send_some(bytes(behind))
            client.leave(how)
            await over_soon(w)
            server.go_on.set()
            await until(lambda: server.ended)
            client.sock.close()

    on_clock(scene())


def test_an_upload_whose_end_stands_behind_what_cannot_be_read_is_never_whole(on_clock: Play) -> None:
    size = 8_000_000  # more than the kernel holds on the way: nobody can see yet that the client has left

    async def scene() -> None:
        async with unread_world() as (w, server):
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request("pay", Content_Length=str(size)) + bytes(size))
            await until(lambda: any(each._reading_paused for each in w.sidecar.frontend.connections))
            writer.close()  # once all is with the kernel
            server.go_on.set()
            await until(lambda: server.ended)
            assert not b"".join(server.came).endswith(bytes(size))
            await until(is_over(w))
            assert await reader.read() == b""

    on_clock(scene())


@pytest.mark.parametrize("how", LEAVE)
def test_an_upload_that_came_together_with_its_clients_leaving_is_never_whole(
    on_clock: Play, how: str
) -> None:
    async def scene() -> None:
        async with unread_world() as (w, server):
            server.go_on.set()
            client = Client(w)
            data = request("pay", body=bytes(100_000))
            client.send(data[:-1])
            await until(lambda: server.came)
            client.send(data[-1:])
            client.leave(how)
            await over_soon(w)
            await until(lambda: server.ended)
            assert not b"".join(server.came).endswith(bytes(100_000))
            client.sock.close()

    on_clock(scene())


def test_a_client_that_sends_too_far_ahead_is_answered_once_and_then_sent_away(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:
            client = Client(w)
            client.send(request() + AHEAD)
            await until(w.sent)
            await until(lambda: any(each._discarded_bytes for each in w.sidecar.frontend.connections))
            w.servers[0].writers[-1].write(answer(200, b"served"))
            await until(is_over(w))
            client.sock.shutdown(socket.SHUT_WR)
            await until(lambda: not w.sidecar.frontend.connections)
            got = client.sock.recv(10_000)
            assert got.startswith(b"HTTP/1.1 200") and b"Connection: close" in got and got.endswith(b"served")
            client.sock.close()

    on_clock(scene())


def test_a_request_sent_ahead_is_not_sent_on_once_its_client_left(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(hung, hung, drained=True) as w:
            client = Client(w)
            client.send(request() + request())
            await until(w.sent)
            (there,) = [each for each in w.servers if each.requests]
            there.writers[-1].write(answer(200, b"served"))
            client.leave("close")
            await over_soon(w)
            assert len(w.sent()) == 1

    on_clock(scene())


# -- Dials and the list -----------------------------------------------------------------------------------


@pytest.mark.parametrize("change", ["moves", "restarts"])
def test_a_dial_to_where_a_server_was_is_ended_and_goes_elsewhere(on_clock: Play, change: str) -> None:
    async def scene() -> None:
        async with world(hung, served, drained=True) as w:
            with deaf() as address:
                places = [w.servers[0].entry(address=f"127.0.0.1:{address[1]}"), w.servers[1].entry()]
                w.discovery.say(42, places, snapshot=True)
                await until(lambda: w.sidecar._endpoint_pool._endpoints["s-0"].address == address)
                w.discovery.say(43, [w.servers[1].entry(status="leaving")])
                await until(lambda: len(w.sidecar._engine.balancer.ready_servers) == 1)
                asking = asyncio.create_task(w.ask(kind="pay", body=b"x"))
                await until(lambda: w.sidecar._endpoint_pool._dial_tasks)
                heard = w.hear()
                where = {"since_ms": 7} if change == "restarts" else {}
                place = f"127.0.0.1:{address[1]}" if change == "restarts" else None
                moved = w.servers[0].entry(**({"address": place} if place else {}), **where)
                w.discovery.say(44, [moved, w.servers[1].entry()])
                assert (await asking)[0] == 200 and not w.servers[0].requests
                ended = [each for each in heard if isinstance(each, AttemptEnded)]
                assert [each.outcome for each in ended] == [Outcome.UNSENT, Outcome.DELIVERED]
                assert (
                    w.sidecar._engine.balancer.servers["s-0"].consecutive_failures == 0
                )  # it did nothing wrong

    on_clock(scene())


def test_what_a_list_ends_is_not_sent_again_to_a_server_that_the_same_list_ends(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(served, served, served, drained=True) as w:
            with deaf() as address:
                for _ in range(20):
                    assert (await w.ask())[0] == 200  # connections to all of them are open
                before = len(w.sent())
                for server in w.servers:
                    w.sidecar._endpoint_pool.close_idle(server.name)
                    w.sidecar._endpoint_pool._endpoints[server.name].address = address
                asking = asyncio.create_task(w.ask())
                await until(lambda: w.sidecar._endpoint_pool._dial_tasks)
                for endpoint, server in zip(
                    w.sidecar._endpoint_pool._endpoints.values(), w.servers, strict=True
                ):
                    endpoint.address = server.address
                w.discovery.say(42, [each.entry(status="leaving") for each in w.servers])
                assert (await asking)[0] == 503
                assert len(w.sent()) == before
                assert w.sidecar.proxy.in_flight == {}

    on_clock(scene())


def test_a_send_to_a_server_that_is_not_known_any_more_proves_that_nothing_ran(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(served, served, drained=True) as w:
            heard = w.hear()
            real = w.sidecar._endpoint_pool.send

            def late(name: str, *given: Any) -> Exchange:
                w.sidecar._endpoint_pool._endpoints.pop(
                    "s-0", None
                )  # it went between the decision and its send
                return real(name, *given)

            monkeypatch.setattr(w.sidecar._endpoint_pool, "send", late)
            for _ in range(8):
                assert (await w.ask(kind="pay", body=b"x"))[0] == 200
            ended = [each.outcome for each in heard if isinstance(each, AttemptEnded)]
            assert set(ended) == {Outcome.UNSENT, Outcome.DELIVERED}
            w.sidecar.proxy.check_health(HealthCheck("s-0"))
            assert isinstance(heard[-1], HealthCheckEnded) and heard[-1].outcome is Outcome.UNSENT

    on_clock(scene())


@pytest.mark.parametrize("outcome", ["answer", "break", "nothing"])
def test_a_name_that_goes_and_comes_back_while_an_attempt_is_out(on_clock: Play, outcome: str) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:
            (server,) = w.servers
            asking = asyncio.create_task(w.ask(kind="pay", body=b"x", budget="1.5"))
            await until(w.sent)
            w.discovery.say(42, [server.entry(status="left")])
            await until(lambda: not w.sidecar._engine.balancer.ready_servers)
            w.discovery.say(43, [server.entry()])
            await until(lambda: w.sidecar._engine.balancer.ready_servers)
            if outcome == "answer":
                server.writers[0].write(answer(200, b"served"))
            elif outcome == "break":
                reset(server.writers[0])
            assert (await asking)[0] == (200 if outcome == "answer" else 500)
            assert len(w.sent()) == 1  # it may have run: it is not sent again
            server.script = served
            assert (await w.ask())[0] == 200
            assert len(server.writers) == 2  # what was open to the one that went is not used again

    on_clock(scene())


@pytest.mark.parametrize("change", ["leaving", "left", "missing", "excluded"])
def test_an_attempt_at_a_server_that_is_withdrawn_comes_to_its_own_end(on_clock: Play, change: str) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:
            (server,) = w.servers
            asking = asyncio.create_task(w.ask(kind="pay", body=b"x"))
            await until(w.sent)
            if change == "excluded":
                w.sidecar._engine.handle(ServerOverrideRequested("s-0", True))
            elif change == "missing":
                w.discovery.say(42, [], snapshot=True)
            else:
                w.discovery.say(42, [server.entry(status=change)])
            await until(lambda: not w.sidecar._engine.balancer.ready_servers)
            server.writers[0].write(answer(200, b"served"))
            assert (await asking)[2] == b"served"
            await until(lambda: w.sidecar._endpoint_pool.open_count == 0)  # it is not kept for another
            assert (await w.ask())[0] == 503

    on_clock(scene())


@pytest.mark.parametrize("turns", range(8))
def test_a_dial_cancelled_at_any_turn_gives_its_place_back(on_clock: Play, turns: int) -> None:
    async def scene() -> None:
        server = FakeServer("s", hung)
        await server.start()
        pool = EndpointPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        order = UpstreamRequest(lambda _: h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        outcomes: list[Outcome] = []
        until_s = asyncio.get_running_loop().time() + 30
        exchange = pool.send("s", order, until_s, lambda outcome, _: outcomes.append(outcome))
        for _ in range(turns):
            await asyncio.sleep(0)
        assert pool.open_count == 1
        pool.cancel(exchange)
        await until(lambda: pool.open_count == 0)
        assert outcomes == [Outcome.CANCELLED] and not pool._dial_tasks and not pool._open
        await pool.close()
        await server.end()

    on_clock(scene())


def test_a_request_that_cannot_be_written_gives_its_place_back(on_clock: Play) -> None:
    async def scene() -> None:
        server = FakeServer("s", hung)
        await server.start()
        pool = EndpointPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        order = UpstreamRequest(lambda _: h11.Request(method="GET", target="/", headers=[("Host", "x\n")]))
        outcomes: list[Outcome] = []
        until_s = asyncio.get_running_loop().time() + 30
        pool.send("s", order, until_s, lambda outcome, _: outcomes.append(outcome))
        await until(lambda: outcomes and pool.open_count <= 0)
        assert outcomes == [Outcome.CONNECT_FAILED] and pool.open_count == 0
        await pool.close()
        await server.end()

    on_clock(scene())


def test_an_address_that_is_no_name_fails_its_dial_at_once_and_gives_its_place_back(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async def connect(*_: object) -> ServerConnection:
            raise UnicodeError("label too long")  # as looking up a name of 70 letters does, in a thread

        async with world(served, drained=True) as w:
            monkeypatch.setattr(endpoint_pool, "connect", connect)
            began = asyncio.get_running_loop().time()
            assert (await w.ask())[0] == 503
            assert asyncio.get_running_loop().time() - began < 0.1
            assert w.sidecar._endpoint_pool.open_count == 0

    on_clock(scene())


def test_connections_at_rest_that_their_server_closed_give_no_room(on_clock: Play) -> None:
    order = UpstreamRequest(lambda _: h11.Request(method="GET", target="/", headers=[("Host", "x")]))

    async def scene() -> None:
        closing, other = FakeServer("closing", served), FakeServer("other", hung)
        await closing.start()
        await other.start()
        pool = EndpointPool(1.0, 60.0, 2)
        for server in (closing, other):
            pool.update(server.name, server.address, None, ServerState.READY)
        outcomes: list[Outcome] = []
        until_s = asyncio.get_running_loop().time() + 30

        def send(name: str) -> None:
            pool.send(name, order, until_s, lambda outcome, _: outcomes.append(outcome))

        send("closing")
        send("closing")
        await until(lambda: outcomes == [Outcome.DELIVERED] * 2)
        assert pool.open_count == 2
        for writer in closing.writers:
            writer.close()
        await until(lambda: pool.open_count == 0)
        assert not pool._endpoints["closing"].idle  # nor is a timer left for what is over
        for _ in range(3):
            send("other")
        assert pool.open_count == 2 and outcomes[2:] == [Outcome.CONNECT_FAILED]
        await until(lambda: len(other.requests) == 2)
        await pool.close()
        assert pool.open_count == 0 and len(outcomes) == 5
        await closing.end()
        await other.end()

    on_clock(scene())


# -- Answers that come at the wrong time ------------------------------------------------------------------


@pytest.mark.parametrize("late_s", [0.0, 0.001, 0.009])
@pytest.mark.parametrize("kind", ["look", "pay"])
def test_a_second_answer_is_never_given_to_another_request(on_clock: Play, late_s: float, kind: str) -> None:
    body = b"" if kind == "look" else b"x"

    async def scene() -> None:
        async with world(lambda *_: answer(200, b"first"), drained=True) as w:
            server = w.servers[0]
            for _ in range(4):
                assert (await w.ask(kind=kind, body=body))[2] == b"first"
                there, seen = server.writers[-1], len(server.requests)
                server.script = hung
                asking = asyncio.create_task(w.ask(kind=kind, body=body))
                await until(lambda seen=seen: len(server.requests) > seen)  # type: ignore[misc]
                await asyncio.sleep(late_s)
                if not there.is_closing():
                    there.write(answer(200, b"a second answer"))
                await asyncio.sleep(0.05)
                for each in server.writers:
                    if not each.is_closing():
                        each.write(answer(200, b"its own"))
                assert (await asking)[2] == b"its own"
                server.script = lambda *_: answer(200, b"first")
                await asyncio.sleep(0.1)
            assert len(w.sent()) == 8

    on_clock(scene())


@pytest.mark.parametrize("ends", [True, False])
def test_a_long_answer_whose_client_left_ends_by_itself_or_is_given_up_in_bounded_time(
    on_clock: Play, ends: bool
) -> None:
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    piece = b"1000\r\n" + bytes(0x1000) + b"\r\n"

    async def scene() -> None:
        limits = {"max_attempts": 3, "may_cancel": False}
        classes = [IDEMPOTENT | {"deadline_us": 2 * S}, NON_IDEMPOTENT | {"deadline_us": 4 * S}]
        async with world(hung, drained=True, limits=limits, classes=classes) as w:
            client = Client(w)
            client.send(request(budget="1.0"))
            await until(w.sent)
            (there,), (live,) = w.servers[0].writers, w.sidecar.proxy.in_flight.values()
            there.write(head + piece * 20)
            await until(lambda: live.streamed_attempt is not None)
            client.leave("reset")
            await until(lambda: not w.sidecar.frontend.connections)
            began = asyncio.get_running_loop().time()
            for _ in range(15):  # well past the time that its client gave it
                await asyncio.sleep(0.2)
                there.write(piece)
                assert w.servers[0].closed == 0  # nothing may be cancelled
            if ends:
                there.write(b"0\r\n\r\n")
            while not is_over(w)() and asyncio.get_running_loop().time() < began + 10.0:
                await asyncio.sleep(0.2)
                if not (ends or there.is_closing()):
                    there.write(piece)
            assert is_over(w)() and asyncio.get_running_loop().time() - began < (3.5 if ends else 4.5)
            assert w.sidecar._endpoint_pool.open_count == int(ends)  # whole, it is used again
            client.sock.close()

    on_clock(scene())


def test_a_last_answer_arrives_whole_though_more_has_come_by_then(on_clock: Play) -> None:
    body = bytes(range(250)) * 240

    async def scene() -> None:
        async with world(hung, drained=True) as w:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)  # most of it stays with our kernel
            sock.connect(w.sidecar.frontend.address)
            sock.send(request(Connection="close"))
            await until(w.sent)
            (connection,) = w.sidecar.frontend.connections
            assert connection._transport is not None
            connection._transport.pause_reading()  # what it sends now is unread when its answer is written
            sock.send(request())
            w.servers[0].writers[0].write(answer(200, body))
            await until(is_over(w))
            sock.setblocking(False)
            got = b""
            while not got.endswith(body):
                with contextlib.suppress(BlockingIOError):
                    got += (data := sock.recv(4_096))
                    assert data, "cut off"
                await asyncio.sleep(0.01)
            await until(lambda: not w.sidecar.frontend.connections)
            assert len(w.sent()) == 1
            sock.close()

    on_clock(scene())


def test_a_client_that_reads_slowly_is_not_cut_off_for_what_came_after_it_fell_behind(on_clock: Play) -> None:
    body = bytes(range(250)) * 400

    async def scene() -> None:
        async with world(hung, drained=True) as w:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(w.sidecar.frontend.address)
            sock.setblocking(False)
            sock.send(request())
            await until(w.sent)
            (connection,) = w.sidecar.frontend.connections
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            pieces = b"".join(b"2\r\n%b\r\n" % body[at : at + 2] for at in range(0, len(body), 2))
            head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            w.servers[0].writers[0].write(head + pieces + b"0\r\n\r\n")
            await until(lambda: connection._write_blocked)
            got, began = b"", asyncio.get_running_loop().time()
            while not got.endswith(b"\r\n0\r\n\r\n"):
                with contextlib.suppress(BlockingIOError):
                    got += (data := sock.recv(2_500))
                    assert data, "cut off"
                await asyncio.sleep(2.0)
            assert asyncio.get_running_loop().time() - began > 3 * STALL_TIMEOUT_S
            reader = asyncio.StreamReader()
            reader.feed_data(got)
            await reader.readuntil(b"\r\n\r\n")
            assert await read_chunks(reader) == body
            sock.close()

    on_clock(scene())


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("first", ["dialling", "written"])
def test_a_long_answer_is_not_cut_off_by_the_copy_that_its_beginning_ends(
    on_clock: Play, first: str, may_cancel: bool
) -> None:
    body = bytes(range(251)) * 1000  # too long to be held whole

    async def scene() -> None:
        limits: dict[str, Any] = {"max_attempts": 3, "may_hedge": True, "may_cancel": may_cancel}
        limits["dial_timeout_us"] = 600_000_000
        async with world(hung, hung, drained=True, limits=limits) as w:
            with deaf() as address:
                if first == "dialling":  # whichever is drawn first, its connection does not come up
                    places = {
                        name: each.address for name, each in w.sidecar._endpoint_pool._endpoints.items()
                    }
                    for each in w.sidecar._endpoint_pool._endpoints.values():
                        each.address = address
                client = Client(w)
                client.send(request(budget="5.0"))
                await until(lambda: w.sidecar.proxy.in_flight)
                (live,), balancer = w.sidecar.proxy.in_flight.values(), w.sidecar._engine.balancer
                (asked,) = balancer.open_requests.values()
                if first == "dialling":
                    for name, each in w.sidecar._endpoint_pool._endpoints.items():
                        each.address = places[name]
                else:
                    await until(w.sent)
                seen, earlier = len(w.sent()), len(balancer.actions)
                balancer.components.placement.place(w.sidecar._engine.clock.now(), asked)  # a hedged request
                w.sidecar._engine.execute(balancer.actions[earlier:])
                await until(lambda: len(w.sent()) > seen)
                name = asked.attempts[1].server.name
                (there,) = [each for each in w.servers if each.name == name]
                there.writers[-1].write(answer(200, body)[: -len(body) // 2])
                await until(lambda: live.streamed_attempt == 1)
                await asyncio.sleep(0.1)
                assert live.attempts.keys() == ({1} if may_cancel or first == "dialling" else {0, 1})
                assert there.closed == 0
                there.writers[-1].write(body[-len(body) // 2 :])
                reader, writer = await asyncio.open_connection(sock=client.sock)
                assert (await read_answer(reader))[2] == body
                for late in (*w.servers[0].writers, *w.servers[1].writers):
                    if late is not there.writers[-1]:
                        late.write(answer(200, b"too late"))
                await until(is_over(w))
                writer.close()

    on_clock(scene())


@pytest.mark.parametrize("size", [1, 100_000])
def test_an_answer_before_the_request_is_whole_is_nobodys(on_clock: Play, size: int) -> None:
    async def scene() -> None:
        async with unread_world() as (w, server):
            heard = w.hear()
            server.go_on.set()
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request("pay", body=bytes(200_000))[:-1])
            await until(lambda: server.came)
            server.writers[0].write(answer(200, bytes(size)))
            status, _, _ = await read_answer(reader)
            assert status == 503  # it never ran, and its body is gone
            ended = [each.outcome for each in heard if isinstance(each, AttemptEnded)]
            assert ended == [Outcome.CONNECT_FAILED]
            writer.close()

    on_clock(scene())


def test_a_connection_closed_as_it_is_put_back_is_not_used_and_nothing_runs_twice(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(served, drained=True) as w:
            for _ in range(3):
                assert (await w.ask(kind="pay", body=b"x"))[0] == 200
                w.servers[0].writers[-1].close()
                stall(0.05)  # the end waits unread, and the connection has rested
                assert (await w.ask(kind="pay", body=b"x"))[0] == 200
            assert len(w.sent()) == 6

    on_clock(scene())


# -- Defects ----------------------------------------------------------------------------------------------


def test_a_timer_that_fails_half_way_loses_nothing_that_was_decided_or_due(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(hung, hung, drained=True) as w:
            requests, failed = w.sidecar._engine.balancer.components.requests, list[int]()
            real = requests.finish

            def finish(given: Any) -> None:
                if len(failed) == 1:
                    failed.append(given.request_id)
                    raise ZeroDivisionError
                failed.append(given.request_id)
                real(given)

            asking = [asyncio.create_task(w.ask(kind="pay", body=b"x", budget="1.0")) for _ in range(4)]
            await until(lambda: len(w.sent()) == 4)
            monkeypatch.setattr(requests, "finish", finish)
            began = asyncio.get_running_loop().time()
            stall(2.0)  # all fall due in one event
            assert [(await each)[0] for each in asking] == [500] * 4
            assert asyncio.get_running_loop().time() - began < 2.2 and len(failed) >= 3
            assert is_over(w)()
            monkeypatch.setattr(requests, "finish", real)

    on_clock(scene())


def test_after_a_defect_the_module_is_woken_for_what_else_was_due(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:
            timers = w.sidecar._engine.balancer.components.timers
            real = timers.pop_due

            def fails(_: int) -> None:
                monkeypatch.setattr(timers, "pop_due", real)
                raise ZeroDivisionError

            await until(lambda: w.discovery.targets)
            heard = w.hear()
            monkeypatch.setattr(timers, "pop_due", fails)
            w.sidecar._engine.handle(TimerFired("agenda"))
            await asyncio.sleep(0.1)
            assert [type(each) for each in heard] == [TimerFired, TimerFired]

    on_clock(scene())


def test_a_request_that_the_module_failed_to_place_is_not_kept_by_it(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:

            def fails(_now: int, _request: object) -> None:
                raise ZeroDivisionError

            placement = w.sidecar._engine.balancer.components.placement
            real = placement.place
            monkeypatch.setattr(placement, "place", fails)
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request("pay", body=bytes(100_000))[:-1])  # its body is still coming: it has no time
            assert (await read_answer(reader))[0] == 500
            assert is_over(w)()
            monkeypatch.setattr(placement, "place", real)
            writer.close()

    on_clock(scene())


def test_what_an_event_decided_before_it_failed_is_carried_out(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:
            timers = w.sidecar._engine.balancer.components.timers
            real = timers.arm

            def fails(*_: object) -> None:
                monkeypatch.setattr(timers, "arm", real)
                raise ZeroDivisionError

            monkeypatch.setattr(timers, "arm", fails)
            assert (await w.ask())[0] == 500  # it was sent by then, and then given up
            await until(is_over(w))
            assert sum(each.in_flight for each in w.sidecar._engine.balancer.servers.values()) == 0

    on_clock(scene())


def test_what_is_done_again_and_again_outlives_a_defect_in_one_turn(
    on_clock: Play, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def scene() -> None:
        async with world(served, drained=True, orders=tmp_path) as w:
            real, failed = w.sidecar.admin_handlers._overrides.load, list[bool]()

            def fails() -> Any:
                monkeypatch.setattr(w.sidecar.admin_handlers._overrides, "load", real)
                failed.append(True)
                raise ZeroDivisionError

            monkeypatch.setattr(w.sidecar.admin_handlers._overrides, "load", fails)
            with told_to_the_loop() as faults:
                await until(lambda: failed)
                await asyncio.sleep(0)
            assert [type(each) for each in faults] == [ZeroDivisionError]
            OperatorOverrides(tmp_path).disable_server("s-0")  # as the other process of an upgrade may
            await until(lambda: not w.sidecar._engine.balancer.ready_servers)

    on_clock(scene())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_request_given_up_leaves_module_and_sockets_agreeing(on_clock: Play, may_cancel: bool) -> None:
    async def scene() -> None:
        limits = {"max_attempts": 3, "may_cancel": may_cancel}
        async with world(hung, drained=True, limits=limits) as w:
            asking = asyncio.create_task(w.ask(kind="pay", body=b"x", budget="1.5"))
            await until(w.sent)
            w.sidecar.proxy.abandon(next(iter(w.sidecar.proxy.in_flight)))
            assert (await asking)[0] == 500
            if not may_cancel:  # what is whole at a server is not called off there: it ends at its time
                await asyncio.sleep(1.0)
                assert w.servers[0].closed == 0 and w.sidecar.proxy.in_flight
            await until(is_over(w))
            await until(lambda: w.servers[0].closed == 1)

    on_clock(scene())


def test_an_answer_that_cannot_be_written_ends_its_connection(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request())
            await until(w.sent)
            (call,) = w.sidecar.proxy.by_client_request
            call.response_writer.respond(200, [(b"X-Bad", b"\n")], b"")
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            await until(lambda: not w.sidecar.frontend.connections)
            w.sidecar.proxy.abandon(next(iter(w.sidecar.proxy.in_flight)))
            writer.close()

    on_clock(scene())


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("where", ["reading", "hearing"])
def test_a_watch_that_dies_of_a_defect_is_begun_anew(
    on_clock: Play, mode: str, where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        failed: list[bool] = []

        def fails(*_: object) -> None:
            failed.append(True)
            raise ZeroDivisionError

        async with world(served, drained=True, discovery=mode) as w:
            await until(lambda: w.discovery.targets)
            whose: object = source_connection if where == "reading" else w.sidecar._endpoint_updates
            what = "parse_response" if where == "reading" else "apply"
            real = getattr(whose, what)
            monkeypatch.setattr(whose, what, fails)
            for _ in range(1 + (where == "reading")):  # the call under way reads as it was begun
                w.discovery.say(42, [])
            await until(lambda: failed)
            monkeypatch.setattr(whose, what, real)
            seen = len(w.discovery.targets)
            w.discovery.say(43, [w.servers[0].entry(status="leaving")], snapshot=True)
            await until(lambda: not w.sidecar._engine.balancer.ready_servers)
            if where == "hearing":  # half of it may have been taken
                assert w.discovery.targets[seen] == "/registry/instances"

    on_clock(scene())


def test_a_watch_whose_end_nobody_heard_is_begun_anew(on_clock: Play) -> None:
    async def scene() -> None:
        service = FakeDiscovery()
        await service.start()
        watching = DiscoveryClient([service.address], 1, lambda _: None, restart_after_s=7.0)
        watching.set_watching(True)
        service.answers.put_nowait(answer(503, b""))
        await until(lambda: len(service.targets) == 2)
        assert service.called_at[1] - service.called_at[0] == pytest.approx(7.0, abs=0.1)
        await watching.close()
        watching.set_watching(True)  # after the end nothing is begun
        assert not watching.is_watching
        await service.end()

    on_clock(scene())


# -- Reloads ----------------------------------------------------------------------------------------------


def test_what_was_asked_before_a_move_there_and_back_counts_no_more(on_clock: Play) -> None:
    async def scene() -> None:
        old, other = FakeDiscovery(), FakeDiscovery()
        await old.start()
        await other.start()
        heard: list[WatchEvent] = []
        asked = DiscoveryClient([old.address], 1, heard.append)
        asked.fetch()
        asked.fetch()
        await until(lambda: len(old.targets) == 2)
        asked.replace_sources([other.address])
        asked.replace_sources([old.address])
        await until(lambda: len(old.targets) == 3)
        old.answers.put_nowait(answer(503, b""))
        old.say(7, [], snapshot=True)
        await until(lambda: not asked.is_fetching)
        assert heard == [] and asked.status().index is None
        old.say(8, [], snapshot=True)
        await until(lambda: [each.version for each in heard if isinstance(each, ListUpdate)] == [8])
        await asked.close()
        await old.end()
        await other.end()

    on_clock(scene())


def test_calls_that_fail_after_a_move_wait_no_longer_for_failures_at_the_old_place(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(served, served, drained=True) as w:
            await fail(w, 6)
            moved = FakeDiscovery()
            await moved.start()
            began = asyncio.get_running_loop().time()
            w.move_discovery(moved.address)
            for _ in range(2):
                moved.answers.put_nowait(answer(503, b""))
            await until(lambda: len(moved.targets) == 3)
            assert moved.called_at[-1] - began <= 1.5  # 0.5 s and 1 s at most, as at the first failures
            moved.say(7, [w.servers[1].entry()], snapshot=True)
            await until(lambda: "s-0" not in w.sidecar._engine.balancer.servers)
            w.move_discovery(moved.address)  # where it is already: nothing begins anew
            assert w.sidecar._discovery.source_generation == 1
            await moved.end()

    on_clock(scene())


def test_a_failure_told_after_the_move_is_not_held_against_the_new_place(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(served, drained=True) as w:
            await until(lambda: w.discovery.targets)
            moved = FakeDiscovery()
            await moved.start()
            w.sidecar._discovery._notify_failure_soon(timed_out=True)  # it is told in the next turn
            w.move_discovery(moved.address)
            await until(lambda: moved.targets)
            schedule = w.sidecar._engine.balancer.components.discovery
            assert schedule.failed_calls == schedule.unanswered_watches == 0
            await moved.end()

    on_clock(scene())


def test_a_list_from_before_the_one_asked_from_is_not_taken(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(served, served, drained=True) as w:
            gone, stays = w.servers
            w.discovery.say(43, [gone.entry(status="leaving")])
            await until(lambda: len(w.sidecar._engine.balancer.ready_servers) == 1)
            w.discovery.say(42, [gone.entry()])  # an older version of the service's list, late
            await until(lambda: w.discovery.targets[-1] == "/registry/instances")
            assert len(w.sidecar._engine.balancer.ready_servers) == 1
            w.discovery.say(3, [stays.entry()], snapshot=True)  # it counts anew: the whole list is right
            await until(lambda: w.discovery.targets[-1].startswith("/registry/instances?after=3&"))
            assert [each.name for each in w.sidecar._engine.balancer.ready_servers] == [stays.name]

    on_clock(scene())


def test_a_reload_amid_the_drain_or_after_it_keeps_nothing_alive(on_clock: Play) -> None:
    async def scene() -> None:
        moved = FakeDiscovery()
        await moved.start()
        async with world(hung, drained=True) as w:
            asking = asyncio.create_task(w.ask(kind="pay", body=b"x", budget="1.0"))
            await until(w.sent)
            w.stop.set()
            w.move_discovery(moved.address)
            await until(lambda: moved.targets)
            assert (await asking)[0] == 500
        w.move_discovery(("127.0.0.1", 9))
        assert not w.sidecar._discovery.is_watching
        await moved.end()

    on_clock(scene())


# -- The end of the process -------------------------------------------------------------------------------


def test_what_is_held_at_the_last_moment_is_answered_on_the_wire(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(hung, classes=[NON_IDEMPOTENT | {"deadline_us": 60 * S}]) as w:
            client = Client(w)
            client.send(request("pay", body=b"x", budget="50") + b"unread" * 100)
            await until(w.sent)
            began = asyncio.get_running_loop().time()
            w.stop.set()
            await until(lambda: w.sidecar._timers._is_closed)
            assert 3.6 <= asyncio.get_running_loop().time() - began < 3.7  # killed it is after 3.7 s
            got = client.sock.recv(10_000)
            assert got.startswith(b"HTTP/1.1 500") and b"Connection: close" in got
            assert client.sock.recv(1) == b""  # its end, and no reset that would take the answer away
            assert_nothing_owed(w.sidecar)
            client.sock.close()

    on_clock(scene())


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_a_long_answer_that_the_exit_cuts_off_is_visibly_broken(on_clock: Play, version: bytes) -> None:
    async def scene() -> None:
        async with world(hung, classes=[IDEMPOTENT | {"deadline_us": 1 * S}]) as w:
            client = Client(w)
            client.send(request(budget="1.0").replace(b"HTTP/1.1", version))
            await until(w.sent)
            (live,), (there,) = w.sidecar.proxy.in_flight.values(), w.servers[0].writers
            there.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
            await until(lambda: live.streamed_attempt is not None)
            await asyncio.sleep(0.1)
            w.stop.set()
            await until(lambda: w.sidecar._timers._is_closed)
            assert_nothing_owed(w.sidecar)
            got = client.sock.recv(10_000)
            assert b"part" in got and not got.endswith(b"0\r\n\r\n")
            if version == b"HTTP/1.0":  # only the connection's end tells it that an answer is whole
                with pytest.raises(ConnectionResetError):
                    client.sock.recv(1)
            else:
                assert client.sock.recv(1) == b""
            client.sock.close()

    on_clock(scene())


def test_a_client_given_up_amid_an_answer_that_only_an_end_would_finish_sees_a_reset(on_clock: Play) -> None:
    piece = b"10000\r\n" + bytes(0x10000) + b"\r\n"

    async def scene() -> None:
        async with world(hung, drained=True) as w:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(w.sidecar.frontend.address)
            sock.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            await until(w.sent)
            (connection,), (there,) = w.sidecar.frontend.connections, w.servers[0].writers
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            there.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + piece * 20)
            await until(lambda: connection._write_blocked)
            await asyncio.sleep(STALL_TIMEOUT_S)  # it reads nothing
            await until(lambda: not w.sidecar.frontend.connections)
            sock.setblocking(True)
            with pytest.raises(ConnectionResetError):
                while sock.recv(65_536):
                    pass
            sock.close()

    on_clock(scene())


def test_connections_at_rest_do_not_hold_the_exit(on_clock: Play) -> None:
    async def scene() -> None:
        async with world(served) as w:
            used, fresh = Client(w), Client(w)
            used.send(request())
            await until(lambda: len(w.sidecar.frontend.connections) == 2)
            await until(lambda: len(w.sent()) == 1 and not w.sidecar.proxy.in_flight)
            began = asyncio.get_running_loop().time()
            w.stop.set()
            await until(lambda: w.sidecar._timers._is_closed)
            assert asyncio.get_running_loop().time() - began < 0.75
            assert_nothing_owed(w.sidecar)
            for each in (used, fresh):
                each.sock.close()

    on_clock(scene())


@pytest.mark.parametrize("at", ["unaccepted", "unbegun", "dialling", "answering", "crossing"])
def test_a_request_that_meets_the_drain_is_answered(on_clock: Play, at: str) -> None:
    async def scene() -> None:
        async with world(hung if at == "answering" else served, drained=True) as w:
            with deaf() as address:
                if at == "dialling":
                    w.sidecar._endpoint_pool.update("s-0", address, None, ServerState.READY)
                if at == "unaccepted":
                    w.sidecar.frontend._acceptor.pause()
                client = Client(w)
                if at not in ("unaccepted", "unbegun"):
                    await until(lambda: w.sidecar.frontend.connections)
                if at == "crossing":
                    w.stop.set()
                    await asyncio.sleep(0.64)  # one step before those just opened are closed
                client.send(request())
                if at == "dialling":
                    await until(lambda: w.sidecar._endpoint_pool._dial_tasks)
                if at == "answering":
                    await until(w.sent)
                w.stop.set()
                if at == "answering":
                    w.servers[0].writers[-1].write(answer(200, b"served"))
                await until(lambda: w.sidecar._timers._is_closed)
                got = client.sock.recv(10_000)
                status = b"503" if at == "dialling" else b"200"
                assert got.startswith(b"HTTP/1.1 " + status) and client.sock.recv(1) == b""
                client.sock.close()

    on_clock(scene())


# -- One customer's settings beside another's --------------------------------------------------------------


def test_two_sidecars_of_one_process_go_each_by_its_own_settings(on_clock: Play) -> None:
    other = [
        NON_IDEMPOTENT | {"name": "look", "deadline_us": 1 * S},
        IDEMPOTENT | {"name": "pay"},
    ]
    limits = {"max_attempts": 1, "may_hedge": False, "may_cancel": False}

    async def scene() -> None:
        def fails(*_: object) -> bytes:
            return answer(500, b"")

        async with (
            world(fails, served, drained=True) as ours,
            world(fails, served, drained=True, classes=other, limits=limits, tenants=[]) as theirs,
        ):
            for _ in range(6):
                assert (await ours.ask(kind="look"))[0] == 200  # safe: it goes elsewhere
                assert (await theirs.ask(kind="look", method="POST", body=b"x"))[0] in (200, 500)
                assert (await theirs.ask(kind="look"))[0] == 405
                assert (await ours.ask(kind="pay", method="GET"))[0] == 405
            assert any(first.startswith("GET") for first, _, _ in ours.sent())
            assert all(first.startswith("POST") for first, _, _ in theirs.sent())
            assert len(theirs.sent()) == 6  # not one of them ran twice

    on_clock(scene())


# -- Time-outs --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("at", ["dial", "attempt", "request", "backstop"])
def test_each_time_out_ends_what_it_is_for_and_frees_all_of_it(
    on_clock: Play, at: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        limits = {"max_attempts": 3, "may_cancel": at != "attempt", "dial_timeout_us": 200_000}
        async with world(hung, hung, drained=True, limits=limits) as w:
            with deaf() as address:
                if at == "dial":
                    for name in ("s-0", "s-1"):
                        w.sidecar._endpoint_pool.update(name, address, None, ServerState.READY)
                loop = asyncio.get_running_loop()
                began, real = loop.time(), w.sidecar._engine.balancer.handle
                asking = asyncio.create_task(w.ask(kind="pay", body=b"x", budget="1.0"))
                if at == "backstop":
                    await until(w.sent)
                    monkeypatch.setattr(w.sidecar._engine.balancer, "handle", lambda now, event: [])
                status, _, _ = await asking
                took = loop.time() - began
                if at == "dial":
                    assert status == 503 and 0.39 < took < 0.5 and not w.sent()  # one after the other
                else:
                    assert status == 500 and 0.98 <= took < 1.05 and len(w.sent()) == 1
                if at == "backstop":
                    monkeypatch.setattr(w.sidecar._engine.balancer, "handle", real)
                    for number in list(w.sidecar._engine.balancer.open_requests):
                        w.sidecar._engine.handle(ClientDisconnected(number))
                        w.sidecar._engine.handle(
                            AttemptEnded(number, 0, w.servers[0].name, Outcome.TIMED_OUT, 1, True)
                        )
                await until(
                    lambda: w.sidecar._endpoint_pool.open_count == 0 and not w.sidecar.proxy.in_flight
                )

    on_clock(scene())


@pytest.mark.parametrize("crossing", ["before", "behind"])
def test_an_answer_that_comes_with_its_time_out_has_one_end(on_clock: Play, crossing: str) -> None:
    async def scene() -> None:
        async with world(hung, drained=True) as w:
            asking = asyncio.create_task(w.ask(kind="pay", body=b"x", budget="1.0"))
            await until(w.sent)
            if crossing == "before":
                w.servers[0].writers[0].write(answer(200, b"served"))
            stall(1.0)  # the answer and all that is due are found together
            if crossing == "behind":
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                if not w.servers[0].writers[0].is_closing():
                    w.servers[0].writers[0].write(answer(200, b"served"))
            assert (await asking)[0] == (200 if crossing == "before" else 500)

    on_clock(scene())
