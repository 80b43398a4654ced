"""Runs one sidecar: `python -m sidecar_balancer`, with RELAY_CONFIG naming its configuration."""

from __future__ import annotations

import gc
import sys

gc.disable()  # until all is loaded: collections would take a tenth of the CPU of a start

from sidecar_balancer.program import main  # noqa: E402  # collections are off before the rest loads

if __name__ == "__main__":
    sys.exit(main())
