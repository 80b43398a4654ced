"""Rate-limited log on standard error, as JSON lines or plain text.

A JSON line has `ts` (UTC), `level`, `event` (a fixed name for each kind of line), `subsystem`, `msg` (the
text) and the fields of its event, such as `request`, `server` or `took_ms`; docs/on-call.md lists the events.
A log call passes the event and its fields as `extra`.
"""

from __future__ import annotations

import json
import logging
import sys
from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime

from sidecar_balancer.observability.background_log import BackgroundHandler

LEVELS = ("debug", "info", "warning", "error")
FORMATS = ("json", "plain")
_PACKAGE_PREFIX = "sidecar_balancer."
_FIELDS = ("request", "class", "server", "zone", "status", "took_ms", "attempts", "answered", "suppressed")


@dataclass(frozen=True, slots=True)
class LogConfig:
    """Log level, format and rate limits."""

    level: str = "info"
    format: str = ""  # "" means plain on a terminal, else JSON
    lines_per_s: int = 50  # limit for all events together
    repeats_per_s: int = 20  # limit for each event


class LogRateLimiter(logging.Filter):
    """Limits the log lines per second, in total and per event, and counts those it suppresses.

    The next line of an event that passes reports the count.  The limits keep malformed input, or a fault that
    affects every request, from filling the log.
    """

    def __init__(self, max_lines_per_s: int, max_repeats_per_s: int) -> None:
        super().__init__()
        self._max_lines_per_s = max_lines_per_s
        self._max_repeats_per_s = max_repeats_per_s
        self._second = 0
        self._lines = 0  # lines in the current second; `_repeats` counts those of each event
        self._repeats = Counter[str]()
        self._unreported = Counter[str]()  # suppressed lines by event, not reported yet
        self.suppressed = 0  # lines suppressed since startup

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to log the record; if so, add the count of its event's lines suppressed before."""
        if int(record.created) != self._second:
            self._second, self._lines = int(record.created), 0
            self._repeats.clear()
        event = event_of(record)
        self._lines += 1
        self._repeats[event] += 1
        if self._lines > self._max_lines_per_s or self._repeats[event] > self._max_repeats_per_s:
            self.suppressed += 1
            self._unreported[event] += 1
            return False
        if (count := self._unreported.pop(event, 0)) > 0:
            record.suppressed = count
        return True


def event_of(record: logging.LogRecord) -> str:
    """Return the record's event, or its logger's name if it has none, as in lines of other packages."""
    return str(getattr(record, "event", "") or record.name)


def configure_logging(config: LogConfig, in_background: bool = False) -> LogRateLimiter:
    """Set up logging to standard error.

    Args:
        config: Log level, format and rate limits.
        in_background: Whether a thread writes the lines, so that no caller waits for whoever reads them.

    Returns:
        The rate limiter, which counts suppressed lines.
    """
    is_plain = config.format == "plain" or (not config.format and sys.stderr.isatty())
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        _PlainFormatter("%(asctime)s %(name)s %(message)s") if is_plain else _JsonFormatter()
    )
    if in_background:
        handler = BackgroundHandler(handler)
    limiter = LogRateLimiter(config.lines_per_s, config.repeats_per_s)
    handler.addFilter(limiter)
    logging.basicConfig(level=config.level.upper(), handlers=[handler], force=True)
    return limiter


class _PlainFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        suppressed = getattr(record, "suppressed", 0)
        return super().format(record) + (f" (similar lines suppressed: {suppressed})" if suppressed else "")


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        """Return a JSON object with the fields of a line in the order of output."""
        fields = {
            "ts": datetime.fromtimestamp(record.created, UTC).isoformat().replace("+00:00", "Z"),
            "level": record.levelname.lower(),
            "event": event_of(record),
            "subsystem": record.name.removeprefix(_PACKAGE_PREFIX),
            "msg": record.getMessage(),
        }
        fields |= {name: getattr(record, name) for name in _FIELDS if hasattr(record, name)}
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=repr)
