"""Entry point of `python -m sidecar_balancer`: runs a sidecar; RELAY_CONFIG names its configuration file."""

from __future__ import annotations

import gc
import sys

gc.disable()  # disabled until all modules are loaded: collections would take a tenth of the CPU of startup

from sidecar_balancer.startup import omit_tls  # noqa: E402  # must follow gc.disable()

omit_tls()

from sidecar_balancer.program import main  # noqa: E402  # must follow omit_tls()

if __name__ == "__main__":
    sys.exit(main())
