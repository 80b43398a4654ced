"""The decisions of a sidecar: events in, actions out, no input or output."""
