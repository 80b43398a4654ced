"""Disabled servers get no new requests, from this process and from the next one."""

from __future__ import annotations

from pathlib import Path

from admin_calls import call, disabled_servers, served, wait_until_disabled
from loopback import World, play, until, world
from sidecar_balancer.admin.overrides import OperatorOverrides

REQUESTS = 20


async def send_requests(sidecar_world: World) -> None:
    for _ in range(REQUESTS):
        assert (await sidecar_world.ask())[0] == 200


async def send_requests_until_used(sidecar_world: World, number: int) -> None:
    while not sidecar_world.servers[number].requests:
        assert (await sidecar_world.ask())[0] == 200


def test_a_disabled_server_gets_no_requests_and_its_idle_connections_are_closed(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, served, orders=tmp_path) as sidecar_world:
            disabled, other = sidecar_world.servers
            await send_requests_until_used(sidecar_world, 0)
            assert len(disabled.writers) - disabled.closed >= 1
            assert await call(sidecar_world, "PUT", "/api/exclude/s-0") == 200
            await until(lambda: disabled.closed == len(disabled.writers))
            before, others_before = len(disabled.requests), len(other.requests)
            await send_requests(sidecar_world)
            assert len(disabled.requests) == before
            assert len(other.requests) == others_before + REQUESTS

    play(scene())


def test_the_next_process_applies_the_stored_overrides_before_it_serves(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, served, orders=tmp_path) as first:
            assert await call(first, "PUT", "/api/exclude/s-0") == 200
        async with world(served, served, orders=tmp_path) as second:  # the first ended without a shutdown
            await send_requests(second)
            assert not second.servers[0].requests
            assert await call(second, "PUT", "/api/include/s-0") == 200
            assert OperatorOverrides(tmp_path).load().disabled_servers == frozenset()

    play(scene())


def test_two_processes_apply_the_overrides_stored_by_each_other(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(served, orders=tmp_path) as one, world(served, orders=tmp_path) as two:
            assert await call(one, "PUT", "/api/exclude/s-0") == 200
            await wait_until_disabled(two, {"s-0"})
            assert await call(two, "PUT", "/api/evacuate") == 200
            await until(lambda: one.sidecar.frontend.draining)
            assert await call(two, "PUT", "/api/include/s-0") == 200
            await wait_until_disabled(one, set())

    play(scene())


def test_an_override_that_cannot_be_stored_is_rejected_and_not_applied(tmp_path: Path) -> None:
    async def scene() -> None:
        (tmp_path / "excluded").write_text("junk")
        async with world(served, orders=tmp_path) as sidecar_world:
            assert await call(sidecar_world, "PUT", "/api/exclude/s-0") == 500
            assert await disabled_servers(sidecar_world) == set()
            assert (await sidecar_world.ask())[0] == 200

    play(scene())
