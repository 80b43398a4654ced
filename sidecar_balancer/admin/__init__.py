"""The admin API: its HTTP server, its handlers and the operators' stored overrides."""
