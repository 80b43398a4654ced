"""Responses that the sidecar gives by itself."""

from __future__ import annotations

import asyncio

from loopback import answer, ask, play, request, world
from sidecar_balancer.policy.actions import Reject
from sidecar_balancer.policy.events import RequestReceived


def served(*_: object) -> bytes:
    return answer(200, b"served")


def test_request_without_servers_is_rejected_at_once_while_readiness_holds() -> None:
    async def scenario() -> None:
        async with world() as w:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            assert (await w.ask(budget="30"))[0] == 503
            assert loop.time() - started_at < 15.0
            assert (await ask(w.sidecar.frontend.address, request(path="/health/ready")))[0] == 200

    play(scenario())


def test_rejection_carries_retry_after() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            w.sidecar.engine.balancer.handle = lambda _now, event: (  # type: ignore[method-assign, assignment]
                [Reject(event.request, 250_000)] if isinstance(event, RequestReceived) else []
            )
            status, headers, _ = await w.ask()
            assert status == 503
            assert float(headers["retry-after"]) == 0.25

    play(scenario())
