"""How late a sidecar hears what discovery tells: after failed calls, at its start, and in a large fleet.

The operators count a change as told 6 s after discovery had it and could be reached, whatever else holds.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from helpers import START, S, Stage, names, settings
from loopback import answer, ask, request, until, world
from sidecar_balancer.discovery import client as net_discovery
from sidecar_balancer.policy.actions import WatchEndpoints
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.types import ListKind, ServerState
from virtual import play_on_clock

TOLD_S = 6.0  # after discovery had a change and could be reached
CALL_S = 2.0  # discovery answers a call or fails it within this
MARGIN_S = 0.5  # for the sidecar's own work, and a busy machine
GRACE_S = 0.55  # of a drain, with the slack of the rules
GROUP_SIZES = [5, 60, 200, 22_000]
FAILED_CALLS = 12


def served(*_: object) -> bytes:
    return answer(200, b"served")


def wait_for_the_next_call(stage: Stage) -> float:
    """Let time pass until discovery is asked once more; return how long that took, in seconds."""
    began, asked = stage.now, len(stage.said(WatchEndpoints))
    while len(stage.said(WatchEndpoints)) == asked:
        stage.wait(S // 100)
    return (stage.now - began) / S


@pytest.mark.parametrize("poll_interval_us", [1 * S, 10 * S, 60 * S])
@pytest.mark.parametrize("fleet_size", GROUP_SIZES)
def test_from_reachable_to_told_takes_less_than_the_rules_allow(
    fleet_size: int, poll_interval_us: int
) -> None:
    longest_s = 0.0
    for seed in range(12):
        stage = Stage(
            settings(fleet_size=fleet_size, rules={"poll_interval_us": poll_interval_us}), seed=seed
        )
        stage.servers(names(2), ListKind.CACHED)
        first = [at for at, each in stage.log if isinstance(each, WatchEndpoints)]
        longest_s = max(longest_s, 0.0 if first else wait_for_the_next_call(stage))
        for _ in range(FAILED_CALLS):
            stage.play(EndpointListReceived(ListKind.FAILED))
            longest_s = max(longest_s, wait_for_the_next_call(stage))
    # Discovery comes back just after a call failed: the wait, the next call and its answer follow.
    assert longest_s + CALL_S + MARGIN_S <= TOLD_S


@pytest.mark.parametrize("fleet_size", GROUP_SIZES[1:])
def test_waits_after_failures_spread_the_calls_of_a_large_group(fleet_size: int) -> None:
    called_at = []
    for seed in range(100):
        stage = Stage(settings(fleet_size=fleet_size), seed=seed)
        stage.servers(names(2))
        stage.play(EndpointListReceived(ListKind.FAILED))  # all watches end together as discovery goes down
        called_at.append(wait_for_the_next_call(stage))
    busiest = max(sum(at <= each < at + 0.5 for each in called_at) for at in called_at)
    assert busiest <= 35  # of 100 in any half second


@pytest.mark.parametrize("failures", [1, 3, 7])
@pytest.mark.parametrize("fleet_size", GROUP_SIZES)
def test_a_drain_is_heard_in_time_when_discovery_comes_back(
    fleet_size: int, failures: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        async with world(served, drained=True, fleet_size=fleet_size) as w:
            for calls in range(1, failures + 1):
                await until(lambda calls=calls: len(w.discovery.targets) == calls)  # type: ignore[misc]
                await asyncio.sleep(CALL_S)  # a service that is down fails a call after it waited so long
                w.discovery.answers.put_nowait(answer(503, b""))
            back_at = loop.time()
            await until(lambda: len(w.discovery.targets) == failures + 1)
            await asyncio.sleep(CALL_S)  # and one that is back may let it wait as long
            w.discovery.say(42, [w.servers[0].entry(status="leaving")])
            await until(lambda: w.sidecar._engine.balancer.servers["s-0"].state is ServerState.DRAINING)
            assert loop.time() - back_at <= TOLD_S - MARGIN_S

    play_on_clock(scene(), monkeypatch)


def test_idle_clients_that_fill_the_descriptors_keep_no_call_to_discovery_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(net_discovery, "_WAIT_MS", 100)

    async def scene() -> None:
        async with world(served, drained=True, sockets=96) as w:  # 16 of them are for clients
            await until(lambda: w.discovery.targets)
            w.discovery.answers.put_nowait(answer(503, b""))
            with contextlib.ExitStack() as clients:
                for _ in range(120):
                    idle = clients.enter_context(socket.create_connection(w.sidecar.frontend.address))
                    idle.setblocking(False)
                    await asyncio.sleep(0)
                await until(lambda: len(w.sidecar.frontend.connections) == 16)
                await until(lambda: len(w.discovery.targets) == 2)
                w.discovery.say(42, [w.servers[0].entry(status="leaving")])
                await until(lambda: w.sidecar._engine.balancer.servers["s-0"].state is ServerState.DRAINING)
                w.discovery.say(43, [w.servers[0].entry()])
                await until(lambda: w.sidecar._engine.balancer.ready_servers)
                assert (await ask(w.sidecar.frontend.address, request()))[0] == 200

    play_on_clock(scene(), monkeypatch)


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("silent", [True, False], ids=["silent", "down"])
def test_a_start_does_not_wait_for_discovery(
    mode: str, silent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        began = asyncio.get_running_loop().time()
        async with world(served, drained=True, discovery=mode, fleet_size=200) as w:
            if not silent:
                w.discovery.stop()
            ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
            assert (await ask(w.sidecar.frontend.address, ready))[0] == 200
            assert asyncio.get_running_loop().time() - began < 1.0  # of the 10 s that nine in ten may take
            assert (await ask(w.sidecar.frontend.address, request()))[0] == 200  # by the list that it knows

    play_on_clock(scene(), monkeypatch)


def test_the_first_call_of_a_member_of_any_group_comes_within_the_bound() -> None:
    for fleet_size in GROUP_SIZES:
        for seed in range(20):
            stage = Stage(settings(fleet_size=fleet_size), seed=seed)
            stage.servers(names(2), ListKind.CACHED)
            if not stage.said(WatchEndpoints):
                wait_for_the_next_call(stage)
            assert (stage.now - START) / S + CALL_S + MARGIN_S <= TOLD_S
