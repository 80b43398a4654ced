"""Parts of the fan-out bench that run as processes of their own: the registry, and many hollow sidecars.

    scale_hollow.py registry SERVERS           # reads commands, writes JSON lines
    scale_hollow.py sidecars COUNT FIRST SERVERS ADDRESS...

A hollow sidecar is the real module, the real discovery client and the list; it has no clients and no servers.
Clocks are the system's monotonic one, the same in all processes of a machine.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import earlier  # noqa: F401  # makes the tests' stand-ins known
from scale_edge import change, entry

from helpers import settings
from registry import FakeRegistry
from sidecar_balancer import Balancer
from sidecar_balancer.addresses import Address, parse_address
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.sources import RelayAddress, rank_relays
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.types import ListKind

START_SPREAD_S = 3.0  # over which the members of a process begin
RETRY_S = 3.0  # after all sources failed, as the module bounds it


def say(**told: Any) -> None:
    print(json.dumps(told), flush=True)


async def lines() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def run_registry(servers: int) -> None:
    """Hold a list until the input ends: `change N` changes N entries one by one, `calls` tells the calls."""
    registry = FakeRegistry([entry(number) for number in range(servers)], index=1)
    await registry.start()
    say(address="{}:{}".format(*registry.address))
    reader, turn = await lines(), 0
    while line := (await reader.readline()).decode().split():
        if line[0] == "calls":
            say(calls=registry.request_count, cpu_s=time.process_time())
            continue
        times = {}
        for _ in range(int(line[1])):
            turn += 1
            status = "leaving" if (turn // servers) % 2 == 0 else "active"
            index = registry.change(entry(turn * 7919 % servers, status=status))
            times[index] = time.monotonic()
        say(changed=times)
    await registry.end()


@dataclass
class Member:
    """A hollow sidecar, and when it had which index."""

    number: int
    sources: list[Address]
    balancer: Balancer
    applied: list[tuple[float, int, int]] = field(default_factory=list)  # when, from which index, to which
    index: int = 1
    client: DiscoveryClient | None = None

    def start(self) -> None:
        self.client = DiscoveryClient(self.sources, 1, self._on_watch_event)
        self.client.set_watching(True)

    def _on_watch_event(self, update: WatchEvent) -> None:
        loop = asyncio.get_running_loop()
        if not isinstance(update, ListUpdate):
            assert self.client is not None
            loop.call_later(RETRY_S * random.random(), self.client.set_watching, True)
            return
        kind = ListKind.SNAPSHOT if update.complete else ListKind.DELTA
        servers = [each.server for each in update.entries]
        self.balancer.handle(int(loop.time() * 1e6), EndpointListReceived(kind, servers, update.version))
        if update.version != self.index:
            self.applied.append((time.monotonic(), self.index, update.version))
            self.index = update.version


async def run_sidecars(count: int, first: int, servers: int, addresses: list[Address]) -> None:
    """Run members of the tier; `report` tells what each applied since the last report."""
    relays = [RelayAddress(each) for each in addresses]
    given = settings(fleet_size=count)
    known = [entry(number) for number in range(servers)]
    listed = [each.server for each in change(1, *known).entries]
    members = []
    for number in range(first, first + count):
        balancer = Balancer(given, number)
        balancer.handle(0, EndpointListReceived(ListKind.CACHED, listed, 1))
        members.append(Member(number, rank_relays(relays, f"n{number}", ""), balancer))
    loop = asyncio.get_running_loop()
    for each in members:
        loop.call_later(START_SPREAD_S * random.random(), each.start)
    say(started=count)
    reader = await lines()
    while await reader.readline():
        applied = [each.applied for each in members]
        say(applied=applied, cpu_s=time.process_time(), index=[each.index for each in members])
        for each in members:
            each.applied = []


def main() -> None:
    logging.disable(logging.CRITICAL)
    role, *given = sys.argv[1:]
    if role == "registry":
        asyncio.run(run_registry(int(given[0])))
    else:
        addresses = [parse_address(each) for each in given[3:]]
        asyncio.run(run_sidecars(int(given[0]), int(given[1]), int(given[2]), addresses))


if __name__ == "__main__":
    main()
