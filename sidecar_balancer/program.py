"""Entry point of the sidecar process.

SIGHUP reloads the configuration; SIGTERM and SIGINT begin a graceful shutdown.  Exit codes: 0 after a
shutdown, 1 if an address or descriptor can't be used, 2 for an invalid configuration; an error is one line on
standard error.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from functools import partial

from sidecar_balancer.config.loading import read_config
from sidecar_balancer.config.sidecar import SidecarConfig
from sidecar_balancer.config.values import ConfigurationError
from sidecar_balancer.downstream import acceptor, client_connection, response_connection
from sidecar_balancer.observability.logs import LogRateLimiter, configure_logging
from sidecar_balancer.runtime.background import Completion
from sidecar_balancer.runtime.queueing import TimedLoop
from sidecar_balancer.sidecar.sidecar import Sidecar

log = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_CANNOT_SERVE = 1
EXIT_BAD_CONFIGURATION = 2
_MAX_CLIENT_LOG_LINES_PER_S = 10  # limit for modules that face clients: malformed requests would fill the log


async def serve(config: SidecarConfig, limiter: LogRateLimiter) -> None:
    """Run a sidecar until SIGTERM or SIGINT; `limiter` is the log's rate limiter, for the status view."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        # Installed before clients can connect, so that none is left without a response.
        loop.add_signal_handler(stop_signal, stop.set)
    sidecar = Sidecar(config)
    sidecar.admin_handlers.status.log_rate_limiter = limiter
    loop.add_signal_handler(signal.SIGHUP, reload, sidecar)
    await sidecar.run(stop)


def reload(sidecar: Sidecar) -> None:
    """Read the configuration again, off the event loop, and apply it; an invalid one changes nothing.

    RELAY_DISCOVERY still holds the address from startup, so a reload takes the address from the file.
    """
    environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
    sidecar.file_worker.start(partial(read_config, environ), partial(_apply_reload, sidecar))


def _apply_reload(sidecar: Sidecar, completion: Completion[SidecarConfig]) -> None:
    try:
        config = completion.get()
    except (ConfigurationError, OSError) as error:
        _report_failed_reload(error)
    else:
        sidecar.reload(config)


def _report_failed_reload(error: Exception) -> None:
    line = " ".join(str(error).split())
    log.error("bad configuration, keeping the previous one: %s", line, extra={"event": "reload_failed"})


def main() -> int:
    """Run a sidecar and return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # ignored until there is a sidecar to reload
    try:
        config = read_config(os.environ)
    except ConfigurationError as error:
        print(f"bad configuration: {error}".replace("\n", " "), file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    limiter = configure_logging(config.logging, in_background=True)
    client_log_limiter = LogRateLimiter(_MAX_CLIENT_LOG_LINES_PER_S, _MAX_CLIENT_LOG_LINES_PER_S)
    for module in (acceptor, client_connection, response_connection):
        module.log.addFilter(client_log_limiter)
    gc.freeze()  # objects loaded so far stay, so garbage collections can skip them
    gc.enable()
    gc.set_threshold(400, 5, 2)
    gc.set_threshold(700, 10, 10)
    try:
        with asyncio.Runner(loop_factory=TimedLoop) as runner:
            runner.run(serve(config, limiter))
    except OSError as error:
        print(f"can't serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return EXIT_OK
