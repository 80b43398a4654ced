"""The log: JSON and plain lines, rate limits, and the events of the package's log calls."""

from __future__ import annotations

import ast
import json
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from sidecar_balancer.observability.logs import LogConfig, LogRateLimiter, configure_logging

PACKAGE = Path(__file__).parent.parent.parent / "sidecar_balancer"
SOURCES = sorted(PACKAGE.rglob("*.py"))
LOGGER_NAMES = {"log", "_log", "logger", "logging"}
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical", "log"}


@pytest.fixture
def log() -> Iterator[logging.Logger]:
    """Provide a logger of the package, and remove the handlers that the test installs."""
    yield logging.getLogger("sidecar_balancer.sidecar.sidecar")
    logging.getLogger().handlers.clear()


def record(created: float, event: str) -> logging.LogRecord:
    return logging.makeLogRecord({"created": created, "msg": "lost %s", "event": event})


def fail() -> None:
    raise ValueError("invalid")


def json_lines(capsys: pytest.CaptureFixture[str]) -> list[dict[str, Any]]:
    return [json.loads(line) for line in capsys.readouterr().err.splitlines()]


def test_repeats_of_one_event_are_limited_per_second_and_counted() -> None:
    limiter = LogRateLimiter(5, 3)
    records = [record(created, "lost") for created in (7.0, 7.1, 7.2, 7.3, 7.9, 8.0)]
    assert [limiter.filter(line) for line in records] == [True, True, True, False, False, True]
    assert limiter.suppressed == 2
    assert vars(records[-1])["suppressed"] == 2


def test_lines_of_all_events_together_are_limited_per_second() -> None:
    limiter = LogRateLimiter(5, 3)
    assert limiter.filter(record(8.0, "lost"))
    others = [record(8.5, f"event_{letter}") for letter in "abcdef"]
    assert [limiter.filter(line) for line in others] == [True] * 4 + [False] * 2


def test_a_json_line_has_its_event_and_the_fields_of_the_event(
    log: logging.Logger, capsys: pytest.CaptureFixture[str]
) -> None:
    configure_logging(LogConfig(format="json"))
    log.info("%s: %d", "ejected s-1", 3, extra={"event": "ejected", "server": "s-1"})
    (line,) = json_lines(capsys)
    assert line["event"] == "ejected"
    assert line["server"] == "s-1"
    assert line["msg"] == "ejected s-1: 3"
    assert line["level"] == "info"
    assert line["subsystem"] == "sidecar.sidecar"
    assert line["ts"].endswith("Z")


def test_the_event_of_a_json_line_defaults_to_the_logger_name(
    log: logging.Logger, capsys: pytest.CaptureFixture[str]
) -> None:
    configure_logging(LogConfig(format="json"))
    log.warning("the event loop was %.0f ms late", 70.2)
    logging.getLogger("asyncio").error("a line of another package")
    own, foreign = json_lines(capsys)
    assert own["event"] == "sidecar_balancer.sidecar.sidecar"
    assert own["level"] == "warning"
    assert foreign["event"] == "asyncio"


def test_a_json_line_has_the_traceback_of_an_exception(
    log: logging.Logger, capsys: pytest.CaptureFixture[str]
) -> None:
    configure_logging(LogConfig(format="json"))
    try:
        fail()
    except ValueError:
        log.exception("it failed on %r", "x")
    (line,) = json_lines(capsys)
    assert "ValueError: invalid" in line["exception"]


def test_a_plain_line_has_the_logger_and_the_text(
    log: logging.Logger, capsys: pytest.CaptureFixture[str]
) -> None:
    configure_logging(LogConfig(format="plain", level="warning"))
    log.info("below the level")
    log.error("logged %d", 1)
    (line,) = capsys.readouterr().err.splitlines()
    assert line.endswith("sidecar_balancer.sidecar.sidecar logged 1")


def calls_without_event(path: Path) -> list[int]:
    """Return the line numbers of a source file's log calls that pass no event."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    functions = [node for node in ast.walk(tree) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)]
    with_event = {
        call.lineno for scope in functions for call in log_calls(scope) if passes_event(call, scope)
    }
    return [call.lineno for call in log_calls(tree) if call.lineno not in with_event]


def log_calls(scope: ast.AST) -> list[ast.Call]:
    return [node for node in ast.walk(scope) if isinstance(node, ast.Call) and is_log_call(node)]


def assigned_values(scope: ast.AST) -> dict[str, ast.expr]:
    """Return by name the values that a function assigns."""
    return {
        target.id: node.value
        for node in ast.walk(scope)
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }


def is_log_call(call: ast.Call) -> bool:
    return (
        isinstance(call.func, ast.Attribute)
        and call.func.attr in LOG_METHODS
        and isinstance(call.func.value, ast.Name)
        and call.func.value.id in LOGGER_NAMES
    )


def passes_event(call: ast.Call, scope: ast.AST) -> bool:
    extra = next((keyword.value for keyword in call.keywords if keyword.arg == "extra"), None)
    if isinstance(extra, ast.Name):
        extra = assigned_values(scope).get(extra.id)
    while isinstance(extra, ast.BinOp):  # {"event": ...} | other fields
        extra = extra.left
    if not isinstance(extra, ast.Dict):
        return False
    return "event" in [key.value for key in extra.keys if isinstance(key, ast.Constant)]


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.rglob("*.py")), ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_every_log_call_passes_an_event(path: Path) -> None:
    assert calls_without_event(path) == []


def events_in(path: Path) -> set[str]:
    """Return the events named in the dicts of a source file."""
    dicts = [
        node for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))) if isinstance(node, ast.Dict)
    ]
    pairs = [pair for node in dicts for pair in zip(node.keys, node.values, strict=True)]
    return {
        str(value.value)
        for key, value in pairs
        if isinstance(key, ast.Constant) and key.value == "event" and isinstance(value, ast.Constant)
    }


def test_every_event_is_listed_on_the_on_call_page() -> None:
    page = (PACKAGE.parent / "docs" / "on-call.md").read_text(encoding="utf-8")
    events = set().union(*(events_in(path) for path in SOURCES))
    assert len(events) > 40
    assert [event for event in sorted(events) if f"| `{event}` |" not in page] == []
