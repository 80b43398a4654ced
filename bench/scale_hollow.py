"""Worker processes of the fan-out benchmark: the registry, and many hollow sidecars.

    scale_hollow.py registry SERVERS           # reads commands, writes JSON lines
    scale_hollow.py sidecars COUNT FIRST SERVERS ADDRESS...

A hollow sidecar consists of the real balancer, the real discovery client and the endpoint list, without
clients and servers.  Times are from the system's monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import bench_support  # noqa: F401  # puts tests/support on the import path
from scale_edge import delta_update, endpoint_entry

from policy_settings import settings
from registry import FakeRegistry
from sidecar_balancer.addresses import Address, parse_address
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.sources import RelayAddress, rank_relays
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import EndpointListReceived
from sidecar_balancer.policy.types import ListKind

START_SPREAD_S = 3.0  # the sidecars of a process start at random times within this span
MAX_RETRY_DELAY_S = 3.0  # longest wait after all sources failed; the same bound as in the balancer


def print_json(**values: Any) -> None:
    print(json.dumps(values), flush=True)


async def input_lines() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def run_registry(servers: int) -> None:
    """Serve a list until the input ends: `change N` makes N changes in turn, `calls` reports requests."""
    registry = FakeRegistry([endpoint_entry(number) for number in range(servers)], index=1)
    await registry.start()
    print_json(address="{}:{}".format(*registry.address))
    reader, change_count = await input_lines(), 0
    while command := (await reader.readline()).decode().split():
        if command[0] == "calls":
            print_json(calls=registry.request_count, cpu_s=time.process_time())
            continue
        changed_at = {}
        for _ in range(int(command[1])):
            change_count += 1
            status = "leaving" if (change_count // servers) % 2 == 0 else "active"
            index = registry.change(endpoint_entry(change_count * 7919 % servers, status=status))
            changed_at[index] = time.monotonic()
        print_json(changed=changed_at)
    await registry.end()


class AppliedUpdate(NamedTuple):
    """The time at which a sidecar went from one index to another."""

    at_s: float
    from_index: int
    to_index: int


@dataclass
class HollowSidecar:
    """A sidecar without clients and servers, which records when it applied which index."""

    number: int
    sources: list[Address]
    balancer: Balancer
    applied: list[AppliedUpdate] = field(default_factory=list)  # updates applied since the last report
    index: int = 1
    client: DiscoveryClient | None = None

    def start(self) -> None:
        self.client = DiscoveryClient(self.sources, 1, self._on_watch_event)
        self.client.set_watching(True)

    def _on_watch_event(self, event: WatchEvent) -> None:
        loop = asyncio.get_running_loop()
        if not isinstance(event, ListUpdate):
            assert self.client is not None
            loop.call_later(MAX_RETRY_DELAY_S * random.random(), self.client.set_watching, True)
            return
        kind = ListKind.SNAPSHOT if event.complete else ListKind.DELTA
        servers = [listed.server for listed in event.entries]
        self.balancer.handle(int(loop.time() * 1e6), EndpointListReceived(kind, servers, event.version))
        if event.version != self.index:
            self.applied.append(AppliedUpdate(time.monotonic(), self.index, event.version))
            self.index = event.version


async def run_sidecars(count: int, first: int, servers: int, addresses: list[Address]) -> None:
    """Run hollow sidecars; each line of input is answered with the updates applied since the last report."""
    relays = [RelayAddress(address) for address in addresses]
    balancer_settings = settings(fleet_size=count)
    initial_entries = [endpoint_entry(number) for number in range(servers)]
    initial_servers = [listed.server for listed in delta_update(1, *initial_entries).entries]
    sidecars = []
    for number in range(first, first + count):
        balancer = Balancer(balancer_settings, number)
        balancer.handle(0, EndpointListReceived(ListKind.CACHED, initial_servers, 1))
        sidecars.append(HollowSidecar(number, rank_relays(relays, f"n{number}", ""), balancer))
    loop = asyncio.get_running_loop()
    for sidecar in sidecars:
        loop.call_later(START_SPREAD_S * random.random(), sidecar.start)
    print_json(started=count)
    reader = await input_lines()
    while await reader.readline():
        applied = [sidecar.applied for sidecar in sidecars]
        print_json(applied=applied, cpu_s=time.process_time(), index=[sidecar.index for sidecar in sidecars])
        for sidecar in sidecars:
            sidecar.applied = []


def main() -> None:
    logging.disable(logging.CRITICAL)
    role, *arguments = sys.argv[1:]
    if role == "registry":
        asyncio.run(run_registry(int(arguments[0])))
    else:
        addresses = [parse_address(argument) for argument in arguments[3:]]
        asyncio.run(run_sidecars(int(arguments[0]), int(arguments[1]), int(arguments[2]), addresses))


if __name__ == "__main__":
    main()
