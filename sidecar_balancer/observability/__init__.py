"""The log and the latency histograms."""
