"""State that survives a crash: checksummed snapshots and change logs on disk (docs/recovery.md)."""
