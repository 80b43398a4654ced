"""Relays as processes: a registry stand-in, relays and sidecars, with faults between.

No time is measured here; what must come within 6 s is shown on a clock of its own in
tests/relay/test_relay.py.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tomllib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from harness import PATIENCE_S, ROOT, Address, free_ports, new_host, text
from loopback import ask, play
from registry import FakeRegistry, entry

LANES = [{"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"}]


async def until(condition: Callable[[], Any]) -> None:
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(2 * PATIENCE_S):
        while not await condition():
            await asyncio.sleep(0.05)


class Process:
    """A relay or a sidecar, and the operators' door that it has."""

    def __init__(self, name: str, listen: Address, door: Address) -> None:
        self.name, self.listen, self.door = name, listen, door
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *command: str, **environ: str) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *command,
            cwd=ROOT,
            env=os.environ | environ,
            stderr=asyncio.subprocess.DEVNULL,
        )

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()

    async def get(self, path: str) -> dict[str, Any] | None:
        """Ask the door; None where it does not answer."""
        call = f"GET /api/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        try:
            status, _, body = await asyncio.wait_for(ask(self.door, call), 2.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        return json.loads(body) if status == 200 and body.startswith(b"{") else None


class RelayTier:
    """A registry, relays and sidecars."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.registry = FakeRegistry([entry("s-0"), entry("s-1")])
        self.relays: list[Process] = []
        self.sidecars: list[Process] = []

    async def open(self, relays: int, sidecars: int) -> None:
        await self.registry.start()
        ports = free_ports(new_host(), 2 * (relays + sidecars))
        for number in range(relays):
            self.relays.append(Process(f"relay-{number}", ports.pop(), ports.pop()))
            await self.start_relay(number)
        await until(self.relays_know)
        for number in range(sidecars):
            sidecar = Process(f"sidecar-{number}", ports.pop(), ports.pop())
            self.sidecars.append(sidecar)
            await self.start_sidecar(sidecar)
        await self.in_force("s-0", "ready")

    async def relays_know(self) -> bool:
        told = [await each.get("status") for each in self.relays]
        return all(each is not None and each["index"] is not None for each in told)

    async def start_relay(self, number: int) -> None:
        relay = self.relays[number]
        path = self.folder / f"{relay.name}.toml"
        lines = [
            f'listen = "{text(relay.listen)}"',
            f'upstreams = ["{text(self.registry.address)}"]',
            f'mgmt = "{text(relay.door)}"',
        ]
        path.write_text("\n".join(lines))
        await relay.start("sidecar_balancer.cli", "relay", "--config", str(path))

    async def start_sidecar(self, sidecar: Process) -> None:
        platform = {
            "name": sidecar.name,
            "listen": text(sidecar.listen),
            "discovery": "127.0.0.1:1",  # nobody is there: the list comes by the relays alone
            "mgmt": text(sidecar.door),
            "seed": "7",
            "settings": {"lanes": LANES, "discovery": "on_request"},
        }
        config, own = self.folder / f"{sidecar.name}.json", self.folder / f"{sidecar.name}.toml"
        config.write_text(json.dumps(platform))
        own.write_text("".join(f'[[relays]]\naddress = "{text(each.listen)}"\n' for each in self.relays))
        assert len(tomllib.loads(own.read_text())["relays"]) == len(self.relays)
        await sidecar.start("sidecar_balancer", RELAY_CONFIG=str(config), WEIRLOCK_CONFIG=str(own))

    async def states(self, name: str) -> list[str | None]:
        told = [await each.get("servers") for each in self.sidecars]
        return [None if each is None or name not in each else each[name]["state"] for each in told]

    async def in_force(self, name: str, state: str | None) -> None:
        """Wait until every sidecar has a server in that state (None: it has left the list)."""

        async def holds() -> bool:
            told = [await each.get("servers") for each in self.sidecars]
            known = [each is not None and (each.get(name) or {}).get("state") == state for each in told]
            return all(known)

        await until(holds)

    async def sources(self) -> list[str]:
        told = [await each.get("status") for each in self.sidecars]
        return [each["discovery"]["address"] for each in told if each is not None]

    async def close(self) -> None:
        for each in (*self.sidecars, *self.relays):
            await each.end()
        await self.registry.end()


@contextlib.asynccontextmanager
async def tier(folder: Path, relays: int, sidecars: int = 3) -> AsyncIterator[RelayTier]:
    made = RelayTier(folder)
    try:
        await made.open(relays, sidecars)
        yield made
    finally:
        await made.close()


def test_a_killed_relay_is_left_and_comes_back_with_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(tmp_path, relays=2) as t:
            t.relays[0].signal(signal.SIGKILL)
            t.registry.change(entry("s-0", status="leaving"))
            await t.in_force("s-0", "draining")
            assert set(await t.sources()) == {text(t.relays[1].listen)}
            await t.relays[0].end()
            await t.start_relay(0)
            await until(t.relays_know)
            t.relays[1].signal(signal.SIGKILL)
            t.registry.change(entry("s-1", status="leaving"))
            await t.in_force("s-1", "draining")

    play(scene())


def test_a_stopped_relay_is_left_and_its_old_news_are_not_taken_when_it_wakes(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(tmp_path, relays=2) as t:
            t.relays[0].signal(signal.SIGSTOP)
            t.registry.change(entry("s-0", status="leaving"))
            await t.in_force("s-0", "draining")
            t.registry.change(entry("s-0", status="left"), entry("s-2"))
            await t.in_force("s-2", "ready")
            t.relays[0].signal(signal.SIGCONT)
            t.relays[1].signal(signal.SIGKILL)
            t.registry.change(entry("s-3"))
            await t.in_force("s-3", "ready")
            assert await t.states("s-0") == [None] * 3

    play(scene())


def test_a_registry_that_restarts_with_a_lower_index_is_followed_by_all(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(tmp_path, relays=2) as t:
            await t.registry.go_down()
            t.registry.restart(3, [entry("s-1"), entry("s-9")])
            assert await t.states("s-0") == ["ready"] * 3  # they serve on by what they hold
            await t.registry.start()
            await t.in_force("s-9", "ready")
            await t.in_force("s-0", None)
            t.registry.change(entry("s-1", status="leaving"))
            await t.in_force("s-1", "draining")

    play(scene())


def test_the_door_tells_source_index_and_age(tmp_path: Path) -> None:
    async def scene() -> None:
        async with tier(tmp_path, relays=1, sidecars=1) as t:
            index = t.registry.change(entry("s-0", status="leaving"))
            await t.in_force("s-0", "draining")
            told = await t.sidecars[0].get("status")
            assert told is not None
            discovery = told["discovery"]
            assert (discovery["address"], discovery["index"]) == (text(t.relays[0].listen), index)
            assert 0.0 <= discovery["age_s"] < PATIENCE_S and discovery["sources"] == 1
            relay = await t.relays[0].get("status")
            assert relay is not None and relay["index"] == index and relay["servers"] == 2

    play(scene())


async def ends_with_one_line(*command: str, **environ: str) -> None:
    """Start a program with a bad configuration: it ends with exit code 2 and says why in one line."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", *command),
        cwd=ROOT,
        env=os.environ | environ,
        stderr=asyncio.subprocess.PIPE,
    )
    _, said = await asyncio.wait_for(process.communicate(), PATIENCE_S)
    assert process.returncode == 2
    assert said.startswith(b"bad configuration: ") and said.count(b"\n") == 1


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
def test_a_bad_configuration_of_a_relay_ends_its_start_with_one_line(config: str, tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "relay.toml"
        path.write_text(config)
        await ends_with_one_line("sidecar_balancer.cli", "relay", "--config", str(path))

    play(scene())


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
def test_bad_relays_of_a_sidecar_end_its_start_with_one_line(relays: str, tmp_path: Path) -> None:
    async def scene() -> None:
        config, own = tmp_path / "config.json", tmp_path / "own.toml"
        given = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:1", "settings": {"lanes": LANES}}
        config.write_text(json.dumps(given))
        own.write_text(relays)
        await ends_with_one_line("sidecar_balancer", RELAY_CONFIG=str(config), WEIRLOCK_CONFIG=str(own))

    play(scene())
