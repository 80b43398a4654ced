"""How long answers take: HDR histograms by class and by server, of bounded size.

Times from 0.1 ms to 60 s; a class's to two significant digits, a server's to one (some 3 KB each).  At most
`SERVERS_MOST` servers have one: beyond it the one unused longest goes.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

LOWEST_US, HIGHEST_US = 100, 60_000_000
SERVERS_MOST = 256
CLASSES_MOST = 64
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


class LatencyHistograms:
    """`answered` takes a client's whole wait, by class; `served` what a server took."""

    def __init__(self) -> None:
        self._classes: dict[str, Any] = {}
        self._servers: OrderedDict[str, Any] = OrderedDict()

    def record_response(self, name: str, took_us: int) -> None:
        histogram = self._classes.get(name)
        if histogram is None:
            if len(self._classes) >= CLASSES_MOST:
                return  # classes that the settings do not name are the clients' to invent
            histogram = self._classes[name] = HdrHistogram(LOWEST_US, HIGHEST_US, 2)
        histogram.record_value(min(max(took_us, LOWEST_US), HIGHEST_US))

    def record_attempt(self, server: str, took_us: int) -> None:
        histogram = self._servers.get(server)
        if histogram is None:
            histogram = self._servers[server] = HdrHistogram(LOWEST_US, HIGHEST_US, 1)
            if len(self._servers) > SERVERS_MOST:
                self._servers.popitem(last=False)
        else:
            self._servers.move_to_end(server)
        histogram.record_value(min(max(took_us, LOWEST_US), HIGHEST_US))

    def by_class(self) -> dict[str, dict[str, float]]:
        """By class: `count`, and p50, p90, p99, p999 in ms."""
        return {name: _told(histogram) for name, histogram in sorted(self._classes.items())}

    def for_server(self, name: str) -> dict[str, float] | None:
        histogram = self._servers.get(name)
        return None if histogram is None else _told(histogram)


def _told(histogram: Any) -> dict[str, float]:
    values = {name: histogram.get_value_at_percentile(share) / 1000 for name, share in QUANTILES.items()}
    return {"count": histogram.get_total_count()} | values
