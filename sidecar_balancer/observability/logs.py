"""The log on standard error: JSON lines through structlog over stdlib logging, or plain text for a person.

A JSON line holds `ts` (UTC), `level`, `event` (a name that stays the same from line to line), `subsystem`,
`msg` (the words) and what the line is about: `request`, `class`, `server`, `took_ms`, `suppressed`, ...
where it is so. docs/on-call.md lists the events.
"""

from __future__ import annotations

import logging
import re
import sys
from collections.abc import MutableMapping
from dataclasses import dataclass
from typing import Any

LEVELS = ("debug", "info", "warning", "error")
FORMATS = ("json", "plain")


@dataclass(frozen=True, slots=True)
class LogConfig:
    """The operators' `logging` object."""

    level: str = "info"
    format: str = ""  # "": plain on a terminal, else JSON
    lines_per_s: int = 50  # in all
    repeats_per_s: int = 20  # of one event


class LogRateLimiter(logging.Filter):
    """Lets through so many lines a second, and so many of one event; tells later how many it kept back.

    Guards against junk from outside that would fill the log, and against a day on which all goes wrong.
    """

    def __init__(self, lines: int, repeats: int) -> None:
        super().__init__()
        self._lines_most, self._repeats_most = lines, repeats
        self._second = self._lines = 0
        self._repeats: dict[str, int] = {}
        self._kept_back: dict[str, int] = {}
        self.suppressed = 0  # since the start

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self._second:
            self._second, self._lines = int(record.created), 0
            self._repeats.clear()
        event = event_of(record)
        self._lines += 1
        seen = self._repeats[event] = self._repeats.get(event, 0) + 1
        if self._lines > self._lines_most or seen > self._repeats_most:
            self.suppressed += 1
            self._kept_back[event] = self._kept_back.get(event, 0) + 1
            return False
        if (kept_back := self._kept_back.pop(event, 0)) > 0:
            record.suppressed = kept_back
        return True


_DIRECTIVES = re.compile(r"%[-+#0-9.*]*[a-zA-Z]")
_GAPS = re.compile(r"[^a-z0-9]+")
_names: dict[str, str] = {}


def event_of(record: logging.LogRecord) -> str:
    """The event's name: the record's `event` (`extra={"event": ...}`), else its unformatted words as one."""
    event = getattr(record, "event", "")
    if event:
        return str(event)
    template = str(record.msg)
    name = _names.get(template)
    if name is None:
        name = _GAPS.sub("_", _DIRECTIVES.sub(" ", template).lower()).strip("_")[:48].rstrip("_") or "line"
        if len(_names) < 1024:
            _names[template] = name
    return name


class _Plain(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        kept_back = getattr(record, "suppressed", 0)
        return super().format(record) + (f" ({kept_back} like it kept back)" if kept_back else "")


def _json() -> logging.Formatter:
    import structlog  # a dozen ms of CPU: only where it writes the log

    def named(_: Any, __: str, event: MutableMapping[str, Any]) -> dict[str, Any]:
        record = event["_record"]
        own = {"event": event_of(record), "subsystem": record.name.removeprefix("sidecar_balancer.")}
        told = {"msg": event.pop("event")} | {key: event[key] for key in _EXTRAS if key in event}
        if "exception" in event:
            told["exception"] = event["exception"]
        return {"ts": event["ts"], "level": event["level"]} | own | told

    chain: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
        structlog.stdlib.ExtraAdder(allow=_EXTRAS),
    ]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=chain,
        processors=[structlog.processors.format_exc_info, named, structlog.processors.JSONRenderer()],
    )


_EXTRAS = ("request", "class", "server", "zone", "status", "took_ms", "attempts", "answered", "suppressed")


def configure_logging(config: LogConfig) -> LogRateLimiter:
    """Write the log to standard error as `config` says; give the filter that counts what is kept back."""
    plain = config.format == "plain" or (not config.format and sys.stderr.isatty())
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_Plain("%(asctime)s %(name)s %(message)s") if plain else _json())
    limiter = LogRateLimiter(config.lines_per_s, config.repeats_per_s)
    handler.addFilter(limiter)
    logging.basicConfig(level=config.level.upper(), handlers=[handler], force=True)
    return limiter
