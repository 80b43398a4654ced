"""Turns of the event loop that peers share."""

from __future__ import annotations

import asyncio
import selectors

from sidecar_balancer.runtime.turns import ClientEventLimit, Events, TurnQueue

SERVER_FD = 1_000


def events(*file_descriptors: int) -> Events:
    return [
        (selectors.SelectorKey(fd, fd, selectors.EVENT_READ, None), selectors.EVENT_READ)
        for fd in file_descriptors
    ]


def test_all_clients_get_their_turn_and_servers_do_not_wait() -> None:
    limit = ClientEventLimit()
    clients = list(range(100))
    limit.file_descriptors.update(clients)
    served: list[int] = []
    for turn in range(7):
        handled = [key.fd for key, _ in limit.select(events(*clients, SERVER_FD), float(turn))]
        assert handled[0] == SERVER_FD
        assert len(handled) <= 17
        served += handled[1:]
    assert set(served) == set(clients)
    assert max(served.count(each) for each in clients) <= 2


def test_deferred_events_tell_since_when_they_wait() -> None:
    limit = ClientEventLimit()
    limit.file_descriptors.update(range(40))
    limit.select(events(*range(40)), 5.0)
    assert limit.oldest_deferral() == 5.0
    limit.select(events(*range(16, 40)), 6.0)
    assert limit.oldest_deferral() == 5.0
    limit.select(events(*range(32, 40)), 7.0)
    assert limit.oldest_deferral() is None


def test_few_events_are_handled_at_once() -> None:
    limit = ClientEventLimit()
    limit.file_descriptors.update(range(16))
    assert limit.select(events(*range(16)), 1.0) == events(*range(16))


def test_queued_calls_run_in_order_over_several_turns_also_after_one_that_raises() -> None:
    called: list[int] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        queue = TurnQueue()

        def call(number: int) -> None:
            called.append(number)
            if number == 3:
                raise ValueError

        for number in range(20):
            queue.call_soon(lambda number=number: call(number))  # type: ignore[misc]
        await asyncio.sleep(0)
        assert len(called) <= 8
        while len(called) < 20:  # noqa: ASYNC110  # each turn runs some
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert called == list(range(20))


def test_the_longest_wait_for_a_turn_is_told_once() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        queue = TurnQueue()
        for _ in range(9):
            queue.call_soon(lambda: None)
        started_at = loop.time()
        while loop.time() < started_at + 0.02:
            pass
        assert len(queue) == 9
        while queue:  # noqa: ASYNC110  # each turn runs some
            await asyncio.sleep(0)
        assert queue.pop_longest_wait_s() >= 0.02
        assert queue.pop_longest_wait_s() == 0.0

    asyncio.run(scenario())
