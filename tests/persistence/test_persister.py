"""The state persister with a failing disk."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from balancer_driver import BalancerDriver
from sidecar_balancer.persistence.persister import StatePersister
from sidecar_balancer.persistence.store import Store

MAX_BYTES = 1 << 20


@pytest.fixture
def driver() -> BalancerDriver:
    """A driver whose balancer has served requests with two servers."""
    driver = BalancerDriver()
    driver.receive_list(["s-1", "s-2"])
    driver.serve_traffic(10)
    return driver


@pytest.fixture
def persister(tmp_path: Path) -> StatePersister:
    persister = StatePersister(Store(tmp_path, MAX_BYTES))
    persister.restore()
    return persister


def simulate_full_disk(patch: pytest.MonkeyPatch) -> None:
    def raise_no_space(_: int) -> None:
        raise OSError(errno.ENOSPC, "no space left")

    patch.setattr(os, "fsync", raise_no_space)


def test_a_full_disk_is_logged_once_and_the_state_is_written_after_space_is_freed(
    driver: BalancerDriver,
    persister: StatePersister,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    with monkeypatch.context() as patch:
        simulate_full_disk(patch)
        for _ in range(5):
            persister.persist(driver.balancer, driver.now, None, None)
    assert [record.levelname for record in caplog.records].count("ERROR") == 1
    persister.persist(driver.balancer, driver.now, None, None)
    restored = StatePersister(Store(tmp_path, MAX_BYTES)).restore()
    assert set(restored.learned.servers) == {"s-1", "s-2"}
