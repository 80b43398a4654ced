"""Human-readable formatting of admin API responses: tables or indented JSON."""

from __future__ import annotations

import json
from typing import Any

Rows = dict[str, dict[str, Any]]


def format_response(command: str, body: str) -> str:
    """Return the text to print for a response to `command`; a body that is not JSON is unchanged."""
    try:
        content = json.loads(body)
    except ValueError:
        return body
    if isinstance(content, dict):
        if command == "servers" and _is_rows(content):
            return _table(content)
        if command == "zones" and _is_rows(content.get("zones")):
            rows = content.pop("zones")
            return "\n".join([*(f"{key}: {value}" for key, value in content.items()), _table(rows)])
    return json.dumps(content, indent=2)


def _is_rows(value: object) -> bool:
    return isinstance(value, dict) and bool(value) and all(isinstance(row, dict) for row in value.values())


def _table(rows: Rows) -> str:
    """Return a table with one line per row; the first row determines the columns."""
    columns = list(next(iter(rows.values())))
    lines = [["", *columns]]
    for name, row in rows.items():
        lines.append([name, *(_cell(row.get(column)) for column in columns)])
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns) + 1)]
    padded = (zip(line, widths, strict=True) for line in lines)
    return "\n".join("  ".join(cell.ljust(width) for cell, width in line).rstrip() for line in padded)


def _cell(value: Any) -> str:
    if isinstance(value, dict):
        return " ".join(f"{key}={item}" for key, item in value.items()) or "-"
    return "-" if value is None else str(value)
