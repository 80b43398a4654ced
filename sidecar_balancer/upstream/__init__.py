"""Connections to servers: dialing, pooling, sending requests and reading responses."""
