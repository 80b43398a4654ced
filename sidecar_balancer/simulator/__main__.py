"""Runs the adapter on standard input and output: `python -m sidecar_balancer.simulator`.

Input that violates the wire format ends the process with one line on standard error and exit code 2.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import TextIO

from sidecar_balancer.simulator.adapter import SimulatorAdapter
from sidecar_balancer.simulator.errors import SimulatorError

_EXIT_INVALID_INPUT = 2


def run(lines: Iterable[str], output: TextIO, errors: TextIO) -> int:
    """Handle all lines; return the exit code."""
    adapter = SimulatorAdapter()
    for number, line in enumerate(lines, 1):
        try:
            reply = adapter.handle_line(line)
        except SimulatorError as error:
            errors.write(f"line {number}: {error}\n")
            return _EXIT_INVALID_INPUT
        if reply is not None:
            output.write("\n".join(reply) + "\n")
            output.flush()
    return 0


def main() -> int:
    """Handle standard input; return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
