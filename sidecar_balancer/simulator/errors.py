"""What goes wrong on the simulator's wire."""

from __future__ import annotations


class SimulatorError(Exception):
    """Base of the adapter's errors."""


class WireFormatError(SimulatorError):
    """A line that the wire's grammar does not allow."""
