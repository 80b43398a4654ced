"""What the processes of an upgrade tell each other of their usage."""

from __future__ import annotations

import random
import struct
from pathlib import Path

from sidecar_balancer.runtime.process_usage import ProcessUsage, UsageExchange


def test_processes_see_the_sum_of_the_others_until_they_end(tmp_path: Path) -> None:
    now = [10.0]
    exchanges = [UsageExchange(tmp_path, monotonic_s=lambda: now[0]) for _ in range(3)]
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
    UsageExchange(tmp_path).publish(ProcessUsage(1, 1, 1, 1))
    (file,) = tmp_path.iterdir()
    rng = random.Random(4)
    for time_bytes in (rng.randbytes(8), struct.pack("=d", float("nan")), struct.pack("=d", 1e300)):
        data = file.read_bytes()
        second_record = 4096 + 40
        with file.open("r+b") as written:
            written.seek(second_record)
            written.write(time_bytes + data[second_record + 8 : second_record + 40])
        assert exchange.others() == ProcessUsage()


def test_a_folder_that_can_not_be_written_leaves_the_process_alone(tmp_path: Path) -> None:
    exchange = UsageExchange(tmp_path / "missing")
    exchange.publish(ProcessUsage(1, 1, 1, 1))
    assert exchange.others() == ProcessUsage()
