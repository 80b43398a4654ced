"""Fixtures shared by the tests of several packages."""

from __future__ import annotations

import pytest

from virtual_clock import RunScenario, run_on_virtual_clock


@pytest.fixture
def on_virtual_clock(monkeypatch: pytest.MonkeyPatch) -> RunScenario:
    """Return a function that runs a scenario on a clock that advances only while the event loop is idle."""
    return lambda scenario: run_on_virtual_clock(scenario, monkeypatch)
