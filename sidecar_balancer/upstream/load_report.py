"""Parsing of the load reports that servers send in response headers and health check bodies."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Collection

log = logging.getLogger(__name__)


def parse_load_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Parse a load report in text form.

    Args:
        text: `TEXT name=value, ...`; None if the response has no report.
        columns: The names of the values to read; others are ignored.

    Returns:
        The finite values by name; None if there are none.
    """
    if text is None or not columns:
        return None
    format_name, _, entries = text.strip().partition(" ")
    if format_name.upper() != "TEXT":
        _log_invalid_report(text)
        return None
    report = {}
    for entry in entries.split(","):
        name, _, number = entry.partition("=")
        try:
            value = float(number)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            log.warning(
                "skipping an invalid load report value: %.80r",
                entry,
                extra={"event": "load_report_value_invalid"},
            )
        elif name.strip() in columns:
            report[name.strip()] = value
    return report or None


def parse_health_report(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Parse the load report in the body of a health check, in JSON or text form.

    Returns:
        The finite values by name; None if there are none.
    """
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_load_report(text, columns)
    try:
        document = json.loads(text)
    except ValueError:
        _log_invalid_report(text)
        return None
    values = {
        name: value for name, value in document.items() if name in columns and isinstance(value, int | float)
    }
    return {name: float(value) for name, value in values.items() if math.isfinite(value)} or None


def _log_invalid_report(text: str) -> None:
    log.warning("skipping an invalid load report: %.80r", text, extra={"event": "load_report_invalid"})
