"""The latency histograms: their counts and percentiles, and the bounds on their number."""

from __future__ import annotations

from sidecar_balancer.observability.latency import MAX_CLASSES, MAX_SERVERS, MAX_US, LatencyHistograms


def test_a_class_has_its_count_and_percentiles_in_ms() -> None:
    latencies = LatencyHistograms()
    for latency_ms in range(1, 101):
        latencies.record_response("look", 1000 * latency_ms)
    summary = latencies.by_class()["look"]
    assert summary["count"] == 100
    assert 49.0 <= summary["p50"] <= 51.0
    assert 98.0 <= summary["p99"] <= 101.0


def test_a_latency_beyond_the_range_is_clamped_and_counted() -> None:
    latencies = LatencyHistograms()
    latencies.record_response("look", 2 * MAX_US)
    assert latencies.by_class()["look"]["count"] == 1


def test_classes_beyond_the_limit_are_not_recorded() -> None:
    latencies = LatencyHistograms()
    for number in range(MAX_CLASSES + 5):
        latencies.record_response(f"class-{number}", 1000)
    assert len(latencies.by_class()) == MAX_CLASSES


def test_beyond_the_limit_the_least_recently_used_server_loses_its_histogram() -> None:
    latencies = LatencyHistograms()
    for number in range(MAX_SERVERS):
        latencies.record_attempt(f"s-{number}", 1000)
    latencies.record_attempt("s-0", 1000)
    latencies.record_attempt("new", 1000)
    assert latencies.for_server("s-1") is None
    assert latencies.for_server("s-0") is not None
