"""The fence: a token is admitted only if no newer one was seen."""

from __future__ import annotations

import pytest

from sidecar_balancer.lease.fencing import Fence

LEASE = 0


@pytest.fixture
def fence() -> Fence:
    """A fence that has seen token 8."""
    fence = Fence()
    fence.admit(LEASE, 8)
    return fence


def test_a_newer_token_is_admitted(fence: Fence) -> None:
    assert fence.admit(LEASE, 9)


def test_an_older_token_is_rejected_and_counted(fence: Fence) -> None:
    assert not fence.admit(LEASE, 7)
    assert fence.rejected_count == 1
