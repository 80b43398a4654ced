"""The relay process: one watch on the registry or on another relay, served to many sidecars."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import random
import signal
import sys

from sidecar_balancer.admin.server import AdminServer, Route
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.observability.logs import configure_logging
from sidecar_balancer.relay.caller import Caller
from sidecar_balancer.relay.changelog import ChangeLog
from sidecar_balancer.relay.config import RelayConfig, read_relay_config
from sidecar_balancer.relay.service import RelayService
from sidecar_balancer.runtime.queueing import TimedLoop, running_poll_times

log = logging.getLogger(__name__)

UPSTREAM_WAIT_MS = 600  # of the relay's own watch: its news is never older than this and the call
RETRY_S = (0.2, 1.0)  # after a failed call, drawn from this range
_BACKLOG = 1024
_STATUS_EVERY_S = 10.0  # how often the log is told how things stand


class Relay:
    """One relay: its watch, its change log and its callers."""

    def __init__(self, config: RelayConfig) -> None:
        self._config = config
        self._discovery = DiscoveryClient(
            config.upstreams,
            None,
            self._on_watch_event,
            poll_times=running_poll_times(),
            min_wait_ms=UPSTREAM_WAIT_MS,
        )
        self.service = RelayService(ChangeLog(), config.limits, self._discovery.as_of)
        self._retry: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self.door = (
            AdminServer(config.mgmt, {"status": Route("GET", self._tell_status)}) if config.mgmt else None
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, then end all connections: callers turn to another relay."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Caller(self.service), *self._config.listen, backlog=_BACKLOG
        )
        if self.door is not None:
            self.door.start()
        self._discovery.set_watching(True)
        log.info("relay: serving at %s:%d", *self.address(), extra={"event": "relay_start"})
        reporting = loop.create_task(self._report())
        try:
            await stop.wait()
        finally:
            reporting.cancel()
            await self._end()

    def address(self) -> tuple[str, int]:
        """Where callers connect."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def _end(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
        if self._server is not None:
            self._server.close()
        self.service.close()
        await self._discovery.close()
        if self.door is not None:
            self.door.stop()

    def _on_watch_event(self, event: WatchEvent) -> None:
        if isinstance(event, ListUpdate):
            self.service.update(event)
            return
        loop = asyncio.get_running_loop()
        if self._retry is not None:
            self._retry.cancel()
        wait_s = 0.0 if event.timed_out else random.uniform(*RETRY_S)  # silence took its time already
        self._retry = loop.call_later(wait_s, self._discovery.set_watching, True)

    def _tell_status(self, _: str) -> str:
        source = self._discovery.status()
        return json.dumps({"source": source.address, "sources": source.sources, **self.service.status()})

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(_STATUS_EVERY_S)
            log.info("relay: %s", self._tell_status(""), extra={"event": "relay_state"})


async def _serve(config: RelayConfig) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, stop.set)
    await Relay(config).run(stop)


def main(path: str) -> int:
    """Run a relay by the file at `path`; return the exit code: 2 for a bad configuration, in one line."""
    try:
        config = read_relay_config(path)
    except (OSError, ValueError) as bad:
        print(f"bad configuration: {bad}".replace("\n", " "), file=sys.stderr)
        return 2
    configure_logging(config.logging)
    gc.freeze()
    try:
        with asyncio.Runner(loop_factory=TimedLoop) as runner:
            runner.run(_serve(config))
    except OSError as fault:
        print(f"can't serve: {fault}", file=sys.stderr)
        return 1
    return 0
