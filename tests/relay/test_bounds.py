"""Limits of a relay: malformed requests, many connections and slow readers do not lock sidecars out."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loopback import send_request, wait_until
from registry import FakeRegistry, entry
from relay_tier import READINESS_REQUEST, RelayTier, list_request, relay_tier
from sidecar_balancer.relay.config import RelayLimits
from virtual_clock import RunScenario


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"PUT /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nxx", 400),
        (list_request(after="x"), 400),
        (list_request(after="-1"), 400),
        (list_request(after="9" * 400), 400),
        (list_request(wait_ms="soon"), 400),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nX-Source-Age-Ms: old\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 20_000, 400),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x", 408),
        (b"", 408),
        (list_request(after="7"), 200),
        (list_request(), 200),
        (READINESS_REQUEST, 200),
    ],
)
def test_every_request_gets_a_response_and_rejected_ones_are_counted(
    on_virtual_clock: RunScenario, data: bytes, status: int
) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=1, sidecars=1) as tier:
            received, _, _ = await send_request(tier.relays[0].address(), data)
            assert received == status
            assert tier.relays[0].service.counters.rejected == (status != 200)
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving", within_s=1.0)

    on_virtual_clock(scenario())


@pytest.mark.parametrize(
    "data",
    [list_request(), list_request(after=5, wait_ms=2000), READINESS_REQUEST],
    ids=["full list", "watch", "readiness"],
)
def test_a_relay_without_a_list_responds_503_at_once(on_virtual_clock: RunScenario, data: bytes) -> None:
    async def scenario() -> None:
        registry = FakeRegistry()
        registry.is_unresponsive = True
        await registry.start()
        tier = RelayTier(registry)
        relay = await tier.add_relay([registry.address])
        started_at = asyncio.get_running_loop().time()
        status, _, _ = await send_request(relay.address(), data)
        assert status == 503
        assert asyncio.get_running_loop().time() - started_at < 0.5
        await tier.end()

    on_virtual_clock(scenario())


def connect_slow_reader(stack: contextlib.ExitStack, tier: RelayTier) -> None:
    """Request the full list on a connection that nothing is read from."""
    sock = stack.enter_context(socket.socket())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(tier.relays[0].address())
    sock.sendall(list_request())


def test_concurrent_full_lists_are_bounded_and_slow_readers_dropped(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=1, sidecars=1) as tier:
            service = tier.relays[0].service
            for number in range(16_000):
                tier.registry.entries[f"s-{number}"] = entry(f"s-{number}")
            tier.registry.restart(5_000, list(tier.registry.entries.values()))
            await wait_until(lambda: service.status()["servers"] == 16_000)
            with contextlib.ExitStack() as slow_readers:
                for _ in range(2):
                    connect_slow_reader(slow_readers, tier)
                await wait_until(lambda: service.status()["snapshots_under_way"] == 2)
                started_at = asyncio.get_running_loop().time()
                requests = (send_request(tier.relays[0].address(), list_request()) for _ in range(5))
                responses = await asyncio.gather(*requests)
                assert [status for status, _, _ in responses] == [503] * 5
                assert asyncio.get_running_loop().time() - started_at < 2.0
                assert service.counters.busy == 5
                await wait_until(lambda: service.counters.too_slow == 2)
                status, _, _ = await send_request(tier.relays[0].address(), list_request())
                assert status == 200

    on_virtual_clock(scenario())


def test_a_flood_of_connections_does_not_lock_sidecars_out(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        limits = RelayLimits(connections=20, snapshots=2)
        async with relay_tier(relays=1, sidecars=3, limits=limits) as tier:
            relay = tier.relays[0]
            with contextlib.ExitStack() as flood:
                for _ in range(100):
                    flood.enter_context(socket.create_connection(relay.address()))
                    await asyncio.sleep(0.001)
                assert relay.service.connection_count <= 21
                tier.registry.change(entry("s-0", status="leaving"))
                await tier.wait_until_in_force("s-0", "leaving")
            assert relay.service.counters.over_capacity > 50

    on_virtual_clock(scenario())
