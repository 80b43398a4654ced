"""Fixtures that tests of several packages share."""

from __future__ import annotations

import pytest

from virtual import RunScene, play_on_clock


@pytest.fixture
def on_virtual_clock(monkeypatch: pytest.MonkeyPatch) -> RunScene:
    """Run a scene on a clock that moves only while nothing else is left to do."""
    return lambda scene: play_on_clock(scene, monkeypatch)
