"""Requests in flight: from the client's request to its one response."""
