"""Startup of a sidecar process before its modules are loaded."""

from __future__ import annotations

import sys


def omit_tls() -> None:
    """Keep asyncio from loading OpenSSL, which takes 5 MB; a sidecar speaks plain TCP alone.

    Has no effect once asyncio is loaded.
    """
    if "ssl" not in sys.modules:
        sys.modules["ssl"] = None  # type: ignore[assignment]  # makes an import raise ImportError
