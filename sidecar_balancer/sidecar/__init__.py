"""Assembly of one sidecar, from its start to its shutdown."""
