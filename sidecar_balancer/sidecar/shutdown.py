"""Graceful shutdown of the client connections."""

from __future__ import annotations

import asyncio
import logging

from sidecar_balancer.admin.drain import IDLE_CLOSE_DELAY_S
from sidecar_balancer.downstream.frontend import Frontend
from sidecar_balancer.proxy.proxy import Proxy

log = logging.getLogger(__name__)

_ACCEPT_WHILE_DRAINING_S = 0.5  # clients open connections for up to 0.4 s after SIGTERM
_MAX_ACCEPT_S = 1.0  # drain time up to which connections that wait for capacity are accepted or refused
_ANSWER_MARGIN_S = 0.1  # time before the drain's end for the answers of those accepted last
_UNUSED_CONNECTION_GRACE_S = 0.65  # drain time after which connections that have carried no request close too
_MAX_DEADLINE_S = 3.0  # the platform does not wait for longer deadlines
_DRAIN_MARGIN_S = 0.62  # drain time after the longest deadline; the platform kills the process 0.7 s after it
_FLUSH_TIMEOUT_S = 0.05  # time for writing the last responses after the drain
_POLL_S = 0.02


async def drain_clients(
    frontend: Frontend, proxy: Proxy, longest_deadline_s: float, is_takeover: bool
) -> None:
    """Serve the requests in flight and those of clients that connect late, then close all connections.

    Args:
        frontend: The client connections.
        proxy: The requests in flight; those without a response at the end are failed.
        longest_deadline_s: The longest deadline of a service class.
        is_takeover: Whether the listening socket is shared with the next process, which accepts new
            connections from now on.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    deadline = started_at + min(longest_deadline_s, _MAX_DEADLINE_S) + _DRAIN_MARGIN_S
    in_flight = len(proxy.by_client_request)
    log.info("draining: %d requests in flight", in_flight, extra={"event": "drain_started"})
    if is_takeover:
        frontend.stop_listening(accept_pending=False)
        frontend.drain(IDLE_CLOSE_DELAY_S)
    else:
        frontend.drain()
        await asyncio.sleep(_ACCEPT_WHILE_DRAINING_S)
        await _accept_waiting(frontend, min(started_at + _MAX_ACCEPT_S, deadline - _ANSWER_MARGIN_S))
        frontend.stop_listening()
    while not frontend.is_empty() and loop.time() < deadline:
        await asyncio.sleep(_POLL_S)
        if loop.time() >= started_at + _UNUSED_CONNECTION_GRACE_S:
            frontend.close_idle(only_used=False)
    proxy.fail_all()
    await frontend.close(_FLUSH_TIMEOUT_S)
    log.info("drain completed", extra={"event": "drain_completed"})


async def _accept_waiting(frontend: Frontend, until: float) -> None:
    """Go on while connections wait, as the end of the listening socket would reset them unanswered."""
    loop = asyncio.get_running_loop()
    while frontend.has_waiting_connections() and loop.time() < until:  # noqa: ASYNC110  # the kernel tells no end
        await asyncio.sleep(_POLL_S)
