"""The relay: serves the endpoint list to many sidecars, in the published form (docs/relay.md)."""
