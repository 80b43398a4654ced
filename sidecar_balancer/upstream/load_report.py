"""Reads the load reports that servers send in response headers and health check bodies."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Collection

log = logging.getLogger(__name__)


def parse_load_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report's text form; what is junk or not named by the settings is passed over."""
    if text is None or not columns:
        return None
    form, _, rest = text.strip().partition(" ")
    if form.upper() != "TEXT":
        log.warning("load report skipped: %.80r", text)
        return None
    report = {}
    for entry in rest.split(","):
        name, _, number = entry.partition("=")
        try:
            value = float(number)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            log.warning("load figure skipped: %.80r", entry)
        elif name.strip() in columns:
            report[name.strip()] = value
    return report or None


def parse_health_report(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Read the report that a probe's body holds, in either of its forms."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_load_report(text, columns)
    try:
        document = json.loads(text)
    except ValueError:
        log.warning("load report skipped: %.80r", text)
        return None
    values = {k: v for k, v in document.items() if k in columns and isinstance(v, int | float)}
    return {k: float(v) for k, v in values.items() if math.isfinite(v)} or None
