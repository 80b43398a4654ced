"""The relay: fans out what discovery tells to many sidecars, in the published form (docs/relay.md)."""
