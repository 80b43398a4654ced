"""Leases among the sidecars of a tier: granted by a majority, with fencing tokens, sans-IO.

`protocol` is the lease protocol, `fencing` checks fenced commands, and `manager` combines both for the leases
of one tier.  The package is independent of how messages are carried: see
`sidecar_balancer.membership.lease_channel` and docs/leases.md.
"""
