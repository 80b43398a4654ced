"""What a sidecar keeps across a crash: checked snapshots on disk (docs/recovery.md)."""
