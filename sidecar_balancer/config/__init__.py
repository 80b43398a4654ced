"""What a sidecar is configured with."""
