"""Closed-loop clients: each sends its next request as soon as it has the response to the last."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from harness import Tier
from stub_servers import read_message

RESPONSE_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.01  # a client's pause after a response other than 200
_NEVER = 10**9


class ResponseRecord(NamedTuple):
    """Outcome of one request."""

    at_s: float  # end of the request, on the event loop's clock
    took_s: float
    status: int  # 0: the connection failed, or no response came within the timeout
    server: str
    sidecar: int


class _Streams(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass
class LoadGenerator:
    """Load of `clients` clients per sidecar; one request in `requests_per_payment` is non-idempotent."""

    tier: Tier
    clients: int = 4
    requests_per_payment: int = 6
    seed: int = 1
    responses: list[ResponseRecord] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _arrived: asyncio.Event = field(default_factory=asyncio.Event)
    _stopping: bool = False

    def start(self, sidecars: Iterable[int] | None = None) -> None:
        """Start the clients of these sidecars (None: of all)."""
        for sidecar in self.tier.processes if sidecars is None else sidecars:
            for client in range(self.clients):
                rng = random.Random(f"{self.seed}/{sidecar}/{client}")
                self._tasks.append(asyncio.create_task(self._run_client(sidecar, rng)))

    async def stop(self) -> None:
        """Stop each client after its current response."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def send_only_idempotent(self) -> None:
        """Send no more non-idempotent requests."""
        self.requests_per_payment = _NEVER

    async def wait_for_responses(self, count: int) -> None:
        """Wait until `count` more requests have ended."""
        target = len(self.responses) + count
        while len(self.responses) < target:
            self._arrived.clear()
            await self._arrived.wait()

    def since(self, at_s: float) -> list[ResponseRecord]:
        """Return the outcomes at or after this time on the event loop's clock."""
        return [response for response in self.responses if response.at_s >= at_s]

    async def _run_client(self, sidecar: int, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        streams: _Streams | None = None
        while not self._stopping:
            is_payment = rng.randrange(self.requests_per_payment) == 0
            call_id = f"{sidecar:02x}{rng.getrandbits(56):014x}"
            started_s, status, server = loop.time(), 0, ""
            try:
                if streams is None:
                    streams = _Streams(*await asyncio.open_connection(*self.tier.client_addresses[sidecar]))
                streams.writer.write(_request(is_payment, call_id))
                response = await asyncio.wait_for(read_message(streams.reader), RESPONSE_TIMEOUT_S)
                status = int(response.first_line.split(" ")[1])
                server = response.body.decode("latin-1")
                if response.headers.get("connection") == "close":
                    streams.writer.close()
                    streams = None
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                if streams is not None:
                    streams.writer.close()
                streams = None
            took_s = loop.time() - started_s
            self.responses.append(ResponseRecord(loop.time(), took_s, status, server, sidecar))
            self._arrived.set()
            if status != 200:
                await asyncio.sleep(RETRY_PAUSE_S)
        if streams is not None:
            streams.writer.close()


def _request(is_payment: bool, call_id: str) -> bytes:
    service_class, method = ("pay", "POST") if is_payment else ("look", "GET")
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: app",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {service_class}",
        "X-Budget: 2.0",
        "Content-Length: 0",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
