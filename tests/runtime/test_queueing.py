"""Queueing delay: what waited in the kernel has less time left."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from helpers import SAFE, S
from loopback import answer, read_answer, request, until, world
from sidecar_balancer.downstream import arrival
from sidecar_balancer.runtime.queueing import BacklogAge, PollTimes, TimedLoop, since_last_data_s
from virtual import play_on_clock, stall

BUDGET_S = 2.0
SLACK_S = 0.05  # what a told time may be off: the clock stands still while the kernel is at work


def served(*_: object) -> bytes:
    return answer(200, b"served")


@pytest.fixture(autouse=True)
def system_that_does_not_tell(monkeypatch: pytest.MonkeyPatch) -> None:
    """The kernel counts real time, which a scene on a clock of its own does not spend."""
    monkeypatch.setattr(arrival, "since_last_data_s", lambda _: None)


def test_input_that_ended_a_wait_is_new() -> None:
    times = PollTimes(10.0)
    times.polled(entered=10.5, returned=11.5, timeout=None)
    assert times.unread_since == 11.5


def test_input_found_at_once_may_have_come_since_the_poll_before() -> None:
    times = PollTimes(10.0)
    times.polled(entered=10.0, returned=11.0, timeout=5.0)
    times.polled(entered=11.7, returned=11.7, timeout=5.0)
    assert times.unread_since == 11.0
    times.polled(entered=11.8, returned=11.8, timeout=0)
    assert times.unread_since == 11.7


def test_input_of_a_poll_that_overslept_may_have_come_since_it_began() -> None:
    times = PollTimes(10.0)
    times.polled(entered=10.0, returned=12.0, timeout=0.1)
    assert times.unread_since == 10.0


def test_the_backlog_is_as_old_as_its_last_empty_moment_and_what_it_holds_bounds_that() -> None:
    backlog = BacklogAge(capacity=3)
    assert backlog.oldest(5.0) == 5.0
    backlog.left(unread_since=5.0, now=6.0)
    backlog.left(unread_since=7.0, now=7.0)  # left again: nothing is younger for that
    for _ in range(2):
        backlog.accepted(8.0)
        assert backlog.oldest(8.0) == 5.0
    backlog.accepted(8.0)  # all that was queued at 6.0 has been taken
    assert backlog.oldest(8.0) == 6.0
    backlog.emptied()
    assert backlog.oldest(9.0) == 9.0


def test_the_kernel_tells_how_long_data_has_waited() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
        client.connect(listener.getsockname())
        sock, _ = listener.accept()
        with sock:
            client.send(b"x")
            time.sleep(0.05)
            assert since_last_data_s(sock) is None or (since_last_data_s(sock) or 0.0) >= 0.02


def test_a_kernel_that_counts_no_time_tells_nothing() -> None:
    class Established:
        def getsockopt(self, *_: int) -> bytes:
            return bytes([1]) + bytes(103)

    assert since_last_data_s(Established()) is None  # type: ignore[arg-type]


def test_a_socket_that_is_no_tcp_connection_tells_nothing() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        assert since_last_data_s(sock) is None


def test_the_loop_of_the_program_notes_its_polls() -> None:
    async def scene(loop: TimedLoop) -> None:
        before = loop.poll_times.unread_since
        await asyncio.sleep(0.005)
        assert loop.poll_times.unread_since > before

    with asyncio.Runner(loop_factory=TimedLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, TimedLoop)
        runner.run(scene(loop))


@pytest.mark.parametrize("stalled_s", [0.0, 0.6])
@pytest.mark.parametrize("fresh", [True, False], ids=["new connection", "used connection"])
def test_a_request_that_stood_unread_in_a_stall_is_told_less_time(
    stalled_s: float, fresh: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(served, drained=True) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            if not fresh:
                writer.write(request())
                assert (await read_answer(reader))[0] == 200
                await asyncio.sleep(0.1)
            writer.write(request(budget=str(BUDGET_S)))
            stall(stalled_s)
            assert (await read_answer(reader))[0] == 200
            told_s = float(w.sent()[-1][1]["x-budget"])
            assert BUDGET_S - stalled_s - SLACK_S <= told_s <= BUDGET_S - stalled_s
            writer.close()

    play_on_clock(scene(), monkeypatch)


def test_a_request_that_waited_out_its_time_is_refused_and_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene() -> None:
        async with world(served, drained=True) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request(budget="0.5"))
            stall(0.6)
            assert (await read_answer(reader))[0] == 503
            assert not w.sent()
            writer.close()

    play_on_clock(scene(), monkeypatch)


def test_a_request_that_waited_while_accepting_was_paused_is_told_less_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene() -> None:
        hold_s = 0.4

        def script(_: str, head: dict[str, str], __: bytes) -> bytes | None:
            return None if head["x-call-id"] == "held" else served()

        # 66 descriptors leave one connection for clients: the second waits in the backlog.
        async with world(script, drained=True, sockets=66, classes=[SAFE | {"deadline_us": 9 * S}]) as w:
            first, holder = await asyncio.open_connection(*w.sidecar.frontend.address)
            holder.write(request(budget=str(hold_s), X_Call_Id="held"))
            await until(lambda: w.sent())
            second, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request(budget=str(BUDGET_S)))
            assert (await read_answer(first))[0] != 200
            assert (await read_answer(second))[0] == 200
            told_s = float(w.sent()[-1][1]["x-budget"])
            assert told_s <= BUDGET_S - hold_s + SLACK_S
            holder.close()
            writer.close()

    play_on_clock(scene(), monkeypatch)


@pytest.mark.parametrize("waited_s", [0.0, 0.3])
def test_what_the_kernel_knows_of_a_wait_bounds_it(waited_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(arrival, "since_last_data_s", lambda _: waited_s)

    async def scene() -> None:
        async with world(served, drained=True) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request(budget=str(BUDGET_S)))
            stall(0.6)
            assert (await read_answer(reader))[0] == 200
            told_s = float(w.sent()[-1][1]["x-budget"])
            assert BUDGET_S - waited_s - SLACK_S <= told_s <= BUDGET_S - waited_s
            writer.close()

    play_on_clock(scene(), monkeypatch)
