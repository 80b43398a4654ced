"""Relays as processes between a fake registry and sidecars, under faults.

No times are measured here: tests/relay/test_failover.py checks the 6 s limit on a virtual clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from harness import ROOT, WAIT_TIMEOUT_S, format_address, free_addresses, new_host
from loopback import run_scenario, send_request
from registry import FakeRegistry, entry
from sidecar_balancer.addresses import Address

SERVICE_CLASSES = [{"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"}]
POLL_INTERVAL_S = 0.05
ADMIN_TIMEOUT_S = 2.0


async def wait_until(condition: Callable[[], Awaitable[object]]) -> None:
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(2 * WAIT_TIMEOUT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


class Process:
    """Relay or sidecar as a process, and a client of its admin server."""

    def __init__(self, name: str, listen: Address, admin: Address) -> None:
        self.name, self.listen, self.admin = name, listen, admin
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, *command: str, **environ: str) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *command,
            cwd=ROOT,
            env=os.environ | environ,
            stderr=asyncio.subprocess.DEVNULL,
        )

    def send_signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)

    async def end(self) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
            await self._process.wait()

    async def get(self, path: str) -> dict[str, Any] | None:
        """Request a path of the admin API; return the JSON object, or None if the response holds none."""
        request = f"GET /api/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        try:
            status, _, body = await asyncio.wait_for(send_request(self.admin, request), ADMIN_TIMEOUT_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        return json.loads(body) if status == 200 and body.startswith(b"{") else None


class ProcessTier:
    """Registry in this process, and relays and sidecars as processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.registry = FakeRegistry([entry("s-0"), entry("s-1")])
        self.relays: list[Process] = []
        self.sidecars: list[Process] = []

    async def start(self, relays: int, sidecars: int) -> None:
        await self.registry.start()
        addresses = free_addresses(new_host(), 2 * (relays + sidecars))
        for number in range(relays):
            self.relays.append(Process(f"relay-{number}", addresses.pop(), addresses.pop()))
            await self.start_relay(number)
        await wait_until(self.relays_have_a_list)
        for number in range(sidecars):
            sidecar = Process(f"sidecar-{number}", addresses.pop(), addresses.pop())
            self.sidecars.append(sidecar)
            await self.start_sidecar(sidecar)
        await self.wait_until_in_force("s-0", "ready")

    async def relays_have_a_list(self) -> bool:
        statuses = [await relay.get("status") for relay in self.relays]
        return all(status is not None and status["index"] is not None for status in statuses)

    async def start_relay(self, number: int) -> None:
        relay = self.relays[number]
        path = self.folder / f"{relay.name}.toml"
        lines = [
            f'listen = "{format_address(relay.listen)}"',
            f'upstreams = ["{format_address(self.registry.address)}"]',
            f'mgmt = "{format_address(relay.admin)}"',
        ]
        path.write_text("\n".join(lines))
        await relay.start("sidecar_balancer.cli", "relay", "--config", str(path))

    async def start_sidecar(self, sidecar: Process) -> None:
        sidecar_config = {
            "name": sidecar.name,
            "listen": format_address(sidecar.listen),
            "discovery": "127.0.0.1:1",  # nothing listens there: only the relays provide the list
            "mgmt": format_address(sidecar.admin),
            "seed": "7",
            "settings": {"lanes": SERVICE_CLASSES, "discovery": "on_request"},
        }
        config_path, own_config_path = (
            self.folder / f"{sidecar.name}.json",
            self.folder / f"{sidecar.name}.toml",
        )
        config_path.write_text(json.dumps(sidecar_config))
        own_config_path.write_text(
            "".join(f'[[relays]]\naddress = "{format_address(relay.listen)}"\n' for relay in self.relays)
        )
        assert len(tomllib.loads(own_config_path.read_text())["relays"]) == len(self.relays)
        await sidecar.start(
            "sidecar_balancer", RELAY_CONFIG=str(config_path), WEIRLOCK_CONFIG=str(own_config_path)
        )

    async def states(self, name: str) -> list[str | None]:
        """Return a server's state at each sidecar; None: not listed, or the sidecar does not respond."""
        views = [await sidecar.get("servers") for sidecar in self.sidecars]
        return [None if view is None or name not in view else view[name]["state"] for view in views]

    async def wait_until_in_force(self, name: str, state: str | None) -> None:
        """Wait until every sidecar has the server in that state (None: removed from the list)."""

        async def is_in_force() -> bool:
            views = [await sidecar.get("servers") for sidecar in self.sidecars]
            return all(view is not None and (view.get(name) or {}).get("state") == state for view in views)

        await wait_until(is_in_force)

    async def sources(self) -> list[str]:
        """Return the address that each sidecar polls."""
        statuses = [await sidecar.get("status") for sidecar in self.sidecars]
        return [status["discovery"]["address"] for status in statuses if status is not None]

    async def end(self) -> None:
        for process in (*self.sidecars, *self.relays):
            await process.end()
        await self.registry.end()


@contextlib.asynccontextmanager
async def process_tier(folder: Path, relays: int, sidecars: int = 3) -> AsyncIterator[ProcessTier]:
    tier = ProcessTier(folder)
    try:
        await tier.start(relays, sidecars)
        yield tier
    finally:
        await tier.end()


def test_sidecars_fail_over_from_a_killed_relay_and_to_one_that_restarted(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with process_tier(tmp_path, relays=2) as tier:
            tier.relays[0].send_signal(signal.SIGKILL)
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "draining")
            assert set(await tier.sources()) == {format_address(tier.relays[1].listen)}
            await tier.relays[0].end()
            await tier.start_relay(0)
            await wait_until(tier.relays_have_a_list)
            tier.relays[1].send_signal(signal.SIGKILL)
            tier.registry.change(entry("s-1", status="leaving"))
            await tier.wait_until_in_force("s-1", "draining")

    run_scenario(scenario())


def test_the_old_list_of_a_stopped_relay_is_not_applied_when_it_continues(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with process_tier(tmp_path, relays=2) as tier:
            tier.relays[0].send_signal(signal.SIGSTOP)
            tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "draining")
            tier.registry.change(entry("s-0", status="left"), entry("s-2"))
            await tier.wait_until_in_force("s-2", "ready")
            tier.relays[0].send_signal(signal.SIGCONT)
            tier.relays[1].send_signal(signal.SIGKILL)
            tier.registry.change(entry("s-3"))
            await tier.wait_until_in_force("s-3", "ready")
            assert await tier.states("s-0") == [None] * 3

    run_scenario(scenario())


def test_a_registry_that_restarts_with_a_lower_index_is_followed_by_all(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with process_tier(tmp_path, relays=2) as tier:
            await tier.registry.go_down()
            tier.registry.restart(3, [entry("s-1"), entry("s-9")])
            assert await tier.states("s-0") == ["ready"] * 3  # the sidecars keep their list
            await tier.registry.start()
            await tier.wait_until_in_force("s-9", "ready")
            await tier.wait_until_in_force("s-0", None)
            tier.registry.change(entry("s-1", status="leaving"))
            await tier.wait_until_in_force("s-1", "draining")

    run_scenario(scenario())


def test_the_admin_api_shows_source_index_and_age(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with process_tier(tmp_path, relays=1, sidecars=1) as tier:
            index = tier.registry.change(entry("s-0", status="leaving"))
            await tier.wait_until_in_force("s-0", "draining")
            sidecar = await tier.sidecars[0].get("status")
            assert sidecar is not None
            discovery = sidecar["discovery"]
            assert (discovery["address"], discovery["index"]) == (
                format_address(tier.relays[0].listen),
                index,
            )
            assert 0.0 <= discovery["age_s"] < WAIT_TIMEOUT_S
            assert discovery["sources"] == 1
            relay = await tier.relays[0].get("status")
            assert relay is not None
            assert (relay["index"], relay["servers"]) == (index, 2)

    run_scenario(scenario())


async def assert_start_fails_with_one_line(*command: str, **environ: str) -> None:
    """Start a program with a bad configuration; assert that it exits with 2 and a one-line reason."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", *command),
        cwd=ROOT,
        env=os.environ | environ,
        stderr=asyncio.subprocess.PIPE,
    )
    _, error_output = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
    assert process.returncode == 2
    assert error_output.startswith(b"bad configuration: ")
    assert error_output.count(b"\n") == 1


@pytest.mark.parametrize(
    "config",
    [
        "",
        "listen = 7",
        'listen = "nowhere"\nupstreams = ["127.0.0.1:1"]',
        'listen = "127.0.0.1:0x"\nupstreams = ["127.0.0.1:1"]',
        'listen = "127.0.0.1:9"\nupstreams = []',
        'listen = "127.0.0.1:9"\nupstreams = ["127.0.0.1:1", "127.0.0.1:1"]',
        'listen = "127.0.0.1:9"\nupstreams = ["127.0.0.1:1"]\nconnections = 0',
        'listen = "127.0.0.1:9"\nupstreams = ["127.0.0.1:1"]\nsnapshots = "many"',
        'listen = "127.0.0.1:9"\nupstreams = ["127.0.0.1:1"]\nspeed = 9',
        'listen = "127.0.0.1:9"\nupstreams = ["127.0.0.1:1"]\n[logging]\nlevel = "loud"',
        "listen = [",
    ],
)
def test_a_relay_with_a_bad_configuration_fails_to_start_with_one_line(config: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        path = tmp_path / "relay.toml"
        path.write_text(config)
        await assert_start_fails_with_one_line("sidecar_balancer.cli", "relay", "--config", str(path))

    run_scenario(scenario())


@pytest.mark.parametrize(
    "relays",
    [
        "relays = 7",
        "relays = []",
        'relays = ["127.0.0.1:9"]',
        "[[relays]]\nzone = 'a'",
        "[[relays]]\naddress = '127.0.0.1:9'\nzone = 3",
        "[[relays]]\naddress = '127.0.0.1:9'\nspeed = 3",
        "[[relays]]\naddress = '127.0.0.1:9'\n[[relays]]\naddress = '127.0.0.1:9'",
    ],
)
def test_a_sidecar_with_bad_relays_fails_to_start_with_one_line(relays: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        config_path, own_config_path = tmp_path / "config.json", tmp_path / "own.toml"
        sidecar_config = {
            "listen": "127.0.0.1:9",
            "discovery": "127.0.0.1:1",
            "settings": {"lanes": SERVICE_CLASSES},
        }
        config_path.write_text(json.dumps(sidecar_config))
        own_config_path.write_text(relays)
        await assert_start_fails_with_one_line(
            "sidecar_balancer", RELAY_CONFIG=str(config_path), WEIRLOCK_CONFIG=str(own_config_path)
        )

    run_scenario(scenario())
