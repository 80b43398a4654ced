"""What the processes of an upgrade tell each other of their usage."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from sidecar_balancer.runtime.process_usage import ProcessUsage, UsageExchange


def test_processes_see_the_sum_of_the_others_until_they_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [10.0]
    exchanges = []
    for pid in (101, 102, 103):
        monkeypatch.setattr(os, "getpid", lambda pid=pid: pid)
        exchanges.append(UsageExchange(tmp_path, monotonic_s=lambda: now[0]))
    for exchange in exchanges:
        exchange.publish(ProcessUsage(1, 20, 3, 4))
    assert exchanges[0].others() == ProcessUsage(2, 40, 6, 8)
    exchanges[1].close()
    assert exchanges[0].others() == ProcessUsage(1, 20, 3, 4)
    now[0] += 1.5  # the third was killed
    exchanges[0].publish(ProcessUsage(1, 20, 3, 4))
    assert exchanges[0].others() == ProcessUsage()


def test_a_record_that_was_cut_short_counts_nothing(tmp_path: Path) -> None:
    exchange = UsageExchange(tmp_path)
    exchange.publish(ProcessUsage(1, 1, 1, 1))
    (next(tmp_path.iterdir()) / "7").write_bytes(b"cut")
    assert exchange.others() == ProcessUsage()


def test_a_folder_that_can_not_be_written_leaves_the_process_alone(tmp_path: Path) -> None:
    exchange = UsageExchange(tmp_path / "missing")
    exchange.publish(ProcessUsage(1, 1, 1, 1))
    assert exchange.others() == ProcessUsage()
