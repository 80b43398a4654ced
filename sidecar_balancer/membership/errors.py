"""Errors of the membership package."""


class MembershipError(ValueError):
    """Base of all errors of this package."""


class MembershipSettingsError(MembershipError):
    """A setting of the `peer_plane` object, or a member's number, is out of range."""


class MalformedDatagramError(MembershipError):
    """A datagram or an update is malformed, of another version, or out of bounds."""


class DatagramTooLongError(MembershipError):
    """A message does not fit into one datagram even without gossip."""
