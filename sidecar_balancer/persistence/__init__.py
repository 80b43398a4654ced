"""Crash-safe state persistence: checksummed snapshots and change logs on disk (docs/recovery.md)."""
