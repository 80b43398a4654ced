"""Ids that may have run, in one process and in both of an upgrade."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from sidecar_balancer.runtime import request_ids
from sidecar_balancer.runtime.request_ids import ClaimsExhaustedError, RequestIds

CLAIM_FOREVER = """
import itertools, pathlib, sys
from sidecar_balancer.runtime.request_ids import RequestIds
ids = RequestIds(pathlib.Path(sys.argv[1]))
print("ready", flush=True)
for number in itertools.count():
    ids.claim(f"other-{number % 10_000}")
"""
CLAIM_ALL = """
import pathlib, sys
from sidecar_balancer.runtime.request_ids import RequestIds
ids = RequestIds(pathlib.Path(sys.argv[1]))
print("ready", flush=True)
sys.stdin.readline()
print(*(number for number in range(8_000) if ids.claim(f"id-{number}")))
"""
ENVIRON = os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent.parent)}
WAIT_S = 5.0


class FakeClock:
    """Monotonic seconds that a test sets."""

    now = 1_000.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize("is_shared", [False, True])
def test_an_id_is_claimed_once_until_it_is_released(is_shared: bool, tmp_path: Path) -> None:
    ids = RequestIds(tmp_path if is_shared else None)
    assert ids.claim("a")
    assert not ids.claim("a")
    assert ids.claim("b")
    ids.release("a")
    ids.release("a")
    assert ids.claim("a")
    assert not ids.claim("b")
    ids.close()


def test_the_other_process_knows_a_claim_and_so_does_a_later_one(tmp_path: Path) -> None:
    first, second = RequestIds(tmp_path), RequestIds(tmp_path)
    assert first.claim("a")
    assert not second.claim("a")
    first.close()
    second.close()
    assert not RequestIds(tmp_path).claim("a")


def test_ids_are_kept_in_this_process_where_the_folder_can_not_be_written(tmp_path: Path) -> None:
    ids = RequestIds(tmp_path / "missing")
    assert ids.claim("a")
    assert not ids.claim("a")


def test_a_full_table_refuses_and_forgets_no_recent_claim(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_ids, "_SETS", 1)
    clock = FakeClock()
    ids = RequestIds(monotonic_s=clock)
    names = [f"id-{number}" for number in range(16)]
    assert all(ids.claim(name) for name in names)
    with pytest.raises(ClaimsExhaustedError):
        ids.claim("one more")
    assert not any(ids.claim(name) for name in names)
    clock.now += 31.0
    assert ids.claim("one more")
    assert sum(not ids.claim(name) for name in names[1:]) == 15


def test_any_order_of_claims_and_releases_agrees_with_a_set() -> None:
    rng = random.Random(7)
    ids, claimed = RequestIds(), set[str]()
    for _ in range(5_000):
        name = f"id-{rng.randrange(300)}"
        if rng.random() < 0.3:
            ids.release(name)
            claimed.discard(name)
        else:
            assert ids.claim(name) == (name not in claimed)
            claimed.add(name)


def test_sidecars_with_names_of_their_own_share_nothing(tmp_path: Path) -> None:
    assert RequestIds(tmp_path, "-a").claim("id")
    assert RequestIds(tmp_path, "-b").claim("id")
    assert not RequestIds(tmp_path, "-a").claim("id")


def test_a_process_stopped_at_any_moment_keeps_no_other_from_claiming(tmp_path: Path) -> None:
    ids = RequestIds(tmp_path)
    command = [sys.executable, "-c", CLAIM_FOREVER, str(tmp_path)]
    rng = random.Random(3)
    with subprocess.Popen(command, env=ENVIRON, stdout=subprocess.PIPE) as other:
        try:
            assert other.stdout is not None
            assert other.stdout.readline()
            for number in range(20):
                time.sleep(0.01 * rng.random())
                other.send_signal(signal.SIGSTOP)
                os.waitid(os.P_PID, other.pid, os.WSTOPPED)
                assert ids.claim(f"own-{number}")
                opening = threading.Thread(target=RequestIds, args=(tmp_path,), daemon=True)
                opening.start()
                opening.join(WAIT_S)
                assert not opening.is_alive()
                other.send_signal(signal.SIGCONT)
        finally:
            other.kill()


def test_processes_that_claim_the_same_ids_at_once_never_claim_one_twice(tmp_path: Path) -> None:
    command = [sys.executable, "-c", CLAIM_ALL, str(tmp_path)]
    processes = [
        subprocess.Popen(command, env=ENVIRON, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        for _ in range(3)
    ]
    for process in processes:
        assert process.stdout is not None
        assert process.stdout.readline()
    for process in processes:
        assert process.stdin is not None
        process.stdin.write("go\n")
        process.stdin.flush()
    claimed = [name for process in processes for name in process.communicate()[0].split()]
    assert len(claimed) == len(set(claimed))
    assert len(claimed) > 4_000
