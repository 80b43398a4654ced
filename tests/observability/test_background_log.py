"""Log lines that a thread writes."""

from __future__ import annotations

import logging
import threading

import pytest

from sidecar_balancer.observability import background_log
from sidecar_balancer.observability.background_log import BackgroundHandler

WAIT_S = 20.0


@pytest.fixture(autouse=True)
def wait_for_all_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(background_log, "EXIT_TIMEOUT_S", WAIT_S)


class SlowHandler(logging.Handler):
    """A handler that writes once a test lets it."""

    def __init__(self) -> None:
        super().__init__()
        self.has_begun = threading.Event()
        self.may_write = threading.Event()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.has_begun.set()
        self.may_write.wait(WAIT_S)
        self.records.append(record)


def line(number: int) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": "line %d", "args": (number,)})


def test_lines_wait_in_order_and_those_beyond_the_limit_are_counted() -> None:
    slow = SlowHandler()
    handler = BackgroundHandler(slow)
    handler.handle(line(0))
    assert slow.has_begun.wait(WAIT_S)
    count = background_log.MAX_WAITING_LINES
    for number in range(1, count + 4):
        handler.handle(line(number))
    slow.may_write.set()
    handler.flush()
    handler.handle(line(1_000))
    handler.flush()
    messages = [record.getMessage() for record in slow.records]
    assert messages == [f"line {number}" for number in (*range(count + 1), 1_000)]
    assert vars(slow.records[-1])["suppressed"] == 3


def test_the_message_is_that_of_the_call_although_its_arguments_change() -> None:
    slow = SlowHandler()
    handler = BackgroundHandler(slow)
    argument = ["before"]
    handler.handle(logging.makeLogRecord({"msg": "%s", "args": (argument,)}))
    argument[0] = "after"
    slow.may_write.set()
    handler.flush()
    assert slow.records[0].getMessage() == "['before']"
