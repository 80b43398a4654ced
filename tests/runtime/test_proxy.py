"""Responses that the sidecar gives by itself."""

from __future__ import annotations

import asyncio

from loopback import http_response, request, run_scenario, running_sidecar, send_request
from sidecar_balancer.policy.actions import Reject
from sidecar_balancer.policy.events import RequestReceived


def served(*_: object) -> bytes:
    return http_response(200, b"served")


def test_request_without_servers_is_rejected_at_once_while_readiness_holds() -> None:
    async def scenario() -> None:
        async with running_sidecar() as environment:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            assert (await environment.send_request(budget="30"))[0] == 503
            assert loop.time() - started_at < 15.0
            assert (await send_request(environment.sidecar.frontend.address, request(path="/health/ready")))[
                0
            ] == 200

    run_scenario(scenario())


def test_rejection_carries_retry_after() -> None:
    async def scenario() -> None:
        async with running_sidecar(served) as environment:
            environment.sidecar.engine.balancer.handle = lambda _now, event: (  # type: ignore[method-assign, assignment]
                [Reject(event.request, 250_000)] if isinstance(event, RequestReceived) else []
            )
            status, headers, _ = await environment.send_request()
            assert status == 503
            assert float(headers["retry-after"]) == 0.25

    run_scenario(scenario())
