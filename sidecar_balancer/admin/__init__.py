"""The admin API: its server, its calls, the operators' overrides, and a client for the command line."""
