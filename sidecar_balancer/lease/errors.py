"""Errors of the leases."""


class LeaseError(ValueError):
    """Base of all errors of this package."""


class LeaseTimingError(LeaseError):
    """The times of a lease leave no moment at which it may safely be renewed."""


class LeaseMemberError(LeaseError):
    """A member's number or the number of leases is out of range."""
