"""Errors in the simulator's input."""

from __future__ import annotations


class SimulatorError(Exception):
    """Base class of the adapter's errors."""


class WireFormatError(SimulatorError):
    """A line violates the simulator's wire format."""
