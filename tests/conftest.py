"""Fixtures that tests of several packages share."""

from __future__ import annotations

import pytest

from virtual_clock import RunScenario, run_on_virtual_clock


@pytest.fixture
def on_virtual_clock(monkeypatch: pytest.MonkeyPatch) -> RunScenario:
    """Run a scenario on a clock that moves only while nothing else is left to do."""
    return lambda scenario: run_on_virtual_clock(scenario, monkeypatch)
