"""Logging and latency histograms."""
