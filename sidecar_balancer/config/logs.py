"""Reader of the operators' `logging` object."""

from __future__ import annotations

from sidecar_balancer.config.values import ValueReader
from sidecar_balancer.observability.logs import FORMATS, LEVELS, LogConfig

_KEYS = ("level", "format", "lines_per_s", "repeats_per_s")
_MAX_LINES_PER_S = 100_000


def read_logging(raw: object) -> LogConfig:
    """Return the log settings, the defaults if `raw` is None; raises ConfigurationError."""
    defaults = LogConfig()
    if raw is None:
        return defaults
    reader = ValueReader(raw, "logging")
    reader.reject_unknown(_KEYS)
    return LogConfig(
        level=reader.string_choice("level", LEVELS, defaults.level),
        format=reader.string_choice("format", FORMATS, defaults.format),
        lines_per_s=reader.exact_integer("lines_per_s", defaults.lines_per_s, 1, _MAX_LINES_PER_S),
        repeats_per_s=reader.exact_integer("repeats_per_s", defaults.repeats_per_s, 1, _MAX_LINES_PER_S),
    )
