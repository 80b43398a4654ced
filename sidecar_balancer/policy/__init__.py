"""Decision logic of a sidecar, without I/O: takes events and returns actions."""
