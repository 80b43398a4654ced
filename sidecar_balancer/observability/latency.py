"""Latency histograms of bounded memory, by service class and by server.

HDR histograms from 0.1 ms to 60 s, with two significant digits for a class and one for a server (about 3 KB
each).  Beyond `MAX_SERVERS` servers, the least recently used one loses its histogram.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MIN_US = 100
MAX_US = 60_000_000
MAX_SERVERS = 256
MAX_CLASSES = 64
_CLASS_DIGITS = 2
_SERVER_DIGITS = 1
_PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
_US_PER_MS = 1_000


class LatencyHistograms:
    """Latencies since startup: of responses to clients by class, and of attempts by server."""

    def __init__(self) -> None:
        self._classes: dict[str, Any] = {}
        self._servers: OrderedDict[str, Any] = OrderedDict()  # least recently used first

    def record_response(self, class_name: str, latency_us: int) -> None:
        """Record how long a client waited for its response.

        Clients can send arbitrary class names, so new ones beyond `MAX_CLASSES` are not recorded.
        """
        histogram = self._classes.get(class_name)
        if histogram is None:
            if len(self._classes) >= MAX_CLASSES:
                return
            histogram = self._classes[class_name] = HdrHistogram(MIN_US, MAX_US, _CLASS_DIGITS)
        histogram.record_value(_clamped(latency_us))

    def record_attempt(self, server: str, latency_us: int) -> None:
        """Record how long an attempt at a server took."""
        histogram = self._servers.get(server)
        if histogram is None:
            histogram = self._servers[server] = HdrHistogram(MIN_US, MAX_US, _SERVER_DIGITS)
            if len(self._servers) > MAX_SERVERS:
                self._servers.popitem(last=False)
        else:
            self._servers.move_to_end(server)
        histogram.record_value(_clamped(latency_us))

    def by_class(self) -> dict[str, dict[str, float]]:
        """Return for each class `count`, and `p50`, `p90`, `p99` and `p999` in ms."""
        return {name: _summary(histogram) for name, histogram in sorted(self._classes.items())}

    def for_server(self, name: str) -> dict[str, float] | None:
        """Return the same for one server, or None if it has no histogram."""
        histogram = self._servers.get(name)
        return None if histogram is None else _summary(histogram)


def _clamped(latency_us: int) -> int:
    return min(max(latency_us, MIN_US), MAX_US)


def _summary(histogram: Any) -> dict[str, float]:
    latencies_ms = {
        name: histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for name, percentile in _PERCENTILES.items()
    }
    return {"count": histogram.get_total_count()} | latencies_ms
