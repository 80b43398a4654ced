"""Errors of the lease package."""


class LeaseError(ValueError):
    """Base of all errors of this package."""


class LeaseTimingError(LeaseError):
    """The timing of a lease leaves no time at which it can safely be renewed."""


class LeaseMemberError(LeaseError):
    """A member's number or the number of leases is out of range."""
