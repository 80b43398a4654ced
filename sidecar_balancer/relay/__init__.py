"""The relay: serves the endpoint list to many sidecars, in the published format (docs/relay.md)."""
