"""The relay process: watches the registry or another relay and serves the list to many sidecars."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import random
import signal
import sys

from sidecar_balancer.addresses import Address
from sidecar_balancer.admin.server import AdminServer, Route
from sidecar_balancer.discovery.client import DiscoveryClient
from sidecar_balancer.discovery.endpoint_list import ListUpdate
from sidecar_balancer.discovery.watch_events import WatchEvent
from sidecar_balancer.observability.logs import configure_logging
from sidecar_balancer.relay.change_log import ChangeLog
from sidecar_balancer.relay.config import RelayConfig, read_relay_config
from sidecar_balancer.relay.connection import CallerConnection
from sidecar_balancer.relay.errors import NotServingError
from sidecar_balancer.relay.service import RelayService
from sidecar_balancer.runtime.queueing import TimedLoop, running_poll_times

log = logging.getLogger(__name__)

UPSTREAM_WAIT_MS = 600  # shortest wait of the relay's polls; with a poll's duration it bounds the list's age
RETRY_RANGE_S = (0.2, 1.0)  # range of the random delay after a failed poll
_LISTEN_BACKLOG = 1024
_STATUS_LOG_INTERVAL_S = 10.0


class Relay:
    """One relay: its watch, its change log and its callers' connections."""

    def __init__(self, config: RelayConfig) -> None:
        self._listen = config.listen
        self.discovery = DiscoveryClient(
            config.upstreams,
            None,
            self._on_watch_event,
            poll_times=running_poll_times(),
            min_wait_ms=UPSTREAM_WAIT_MS,
        )
        self.service = RelayService(ChangeLog(), config.limits, self.discovery.as_of)
        self._retry: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._admin_server: AdminServer | None = None
        if config.admin_address is not None:
            self._admin_server = AdminServer(
                config.admin_address, {"status": Route("GET", self._status_json)}
            )

    @property
    def is_serving(self) -> bool:
        """Whether the relay has started to listen; this stays true after it has stopped."""
        return self._server is not None

    def address(self) -> Address:
        """Return the address that callers connect to; raise NotServingError before the relay listens."""
        if self._server is None:
            raise NotServingError("the relay is not listening yet")
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then close all connections, so that callers turn to another relay."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self.service), *self._listen, backlog=_LISTEN_BACKLOG
        )
        if self._admin_server is not None:
            self._admin_server.start()
        self.discovery.set_watching(True)
        log.info("relay: serving at %s:%d", *self.address(), extra={"event": "relay_start"})
        status_task = loop.create_task(self._log_status())
        try:
            await stop.wait()
        finally:
            status_task.cancel()
            await self._end()

    async def _end(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
        if self._server is not None:
            self._server.close()
        self.service.close()
        await self.discovery.close()
        if self._admin_server is not None:
            self._admin_server.stop()

    def _on_watch_event(self, event: WatchEvent) -> None:
        if isinstance(event, ListUpdate):
            self.service.apply_update(event)
            return
        if self._retry is not None:
            self._retry.cancel()
        wait_s = 0.0 if event.timed_out else random.uniform(*RETRY_RANGE_S)  # a timed-out poll has waited
        loop = asyncio.get_running_loop()
        self._retry = loop.call_later(wait_s, self.discovery.set_watching, True)

    def _status_json(self, _: str = "") -> str:
        source = self.discovery.status()
        return json.dumps({"source": source.address, "sources": source.sources, **self.service.status()})

    async def _log_status(self) -> None:
        while True:
            await asyncio.sleep(_STATUS_LOG_INTERVAL_S)
            log.info("relay: %s", self._status_json(), extra={"event": "relay_state"})


async def _serve(config: RelayConfig) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await Relay(config).run(stop)


def main(path: str) -> int:
    """Run a relay with the configuration file at `path`.

    Returns:
        The exit code: 2 for a bad configuration, 1 if the relay can't serve, each with one line on standard
        error.
    """
    try:
        config = read_relay_config(path)
    except (OSError, ValueError) as error:
        print(f"bad configuration: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    configure_logging(config.logging, in_background=True)
    gc.freeze()
    try:
        with asyncio.Runner(loop_factory=TimedLoop) as runner:
            runner.run(_serve(config))
    except OSError as error:
        print(f"can't serve: {error}", file=sys.stderr)
        return 1
    return 0
