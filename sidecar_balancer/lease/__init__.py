"""Leases among the sidecars of a tier: granted by a majority, with fencing tokens, sans-IO.

`protocol` is the lease protocol, `fencing` the check of fenced commands, `manager` the leases of one tier on
both.  Nothing here knows how messages travel: see `sidecar_balancer.membership.lease_channel` and
docs/leases.md.
"""
