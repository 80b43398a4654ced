"""Forwarding of client requests to servers: exactly one response for each request."""
