"""Queueing delay: a request that waited in the kernel has less remaining time."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from discovery_helpers import served
from loopback import read_response, request, running_sidecar, wait_until
from policy_settings import IDEMPOTENT, S
from sidecar_balancer.downstream import arrival
from sidecar_balancer.runtime.queueing import BacklogAge, PollTimes, TimedLoop, since_last_data_s
from virtual_clock import RunScenario, stall

BUDGET_S = 2.0
TOLERANCE_S = 0.05  # error of a forwarded budget: the virtual clock does not advance while the kernel works


@pytest.fixture(autouse=True)
def kernel_without_receive_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ignore the kernel's receive times, which are in real time rather than on the virtual clock."""
    monkeypatch.setattr(arrival, "since_last_data_s", lambda _: None)


def test_input_that_ended_a_waiting_poll_is_new() -> None:
    times = PollTimes(10.0)
    times.record_poll(entered=10.5, returned=11.5, timeout=None)
    assert times.unread_since == 11.5


def test_input_of_an_immediate_poll_may_have_arrived_since_the_previous_poll() -> None:
    times = PollTimes(10.0)
    times.record_poll(entered=10.0, returned=11.0, timeout=5.0)
    times.record_poll(entered=11.7, returned=11.7, timeout=5.0)
    assert times.unread_since == 11.0
    times.record_poll(entered=11.8, returned=11.8, timeout=0)
    assert times.unread_since == 11.7


def test_input_of_a_poll_that_returned_late_may_have_arrived_since_it_began() -> None:
    times = PollTimes(10.0)
    times.record_poll(entered=10.0, returned=12.0, timeout=0.1)
    assert times.unread_since == 10.0


def test_the_age_of_the_backlog_is_bounded_by_when_it_was_last_empty_and_by_its_capacity() -> None:
    backlog = BacklogAge(capacity=3)
    assert backlog.oldest_arrival(5.0) == 5.0
    backlog.record_remaining(unread_since=5.0, now=6.0)
    backlog.record_remaining(unread_since=7.0, now=7.0)  # still not empty: the bound does not move
    for _ in range(2):
        backlog.record_accepted(8.0)
        assert backlog.oldest_arrival(8.0) == 5.0
    backlog.record_accepted(8.0)  # all connections queued at 6.0 have been accepted
    assert backlog.oldest_arrival(8.0) == 6.0
    backlog.record_emptied()
    assert backlog.oldest_arrival(9.0) == 9.0


def test_the_kernel_reports_how_long_data_has_waited() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
        client.connect(listener.getsockname())
        sock, _ = listener.accept()
        with sock:
            client.send(b"x")
            time.sleep(0.05)
            waited_s = since_last_data_s(sock)
            assert waited_s is None or waited_s >= 0.02  # None: not every kernel reports it


def test_a_kernel_that_reports_zero_is_taken_as_unknown() -> None:
    class Established:
        def getsockopt(self, *_: int) -> bytes:
            return bytes([1]) + bytes(103)

    assert since_last_data_s(Established()) is None  # type: ignore[arg-type]


def test_the_wait_on_a_socket_that_is_no_tcp_connection_is_unknown() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        assert since_last_data_s(sock) is None


def test_the_event_loop_records_its_polls() -> None:
    async def scenario(loop: TimedLoop) -> None:
        before = loop.poll_times.unread_since
        await asyncio.sleep(0.005)
        assert loop.poll_times.unread_since > before

    with asyncio.Runner(loop_factory=TimedLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, TimedLoop)
        runner.run(scenario(loop))


@pytest.mark.parametrize("stalled_s", [0.0, 0.6])
@pytest.mark.parametrize("is_new_connection", [True, False], ids=["new connection", "used connection"])
def test_a_request_that_waited_through_a_stall_is_forwarded_with_less_time(
    stalled_s: float, is_new_connection: bool, on_virtual_clock: RunScenario
) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            if not is_new_connection:
                writer.write(request())
                assert (await read_response(reader))[0] == 200
                await asyncio.sleep(0.1)
            writer.write(request(budget=str(BUDGET_S)))
            stall(stalled_s)
            assert (await read_response(reader))[0] == 200
            forwarded_s = float(environment.sent()[-1][1]["x-budget"])
            assert BUDGET_S - stalled_s - TOLERANCE_S <= forwarded_s <= BUDGET_S - stalled_s
            writer.close()

    on_virtual_clock(scenario())


def test_a_request_that_waited_longer_than_its_budget_is_rejected(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request(budget="0.5"))
            stall(0.6)
            assert (await read_response(reader))[0] == 503
            assert not environment.sent()
            writer.close()

    on_virtual_clock(scenario())


def test_a_request_that_waited_in_the_backlog_is_forwarded_with_less_time(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        occupied_s = 0.4

        def script(_: str, head: dict[str, str], __: bytes) -> bytes | None:
            return None if head["x-call-id"] == "occupying" else served()

        # 66 descriptors leave one connection for clients: the second waits in the backlog.
        async with running_sidecar(
            script, graceful_shutdown=True, sockets=66, classes=[IDEMPOTENT | {"deadline_us": 9 * S}]
        ) as environment:
            first, first_writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            first_writer.write(request(budget=str(occupied_s), X_Call_Id="occupying"))
            await wait_until(environment.sent)
            second, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request(budget=str(BUDGET_S)))
            assert (await read_response(first))[0] != 200
            assert (await read_response(second))[0] == 200
            forwarded_s = float(environment.sent()[-1][1]["x-budget"])
            assert forwarded_s <= BUDGET_S - occupied_s + TOLERANCE_S
            first_writer.close()
            writer.close()

    on_virtual_clock(scenario())


@pytest.mark.parametrize("waited_s", [0.0, 0.3])
def test_a_wait_that_the_kernel_reports_bounds_the_delay(
    waited_s: float, on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(arrival, "since_last_data_s", lambda _: waited_s)

    async def scenario() -> None:
        async with running_sidecar(served, graceful_shutdown=True) as environment:
            reader, writer = await asyncio.open_connection(*environment.sidecar.frontend.address)
            writer.write(request(budget=str(BUDGET_S)))
            stall(0.6)
            assert (await read_response(reader))[0] == 200
            forwarded_s = float(environment.sent()[-1][1]["x-budget"])
            assert BUDGET_S - waited_s - TOLERANCE_S <= forwarded_s <= BUDGET_S - waited_s
            writer.close()

    on_virtual_clock(scenario())
