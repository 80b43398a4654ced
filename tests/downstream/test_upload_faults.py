"""Soak of long request bodies under a seeded mix of faults at servers and clients.

Three seeds run by default; a longer run has UPLOAD_SOAK_SEEDS=NUMBER in its environment.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
from dataclasses import dataclass, field

import pytest

from loopback import SidecarEnvironment, http_response, read_response, reset_connection, run_scenario
from raw_server import (
    Reader,
    Writer,
    connect_client,
    framed_request,
    read_body,
    read_head,
    sidecar_with_raw_server,
)

SEEDS = int(os.environ.get("UPLOAD_SOAK_SEEDS", "3"))
REQUESTS = 48
CONCURRENT_REQUESTS = 8
ENDPOINTS = 6
BUDGET_S = 1.0
LARGEST_PARTIAL_READ = 400_000
SERVER_FAULTS = ("none", "none", "none", "slow", "reset", "reset", "reset within", "reject", "hang")
BODY_SIZES = (70_000, 200_000, 600_000)
FORMS = ("length", "chunks", "small chunks")
DISCONNECT_RATIO = 0.1


@dataclass
class Soak:
    """The requests of one seed: what their clients sent, and what the servers executed.

    Attributes:
        rng: The source of all draws.
        bodies: The body that a client sent, by the request's id.
        executed: The bodies that servers executed, by the request's id.
        statuses: The status of the response, by the request's id; None for a client that disconnected.
    """

    rng: random.Random
    bodies: dict[str, bytes] = field(default_factory=dict)
    executed: dict[str, list[bytes]] = field(default_factory=dict)
    statuses: dict[str, int | None] = field(default_factory=dict)

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Serve one connection, with a fault drawn for each of its requests."""
        while True:
            fault = self.rng.choice(SERVER_FAULTS)
            if fault == "reset":
                reset_connection(writer)
                return
            head = await read_head(reader)
            if fault == "hang":
                await asyncio.Event().wait()
            elif fault == "reject":
                writer.write(http_response(503, X_Rejected="1", Connection="close"))
                return
            elif fault == "reset within":
                await reader.read(self.rng.randrange(1, LARGEST_PARTIAL_READ))
                reset_connection(writer)
                return
            elif fault == "slow":
                await asyncio.sleep(0.2 * self.rng.random())
            await self._execute(head, reader, writer)

    async def _execute(self, head: str, reader: Reader, writer: Writer) -> None:
        request_id = head.split("x-call-id: ")[1].split("\r")[0]
        body = await read_body(head, reader)  # raises if the body breaks off: then nothing was executed
        self.executed.setdefault(request_id, []).append(body)
        writer.write(http_response())

    async def send(self, environment: SidecarEnvironment, request_id: str) -> None:
        """Send one request, some of them only in part, and record the response."""
        body = self.bodies[request_id] = self.rng.randbytes(self.rng.choice(BODY_SIZES))
        data = framed_request(body, self.rng.choice(FORMS), str(BUDGET_S), request_id)
        disconnects = self.rng.random() < DISCONNECT_RATIO
        reader, writer = await connect_client(environment)
        with contextlib.suppress(ConnectionError):  # the response may come before the end of the body
            if disconnects:
                writer.write(data[: self.rng.randrange(len(data))])
                await asyncio.sleep(0.05 * self.rng.random())
                self.statuses[request_id] = None
            else:
                writer.write(data)
                self.statuses[request_id] = (await read_response(reader))[0]
        writer.close()

    async def send_all(self, environment: SidecarEnvironment) -> None:
        """Send all requests, a limited number of them at a time."""
        slots = asyncio.Semaphore(CONCURRENT_REQUESTS)

        async def send_in_turn(request_id: str) -> None:
            async with slots:
                await self.send(environment, request_id)

        await asyncio.gather(*(send_in_turn(f"{number:016x}") for number in range(REQUESTS)))


# Guards against bodies that are altered or executed twice, and against requests without a final answer.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_each_request_has_one_answer_and_runs_as_sent_or_not_at_all(seed: int) -> None:
    async def scenario() -> None:
        soak = Soak(random.Random(seed))
        async with sidecar_with_raw_server(soak.serve, ENDPOINTS, graceful_shutdown=True) as (environment, _):
            await soak.send_all(environment)
        assert len(soak.statuses) == REQUESTS
        assert set(soak.statuses.values()) <= {200, 500, 503, None}
        for request_id, executed in soak.executed.items():
            assert executed == [soak.bodies[request_id]]
        delivered = {request_id for request_id, status in soak.statuses.items() if status == 200}
        assert delivered
        assert delivered <= soak.executed.keys()

    run_scenario(scenario())
