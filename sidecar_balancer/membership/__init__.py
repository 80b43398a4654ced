"""SWIM membership and shared verdicts between the sidecars of one tier, over UDP.

Wire format: `messages` and `codec`.  Sans-IO core: `swim` (events in, datagrams out) with `member_table`,
`failure_detector`, `gossip`, `state_transfer`, `verdict_table` and `tier_view`.  asyncio: `transport`,
`bridge` and `verdict_publisher`.  See docs/membership.md.
"""
