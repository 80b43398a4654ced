"""The peer plane: SWIM membership and shared verdicts between the sidecars of one tier, over UDP.

`codec` turns messages into datagrams of at most 256 bytes and back; `membership` is the sans-IO SWIM core
(events in, datagrams out); `verdicts` is the bounded table of shared state; `transport` is the asyncio glue.
See docs/membership.md.
"""
