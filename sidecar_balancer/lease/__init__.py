"""Single-holder duties among the sidecars of a tier: leases granted by a majority, with fencing tokens.

`core` is the sans-IO protocol, `model` an exhaustive explorer of it.  See docs/leases.md.
"""
