"""Disabled servers get no new requests, from this process and from the next one."""

from __future__ import annotations

from pathlib import Path

from admin_calls import call, disabled_servers, served, wait_until_disabled
from loopback import SidecarEnvironment, run_scenario, running_sidecar, wait_until
from sidecar_balancer.admin.overrides import OperatorOverrides

REQUESTS = 20


async def send_requests(environment: SidecarEnvironment) -> None:
    for _ in range(REQUESTS):
        assert (await environment.send_request())[0] == 200


async def send_requests_until_used(environment: SidecarEnvironment, number: int) -> None:
    while not environment.servers[number].requests:
        assert (await environment.send_request())[0] == 200


def test_a_disabled_server_gets_no_requests_and_its_idle_connections_are_closed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, overrides_folder=tmp_path) as environment:
            disabled, other = environment.servers
            await send_requests_until_used(environment, 0)
            assert len(disabled.writers) - disabled.closed >= 1
            assert await call(environment, "PUT", "/api/exclude/s-0") == 200
            await wait_until(lambda: disabled.closed == len(disabled.writers))
            before, others_before = len(disabled.requests), len(other.requests)
            await send_requests(environment)
            assert len(disabled.requests) == before
            assert len(other.requests) == others_before + REQUESTS

    run_scenario(scenario())


def test_the_next_process_applies_the_stored_overrides_before_it_serves(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, overrides_folder=tmp_path) as first:
            assert await call(first, "PUT", "/api/exclude/s-0") == 200
        async with running_sidecar(
            served, served, overrides_folder=tmp_path
        ) as second:  # the first ended without a shutdown
            await send_requests(second)
            assert not second.servers[0].requests
            assert await call(second, "PUT", "/api/include/s-0") == 200
            assert OperatorOverrides(tmp_path).load().disabled_servers == frozenset()

    run_scenario(scenario())


def test_two_processes_apply_the_overrides_stored_by_each_other(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            running_sidecar(served, overrides_folder=tmp_path) as one,
            running_sidecar(served, overrides_folder=tmp_path) as two,
        ):
            assert await call(one, "PUT", "/api/exclude/s-0") == 200
            await wait_until_disabled(two, {"s-0"})
            assert await call(two, "PUT", "/api/evacuate") == 200
            await wait_until(lambda: one.sidecar.frontend.draining)
            assert await call(two, "PUT", "/api/include/s-0") == 200
            await wait_until_disabled(one, set())

    run_scenario(scenario())


# Guards against the timer that applies the overrides of peers undoing an override that was just accepted.
def test_an_accepted_override_stays_until_the_stored_ones_are_polled(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_sidecar(served, served, overrides_folder=tmp_path) as environment:
            overrides = environment.sidecar.admin_handlers.disabled_servers
            overrides.apply_stored(frozenset({"s-1"}))
            for disabled, expected in ((True, {"s-0", "s-1"}), (False, {"s-1"})):
                assert overrides.set_disabled("s-0", disabled)
                overrides.refresh()
                assert overrides.effective == overrides.locally_disabled == expected

    run_scenario(scenario())


def test_an_override_that_cannot_be_stored_is_rejected_and_not_applied(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / "excluded").write_text("junk")
        async with running_sidecar(served, overrides_folder=tmp_path) as environment:
            assert await call(environment, "PUT", "/api/exclude/s-0") == 500
            assert await disabled_servers(environment) == set()
            assert (await environment.send_request())[0] == 200

    run_scenario(scenario())
