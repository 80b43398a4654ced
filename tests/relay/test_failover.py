"""Relays, a registry and sidecars' discovery clients: changes take effect within 6 s despite failures."""

from __future__ import annotations

import asyncio

import pytest

from loopback import http_response, send_request, wait_until
from registry import entry
from relay_tier import CHANGE_IN_FORCE_LIMIT_S, list_request, relay_tier
from sidecar_balancer.discovery import sources, watch_state
from sidecar_balancer.relay import connection as relay_connection
from virtual_clock import RunScenario


def now() -> float:
    return asyncio.get_running_loop().time()


def test_a_change_reaches_every_sidecar_at_the_cost_of_one_watch_per_relay(
    on_virtual_clock: RunScenario,
) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=2, sidecars=20) as tier:
            request_count, started_at = tier.registry.request_count, now()
            for number in range(5):
                tier.registry.change(entry("s-1", since_ms=1 + number))
                await asyncio.sleep(1.0)
            tier.registry.change(entry("s-1", status="leaving"))
            await tier.wait_until_in_force("s-1", "leaving", within_s=0.5)
            elapsed_s = now() - started_at
            # Each relay sends a request at intervals of at least 0.6 s, and one after each change.
            assert tier.registry.request_count - request_count <= 2 * (elapsed_s / 0.6 + 6 + 2)
            assert not any(sidecar.failure_count for sidecar in tier.sidecars)
            assert all(relay.service.counters.snapshots <= 20 for relay in tier.relays)

    on_virtual_clock(scenario())


def test_changes_in_quick_succession_are_sent_together(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=1, sidecars=4) as tier:
            await asyncio.sleep(1.0)
            counters = tier.relays[0].service.counters
            deltas_before = counters.deltas
            for number in range(100):
                tier.registry.change(entry(f"s-{number}", status="leaving"))
                await asyncio.sleep(0.01)
            await tier.wait_until_in_force("s-99", "leaving")
            assert counters.deltas - deltas_before <= 4 * 8  # instead of 400, one per change and sidecar

    on_virtual_clock(scenario())


def test_sidecars_of_a_killed_relay_receive_changes_from_others(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=3) as tier:
            await tier.kill_relay(0)
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving", within_s=1.0)
            assert not any(sidecar.failure_count for sidecar in tier.sidecars)

    on_virtual_clock(scenario())


def test_with_two_relays_unresponsive_the_third_delivers_changes_in_time(
    on_virtual_clock: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=3) as tier:
            for relay in tier.relays[:2]:  # as if stopped: they accept requests but do not respond
                monkeypatch.setattr(relay.service, "_send", lambda *_: None)
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving")

    on_virtual_clock(scenario())


def test_a_partitioned_relay_reports_its_age_and_sidecars_leave_it(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=2) as tier:
            partitioned, connected = tier.relays
            await partitioned.discovery.close()  # it gets no more updates, but its sidecars still reach it
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving")
            used = {sidecar.client.status().address for sidecar in tier.sidecars}
            assert used == {"{}:{}".format(*connected.address())}
            status, headers, _ = await send_request(partitioned.address(), list_request())
            assert status == 200
            assert int(headers["x-source-age-ms"]) > 2_000

    on_virtual_clock(scenario())


def test_sidecars_keep_their_list_while_the_registry_is_down(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=2) as tier:
            await tier.registry.go_down()
            await asyncio.sleep(30.0)
            assert all(sidecar.status_of("s-0") == "active" for sidecar in tier.sidecars)
            assert not any(sidecar.failure_count for sidecar in tier.sidecars)
            requests_before = tier.requests_served()
            await asyncio.sleep(30.0)
            # All relays are stale: each sidecar polls all of them every 2 s and the freshest one in between.
            assert tier.requests_served() - requests_before <= 6 * 30 * 2.5
            await tier.registry.start()
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving")

    on_virtual_clock(scenario())


def test_a_registry_that_restarts_with_a_lower_index_is_followed(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=2) as tier:
            snapshots_before = tier.snapshots_sent()
            await tier.registry.go_down()
            tier.registry.restart(5, [entry("s-1"), entry("s-2")])
            await asyncio.sleep(1.0)
            await tier.registry.start()
            await tier.wait_until_in_force("s-0", None)
            await tier.wait_until_in_force("s-2", "active")
            assert all(sidecar.versions[-1] == 5 for sidecar in tier.sidecars)
            tier.registry.change(entry("s-1", status="leaving"))
            await tier.wait_until_in_force("s-1", "leaving", within_s=1.0)
            # The relays know the callers' tags and send them the changes, not the full list.
            assert tier.snapshots_sent() == snapshots_before

    on_virtual_clock(scenario())


def test_sidecars_return_to_a_relay_that_restarted_without_a_list(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=2) as tier:
            address = await tier.kill_relay(0)
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving", within_s=1.0)
            restarted = await tier.add_relay([tier.registry.address], address)
            await asyncio.sleep(70.0)
            preferred = "{}:{}".format(*address)
            used = [sidecar.client.status().address for sidecar in tier.sidecars]
            assert used.count(preferred) == 3
            # The relay recognizes their list by its tag, so that it sends no full list.
            assert restarted.service.counters.snapshots == 0
            tier.registry.change(entry("s-1", status="leaving"))
            await tier.wait_until_in_force("s-1", "leaving", within_s=1.0)

    on_virtual_clock(scenario())


def test_a_sidecar_never_applies_an_older_list_on_failover(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=2) as tier:
            behind = tier.relays[1]
            await behind.discovery.close()
            changed_index = tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving")
            await tier.kill_relay(0)  # the only relay left is behind
            await asyncio.sleep(10.0)
            assert all(sidecar.status_of("s-0") == "leaving" for sidecar in tier.sidecars)
            assert all(sidecar.versions[-1] >= changed_index for sidecar in tier.sidecars)
            assert behind.service.counters.not_ready + behind.service.counters.unchanged > 0

    on_virtual_clock(scenario())


def test_a_relay_behind_a_relay_reports_the_age_since_the_registry(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=1, sidecars=1) as tier:
            leaf = await tier.add_relay([tier.relays[0].address()])
            await wait_until(lambda: leaf.service.status()["index"] is not None)
            tier.add_sidecar([leaf.address()])
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving", within_s=1.0)
            await tier.relays[0].discovery.close()
            await asyncio.sleep(10.0)
            assert leaf.service.age_ms() >= 9_000

    on_virtual_clock(scenario())


def test_without_any_relay_sidecars_are_notified_and_keep_their_list(on_virtual_clock: RunScenario) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=2) as tier:
            await tier.kill_relay(0)
            address = await tier.kill_relay(1)
            await asyncio.sleep(5.0)
            assert all(sidecar.failure_count for sidecar in tier.sidecars)
            assert all(sidecar.status_of("s-0") == "active" for sidecar in tier.sidecars)
            await tier.add_relay([tier.registry.address], address)
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving")

    on_virtual_clock(scenario())


@pytest.mark.parametrize(
    "malformed",
    [
        http_response(200, b'{"index": 1, "endpoints": []}', X_Source_Age_Ms="soon"),
        http_response(200, b'{"index": 1, "endpoints": []}', X_Source_Age_Ms="9" * 40),
        http_response(200, b"[" * 50_000, X_Source_Age_Ms="1"),
        http_response(503, b""),
    ],
    ids=["age not a number", "age too long", "nested too deep", "status 503"],
)
def test_a_malformed_response_of_a_relay_is_a_failed_poll(
    on_virtual_clock: RunScenario, malformed: bytes
) -> None:
    async def scenario() -> None:
        async with relay_tier(relays=1, sidecars=0) as tier:

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(malformed)
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            malfunctioning = server.sockets[0].getsockname()[:2]
            sidecar = tier.add_sidecar([malfunctioning, tier.relays[0].address()])
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "leaving", within_s=1.0)
            assert not sidecar.failure_count
            server.close()

    on_virtual_clock(scenario())


LONGEST_WAIT_S = watch_state.RELAY_MIN_WAIT_MS * (1.0 + watch_state.MAX_WAIT_SPREAD_RATIO) / 1000
PROBE_S = watch_state.PROBE_WAIT_MS / 1000 + watch_state.RELAY_SLACK_S


def test_two_unresponsive_relays_in_a_row_leave_time_for_the_third() -> None:
    assert LONGEST_WAIT_S + watch_state.RELAY_SLACK_S + PROBE_S + 1.0 < CHANGE_IN_FORCE_LIMIT_S


def test_a_partitioned_relay_leaves_time_for_another() -> None:
    assert sources.STALE_AFTER_S + LONGEST_WAIT_S + PROBE_S < CHANGE_IN_FORCE_LIMIT_S


def test_a_relay_waits_less_for_a_request_than_a_change_may_take() -> None:
    assert relay_connection.REQUEST_TIMEOUT_S < CHANGE_IN_FORCE_LIMIT_S
